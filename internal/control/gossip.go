package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	gossipInterval  = 500 * time.Millisecond
	exchangeTimeout = time.Second
	// pushFanout is the number of peers that a new revision is pushed to. Each of
	// them pushes it on once.
	pushFanout = 4
	// startPeers is the number of peers asked for state at the start.
	startPeers = 8
)

// gossip exchanges revision numbers with one random peer at a time. At the
// start it asks several, so that a daemon without the key-value service takes
// the highest revision among all that answer.
func (l *Loop) gossip(ctx context.Context) {
	l.exchangeAll(ctx, l.somePeers(startPeers))
	for sleep(ctx, jittered(gossipInterval)) {
		for _, address := range l.somePeers(1) {
			l.exchange(ctx, address, nil)
		}
	}
}

// pullOnDemand pulls from peers that were seen to have newer state.
func (l *Loop) pullOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-l.pulls:
			l.exchange(ctx, address, nil)
		}
	}
}

// pushChanges hands each new document or table to a few peers.
func (l *Loop) pushChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case snapshot := <-l.pushes:
			l.push(ctx, snapshot)
		}
	}
}

func (l *Loop) push(ctx context.Context, snapshot *Snapshot) {
	var group sync.WaitGroup
	for _, address := range l.somePeers(pushFanout) {
		group.Go(func() { l.exchange(ctx, address, snapshot) })
	}
	group.Wait()
}

func (l *Loop) exchangeAll(ctx context.Context, addresses []string) {
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { l.exchange(ctx, address, nil) })
	}
	group.Wait()
}

// exchange tells the peer what this daemon has, offers a snapshot's documents
// if one is given, and takes what the peer has that is newer.
func (l *Loop) exchange(ctx context.Context, address string, offer *Snapshot) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &wire.ExchangeRequest{
		Revisions: l.Snapshot().Revisions(),
		Sender:    l.options.Settings.Daemon.RPCAddress,
		Want:      true,
	}
	if offer != nil {
		req.Document, req.ShardTable = l.encode(offer)
	}
	reply, err := l.options.Peers.Exchange(ctx, address, req)
	if err != nil {
		logger.Debug(logging.Fields{"peer": address, "error": err.Error()}, "exchange failed")
		return
	}
	l.OfferEnvelope(reply.GetDocument())
	l.OfferTable(reply.GetShardTable())
}

// Answer handles a peer's ExchangeRequest.
func (l *Loop) Answer(req *wire.ExchangeRequest) *wire.ExchangeReply {
	l.OfferEnvelope(req.GetDocument())
	l.OfferTable(req.GetShardTable())
	if len(req.GetDocument()) == 0 {
		l.SawRevisions(req.GetSender(), req.GetRevisions())
	}
	snapshot := l.Snapshot()
	reply := &wire.ExchangeReply{Revisions: snapshot.Revisions()}
	if req.GetWant() {
		document, table := l.encode(snapshot)
		if reply.Revisions.GetDocument() > req.GetRevisions().GetDocument() {
			reply.Document = document
		}
		if reply.Revisions.GetShardEpoch() > req.GetRevisions().GetShardEpoch() {
			reply.ShardTable = table
		}
	}
	return reply
}

// encode returns the serialized document and shard table of a snapshot.
func (l *Loop) encode(snapshot *Snapshot) (document, table []byte) {
	if snapshot.Config != nil {
		document = snapshot.Config.Envelope
	}
	if snapshot.Shards == nil {
		return document, nil
	}
	table, err := l.options.Codec.EncodeTable(snapshot.Shards)
	if err != nil {
		logger.Error(logging.Fields{"error": err.Error()}, "shard table not encoded")
		return document, nil
	}
	return document, table
}

// somePeers returns up to n random addresses of other daemons: those of the
// view, or of the settings while the view is empty.
func (l *Loop) somePeers(n int) []string {
	self := l.options.Settings.Daemon.RPCAddress
	view := l.Snapshot().View
	addresses := make([]string, 0, len(view.Routers)+len(view.Servers))
	for i := range view.Routers {
		addresses = append(addresses, view.Routers[i].Address)
	}
	for i := range view.Servers {
		addresses = append(addresses, view.Servers[i].Address)
	}
	if len(addresses) == 0 {
		addresses = append(addresses, l.options.Settings.Daemon.Peers...)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	others := addresses[:0]
	for _, address := range addresses {
		if address != self && len(others) < n {
			others = append(others, address)
		}
	}
	return others
}
