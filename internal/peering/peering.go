// Package peering exchanges what gateways see: each one's share of the backend
// servers' load, and what a server showed of itself before it is listed. Gateways
// that the store does not serve learn the operators' entries from the others.
package peering

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var logger = logging.For("peering")

type fields = logging.Fields

const (
	// minInterval is the time between two exchanges with few peers: a request runs
	// for some hundred milliseconds, so older numbers would be of little use.
	minInterval = 100 * time.Millisecond
	// intervalPerPeer bounds the cost: a gateway makes at most 125 calls a second. The
	// cost of one call was not measured.
	intervalPerPeer = 8 * time.Millisecond
	// callTimeout bounds an exchange.
	callTimeout = 300 * time.Millisecond
	// failurePause is how long a peer that did not answer is left alone.
	failurePause = time.Second
	// quietStore is the silence of the store after which peers are asked what they
	// know of it.
	quietStore = 400 * time.Millisecond
	// lostSilence is the silence after which the store counts as lost: the longest
	// regular pause of a gateway for which others watch, and the time of a call.
	lostSilence = 2*follower.MaxPause + 500*time.Millisecond
)

// Options are the parts that an Exchange works with.
type Options struct {
	Self     string   // rpc address
	Seeds    []string // rpc addresses that are tried while no gateway is listed
	Dialer   *rpc.Dialer
	Follower *follower.Follower
	Fleet    *fleet.Fleet
	Cache    *kvcache.Directory
}

// Exchange talks to the other gateways. It implements wire.DRPCGatewaysServer.
type Exchange struct {
	opts    Options
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by rpc address
}

// peer is another gateway.
type peer struct {
	heard   time.Time
	told    uint64 // uses of cached parts that it was told of
	busy    bool
	failing bool
	nextTry time.Time
}

var _ wire.DRPCGatewaysServer = (*Exchange)(nil)

// New returns an Exchange that Run starts.
func New(opts Options) *Exchange {
	return &Exchange{opts: opts, started: time.Now(), peers: make(map[string]*peer)}
}

// Run exchanges reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		addresses := x.addresses()
		interval := max(minInterval, time.Duration(len(addresses))*intervalPerPeer)
		now := time.Now()
		for _, address := range addresses {
			if x.begin(address, now) {
				go x.exchange(ctx, address)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// addresses returns the peers to call. Of each pair one calls, since the answer
// carries a report too. A gateway for which others watch the store calls two of
// these, and one whose store is silent calls all.
func (x *Exchange) addresses() []string {
	listed := x.opts.Follower.Snapshot().Gateways
	silent := x.silence() > quietStore+follower.MaxPause
	var addresses []string
	for _, gateway := range listed {
		if gateway.Address > x.opts.Self || silent {
			addresses = append(addresses, gateway.Address)
		}
	}
	if !roster.Watches(listed, x.opts.Self) {
		addresses = append(addresses, x.watchers(listed)...)
	}
	if silent || time.Since(x.started) < introduction {
		addresses = append(addresses, x.opts.Seeds...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == x.opts.Self })
}

// introduction is how long a process calls its seeds after its start, whatever the
// store lists: the leases of all gateways may just have lapsed.
const introduction = 5 * time.Second

// Heard returns the gateways that were heard of since then.
func (x *Exchange) Heard(since time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var addresses []string
	for address, p := range x.peers {
		if p.heard.After(since) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// watchersAsked is how many of the gateways that watch the store an idle one asks.
const watchersAsked = 2

// watchers returns some of the gateways that watch the store, others for each asker.
func (x *Exchange) watchers(listed []deployment.Gateway) []string {
	watchers := roster.Watchers(listed)
	slices.SortFunc(watchers, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+x.opts.Self), xxhash.Sum64String(b+x.opts.Self))
	})
	return watchers[:min(len(watchers), watchersAsked)]
}

// begin says whether the peer is to be called now.
func (x *Exchange) begin(address string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	if p.busy || now.Before(p.nextTry) {
		return false
	}
	p.busy = true
	return true
}

// peer returns the entry of a gateway. The caller holds the lock.
func (x *Exchange) peer(address string) *peer {
	p := x.peers[address]
	if p == nil {
		p = &peer{}
		x.peers[address] = p
	}
	return p
}

// exchange makes one call and takes in the answer.
func (x *Exchange) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCGatewaysClient(x.opts.Dialer.Conn(ctx, address))
	report, err := client.Exchange(ctx, x.report(address))
	x.end(address, err)
	if err != nil {
		return
	}
	x.learn(ctx, report)
	x.follow(ctx, client, address, report)
}

func (x *Exchange) end(address string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	p.busy = false
	switch {
	case err != nil && !p.failing:
		logger.Warn(fields{"peer": address, "error": err.Error()}, "gateway lost")
	case err == nil && p.failing:
		logger.Info(fields{"peer": address}, "gateway regained")
	}
	p.failing = err != nil
	if err != nil {
		p.nextTry = time.Now().Add(failurePause)
	}
}

// Exchange implements wire.DRPCGatewaysServer.
func (x *Exchange) Exchange(ctx context.Context, report *wire.GatewayReport) (*wire.GatewayReport, error) {
	x.learn(ctx, report)
	return x.report(report.Sender), nil
}

// OperatorEntries implements wire.DRPCGatewaysServer: it gives what this gateway
// knows of the store after a position.
func (x *Exchange) OperatorEntries(_ context.Context, req *wire.OperatorEntriesRequest) (*wire.OperatorEntriesReply, error) {
	events, position := x.opts.Follower.Known(platform.Version(req.After))
	reply := &wire.OperatorEntriesReply{Position: uint64(position), StoreSilenceMs: x.silence().Milliseconds()}
	size := 0
	for i := range events {
		e := &events[i]
		if size += len(e.Key) + len(e.Value); size > maxRelayBytes && req.After > 0 {
			return nil, errTooLarge
		}
		reply.Entries = append(reply.Entries, &wire.StoredEntry{Key: e.Key, Value: e.Value, Revision: uint64(e.Version), Deleted: e.Deleted})
	}
	return reply, nil
}

// maxRelayBytes bounds what a gateway passes on at once: 30 ms of a link of 10 Mbit/s.
// What is larger is read from the store, whose link is wide, unless the asker says by
// a position of 0 that the store does not serve it.
const maxRelayBytes = 40 << 10

// errTooLarge sends a gateway to the store.
var errTooLarge = errors.New("too large to pass on")

// silence returns the age of what this gateway knows of the store.
func (x *Exchange) silence() time.Duration { return x.opts.Follower.Silence(time.Now()) }

// report returns what this gateway tells a peer.
func (x *Exchange) report(address string) *wire.GatewayReport {
	snapshot := x.opts.Follower.Snapshot()
	report := &wire.GatewayReport{
		Sender:         x.opts.Self,
		ConfigVersion:  versionOf(snapshot),
		StoreSilenceMs: x.silence().Milliseconds(),
		Position:       snapshot.Position,
	}
	for id, load := range x.opts.Fleet.Own() {
		report.Loads = append(report.Loads, &wire.ServerLoad{Server: id, Running: uint32(load.Running), PendingTokens: load.PendingTokens})
	}
	now := time.Now()
	for _, note := range x.opts.Fleet.Notes(now) {
		report.Notes = append(report.Notes, &wire.ServerNote{
			Server: note.Server, Incarnation: note.Incarnation, Model: note.Model, Weights: note.Weights,
			LoadingMs: note.Loading.Milliseconds(),
		})
	}
	for model, target := range snapshot.Weights {
		for _, n := range target.Named {
			report.Named = append(report.Named, &wire.NamedWeights{Model: model, Version: n.Version, AgeMs: now.Sub(n.Since).Milliseconds()})
		}
	}
	for _, use := range x.news(address) {
		report.Uses = append(report.Uses, &wire.CacheUse{
			Salt: use.Salt, Parts: use.Parts, Server: use.Holder.ID, Address: use.Holder.Address, Saved: use.Saved,
		})
	}
	return report
}

// news returns the uses of cached parts that the peer was not told of.
func (x *Exchange) news(address string) []kvcache.Use {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	uses, told := x.opts.Cache.News(p.told)
	p.told = told
	return uses
}

func versionOf(snapshot *deployment.Snapshot) uint64 {
	if snapshot.Config == nil {
		return 0
	}
	return snapshot.Config.Version
}

// learn takes in a peer's report.
func (x *Exchange) learn(ctx context.Context, report *wire.GatewayReport) {
	now := time.Now()
	loads := make(map[string]fleet.Load, len(report.Loads))
	for _, load := range report.Loads {
		loads[load.Server] = fleet.Load{Running: int(load.Running), PendingTokens: load.PendingTokens}
	}
	x.opts.Fleet.SetRemote(report.Sender, loads, now)
	x.hear(report.Sender, now)
	for _, note := range report.Notes {
		x.opts.Fleet.Heard(fleet.Note{
			Server: note.Server, Incarnation: note.Incarnation, Model: note.Model, Weights: note.Weights,
			Loading: time.Duration(note.LoadingMs) * time.Millisecond,
		}, now)
	}
	for _, use := range report.Uses {
		x.opts.Cache.Heard(&kvcache.Use{
			Salt: use.Salt, Parts: use.Parts, Saved: use.Saved,
			Holder: kvcache.Holder{ID: use.Server, Address: use.Address},
		}, now)
	}
	x.learnNamed(ctx, report.Named, now)
}

func (x *Exchange) hear(address string, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peer(address).heard = now
}

func (x *Exchange) learnNamed(ctx context.Context, list []*wire.NamedWeights, now time.Time) {
	named := make([]follower.Named, 0, len(list))
	for _, n := range list {
		since := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
		named = append(named, follower.Named{Model: n.Model, NamedWeights: deployment.NamedWeights{Version: n.Version, Since: since}})
	}
	x.opts.Follower.LearnNamed(ctx, named)
}

// follow takes the peer's word on the store, if the store has been silent for a
// while: it is lost, or other gateways watch it for this one.
func (x *Exchange) follow(ctx context.Context, client wire.DRPCGatewaysClient, address string, report *wire.GatewayReport) {
	mine, heard := x.silence(), time.Duration(report.StoreSilenceMs)*time.Millisecond
	position := x.opts.Follower.Snapshot().Position
	after := position
	if mine > lostSilence {
		after = 0
	}
	switch {
	case mine <= quietStore || heard >= mine:
	case report.Position > position || position == 0:
		x.catchUp(ctx, client, address, after)
	case report.Position == position:
		x.opts.Follower.Confirm(heard)
	}
}

// catchUp reads what a peer knows after this gateway's position.
func (x *Exchange) catchUp(ctx context.Context, client wire.DRPCGatewaysClient, address string, after uint64) {
	reply, err := client.OperatorEntries(ctx, &wire.OperatorEntriesRequest{After: after})
	if err != nil {
		logger.Warn(fields{"peer": address, "error": err.Error()}, "entries not read from a gateway")
		x.opts.Follower.Wake()
		return
	}
	events := make([]platform.Event, 0, len(reply.Entries))
	for _, e := range reply.Entries {
		events = append(events, platform.Event{
			Entry:   platform.Entry{Key: e.Key, Value: e.Value, Version: platform.Version(e.Revision)},
			Deleted: e.Deleted,
		})
	}
	logger.Debug(fields{"peer": address, "entries": len(events), "after": after, "position": reply.Position}, "entries read from a gateway")
	x.opts.Follower.Learn(ctx, events, platform.Version(reply.Position), time.Duration(reply.StoreSilenceMs)*time.Millisecond)
}
