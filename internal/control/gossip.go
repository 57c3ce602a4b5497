package control

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
)

const (
	gossipInterval  = 500 * time.Millisecond
	exchangeTimeout = time.Second
	// pushFanout is the number of peers that a new revision is pushed to. Each of
	// them pushes it on once.
	pushFanout = 4
	// initialPeers is the number of peers asked for state at the start.
	initialPeers = 8
)

// gossip exchanges revision numbers with one random peer at a time. At the
// start it asks several, so that a daemon without the key-value service takes
// the highest revision among all that answer.
func (l *Loop) gossip(ctx context.Context) {
	l.exchangeAll(ctx, l.randomPeers(initialPeers))
	for clock.Sleep(ctx, jitter(gossipInterval)) == nil {
		for _, address := range l.randomPeers(1) {
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
	for _, address := range l.randomPeers(pushFanout) {
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
	req := l.newRequest()
	if offer != nil {
		l.attach(req, offer)
	}
	reply, err := l.call(ctx, address, req)
	if err != nil {
		logger.Debug(logging.Fields{"peer": address, "error": err.Error()}, "exchange failed")
		return
	}
	l.OfferTable(reply.GetShardTable())
	if !l.offerDocument(documentFrom(reply)) {
		l.pullFull(ctx, address)
	}
}

// newRequest returns an Exchange newRequest without documents.
func (l *Loop) newRequest() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Revisions: l.Snapshot().Revisions(),
		Sender:    l.options.Settings.Daemon.RPCAddress,
		Want:      true,
	}
}

// attach offers a snapshot's documents: the configuration as a delta to the
// revision before, which the peer most likely has.
func (l *Loop) attach(req *wire.ExchangeRequest, offer *Snapshot) {
	if offer.Config != nil {
		d := l.archive.encode(l.archive.previous(), offer.Config)
		req.Document, req.DocumentBase = d.data, d.base
		req.Revisions.Document = d.number
	}
	req.ShardTable = l.encodeTable(offer.Shards)
}

func (l *Loop) call(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	return l.options.Peers.Exchange(ctx, address, req)
}

// pullFull gets the peer's document as a whole, since its delta did not fit.
func (l *Loop) pullFull(ctx context.Context, address string) {
	req := l.newRequest()
	req.Revisions.Document = 0
	reply, err := l.call(ctx, address, req)
	if err != nil {
		logger.Debug(logging.Fields{"peer": address, "error": err.Error()}, "whole document not read")
		return
	}
	l.offerDocument(documentFrom(reply))
}

// documentCarrier is a message that may carry a document of its sender's
// revision.
type documentCarrier interface {
	GetRevisions() *wire.Revisions
	GetDocumentBase() uint64
	GetDocument() []byte
}

func documentFrom(message documentCarrier) document {
	return document{
		number: message.GetRevisions().GetDocument(),
		base:   message.GetDocumentBase(),
		data:   message.GetDocument(),
	}
}

// HandleExchange handles a peer's ExchangeRequest.
func (l *Loop) HandleExchange(req *wire.ExchangeRequest) *wire.ExchangeReply {
	l.OfferTable(req.GetShardTable())
	fits := l.offerDocument(documentFrom(req))
	if !fits || len(req.GetDocument()) == 0 {
		l.SawRevisions(req.GetSender(), req.GetRevisions())
	}
	snapshot := l.Snapshot()
	reply := &wire.ExchangeReply{Revisions: snapshot.Revisions()}
	if req.GetWant() {
		l.addNewer(reply, req.GetRevisions(), snapshot)
	}
	return reply
}

// addNewer adds to a reply what the snapshot has that is newer than seen.
func (l *Loop) addNewer(reply *wire.ExchangeReply, seen *wire.Revisions, snapshot *Snapshot) {
	if reply.Revisions.GetDocument() > seen.GetDocument() {
		d := l.archive.encode(seen.GetDocument(), snapshot.Config)
		reply.Document, reply.DocumentBase = d.data, d.base
	}
	if reply.Revisions.GetShardEpoch() > seen.GetShardEpoch() {
		reply.ShardTable = l.encodeTable(snapshot.Shards)
	}
}

// encodeTable returns the serialized shard table, or nil.
func (l *Loop) encodeTable(table *shard.Table) []byte {
	if table == nil {
		return nil
	}
	encoded, err := l.options.Codec.EncodeTable(table)
	if err != nil {
		logger.Error(logging.Fields{"error": err.Error()}, "shard table not encoded")
		return nil
	}
	return encoded
}

// randomPeers returns up to n random addresses of other daemons: those of the
// view, or of the settings while the view is empty.
func (l *Loop) randomPeers(n int) []string {
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
