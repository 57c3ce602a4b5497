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
	// them pushes it once to as many others.
	pushFanout = 4
	// crashPushInterval is the least time between two pushes of news of crashes.
	crashPushInterval = 100 * time.Millisecond
	// initialPeers is the number of peers asked for state at start-up.
	initialPeers = 8
)

// gossip exchanges revisions with one random peer at a time. Until a document is known it
// asks several, so that a daemon that cannot reach the key-value service starts from the
// highest revision of all peers that respond.
func (l *Loop) gossip(ctx context.Context) {
	l.exchangeAll(ctx, l.randomPeers(initialPeers))
	for clock.Sleep(ctx, jitter(gossipInterval)) == nil {
		peers := 1
		if !l.hasConfig() {
			peers = initialPeers // those asked before may have started at the same moment
		}
		l.exchangeAll(ctx, l.randomPeers(peers))
	}
}

// pullOnDemand pulls from peers known to have newer state.
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

// pushChanges pushes each new document or shard table to a few random peers.
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

// exchange sends this daemon's revisions to a peer, along with the documents of
// offer unless it is nil, and applies the newer state in the response.
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
	l.options.Quarantine.Merge(reply.GetQuarantine(), time.Now())
	l.OfferTable(reply.GetShardTable())
	if !l.offerDocument(documentFrom(reply)) {
		l.pullFull(ctx, address)
	}
}

// newRequest returns an Exchange request without documents.
func (l *Loop) newRequest() *wire.ExchangeRequest {
	return &wire.ExchangeRequest{
		Revisions: l.Snapshot().Revisions(),
		Sender:    l.options.Settings.Daemon.RPCAddress,
		Want:      true,
		// The peer's findings are not known here; it gets all of them when it asks itself.
		Quarantine: l.options.Quarantine.News(l.options.Quarantine.Digest(), time.Now()),
	}
}

// attach adds the state of a snapshot to a request. The document is sent as a delta
// to the preceding revision, which the peer most likely has.
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

// pushCrashes tells a few random peers at once what this daemon has learned of crashes.
func (l *Loop) pushCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.options.Quarantine.Learned():
			l.push(ctx, nil)
			_ = clock.Sleep(ctx, crashPushInterval) // the loop checks ctx
		}
	}
}

// pullFull requests a peer's full document after a delta from it could not be
// applied.
func (l *Loop) pullFull(ctx context.Context, address string) {
	req := l.newRequest()
	req.Revisions.Document = 0
	reply, err := l.call(ctx, address, req)
	if err != nil {
		logger.Debug(logging.Fields{"peer": address, "error": err.Error()}, "failed to pull the full document")
		return
	}
	l.offerDocument(documentFrom(reply))
}

// documentCarrier is a message that may contain the document of its sender's
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
	now := time.Now()
	l.options.Quarantine.Merge(req.GetQuarantine(), now)
	l.OfferTable(req.GetShardTable())
	decoded := l.offerDocument(documentFrom(req))
	if !decoded || len(req.GetDocument()) == 0 {
		l.ObserveRevisions(req.GetSender(), req.GetRevisions())
	}
	snapshot := l.Snapshot()
	reply := &wire.ExchangeReply{
		Revisions:  snapshot.Revisions(),
		Quarantine: l.options.Quarantine.News(req.GetQuarantine().GetDigest(), now),
	}
	if req.GetWant() {
		l.addNewer(reply, req.GetRevisions(), snapshot)
	}
	return reply
}

// addNewer adds to a reply the state in the snapshot that is newer than seen.
func (l *Loop) addNewer(reply *wire.ExchangeReply, seen *wire.Revisions, snapshot *Snapshot) {
	if reply.Revisions.GetDocument() > seen.GetDocument() {
		d := l.archive.encode(seen.GetDocument(), snapshot.Config)
		reply.Document, reply.DocumentBase = d.data, d.base
	}
	if reply.Revisions.GetShardEpoch() > seen.GetShardEpoch() {
		reply.ShardTable = l.encodeTable(snapshot.Shards)
	}
}

// encodeTable returns the serialized shard table, or nil if there is none or it
// cannot be encoded.
func (l *Loop) encodeTable(table *shard.Table) []byte {
	if table == nil {
		return nil
	}
	encoded, err := l.options.Codec.EncodeTable(table)
	if err != nil {
		logger.Error(logging.Fields{"error": err.Error()}, "failed to encode the shard table")
		return nil
	}
	return encoded
}

// randomPeers returns up to n random addresses of other daemons, from the VM list
// or, while that is empty, from the settings.
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
