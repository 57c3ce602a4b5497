// Package peering exchanges reports between gateways: each one's share of the backend
// servers' load, observations of servers that the store does not list yet, and uses of
// cached prompt parts. A gateway that can't reach the store reads the operators' entries
// from the others.
package peering

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/entrysync"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/guard"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
)

var logger = logging.For("peering")

type fields = logging.Fields

const (
	// minInterval is the time between two exchanges while there are few peers. A request
	// runs for some hundred milliseconds, so older numbers would be of little use.
	minInterval = 100 * time.Millisecond
	// intervalPerPeer lengthens the interval with the number of peers, so that a gateway
	// makes at most 125 calls a second.
	intervalPerPeer = 8 * time.Millisecond
	// callTimeout bounds one exchange with a peer.
	callTimeout = 300 * time.Millisecond
	// failureBackoff is how long a peer is not called after a failed call.
	failureBackoff = time.Second
	// maxRunning and maxPendingTokens bound a gateway's share of a server's load. A report
	// of more is malformed.
	maxRunning       = 100_000
	maxPendingTokens = 1 << 40
	// staleAfter is the staleness of the state above which peers' newer state is taken.
	staleAfter = 400 * time.Millisecond
	// storeLostAfter is the staleness above which the store counts as lost: twice the
	// longest regular time between two of its responses, since other gateways may watch
	// the store for this one, and the time of a call.
	storeLostAfter = 2*follower.MaxPollInterval + 500*time.Millisecond
)

// Options configure an Exchange.
type Options struct {
	Self     string   // this gateway's RPC address
	Seeds    []string // RPC addresses that are called after the start and while the store's state is stale
	Dialer   *rpc.Dialer
	Follower *follower.Follower
	Fleet    *fleet.Fleet
	Cache    *kvcache.Directory
	// Quarantine learns from the other gateways which parts of prompts crash servers, and
	// tells them; nil: a new one.
	Quarantine *quarantine.Quarantine
	Limits     *serverlimit.Limits // that servers named; nil: a new one
	Canary     *canary.Tracker     // of rollouts of software versions; nil: there are none
}

// Exchange exchanges reports with the other gateways. It implements
// wire.DRPCGatewaysServer.
type Exchange struct {
	opts    Options
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by RPC address

	told      toldOrigins
	library   *entrysync.Library
	transfers transfers
	behind    behind
	aheadSeen chan struct{} // receives a value when a peer that is ahead is to be called at once
}

// peer is the state of another gateway.
type peer struct {
	lastReport time.Time
	usesSent   uint64    // uses of cached parts that were sent to it so far
	findings   uint64    // digest of its findings on parts that crash servers
	joined     time.Time // first report after a silence
	ahead      bool      // its last report showed newer operators' entries
	// configVersion is the version of the configuration in its last report.
	configVersion uint64
	nextRead      time.Time // of operators' entries, after one that failed
	calling       bool
	failing       bool
	running       bool // its last report came after it had started
	nextTry       time.Time
}

var _ wire.DRPCGatewaysServer = (*Exchange)(nil)

// New returns an Exchange. Run starts it.
func New(opts Options) *Exchange {
	if opts.Quarantine == nil {
		opts.Quarantine = quarantine.New(nil)
	}
	if opts.Limits == nil {
		opts.Limits = serverlimit.New(opts.Self)
	}
	x := &Exchange{
		opts: opts, started: time.Now(), peers: make(map[string]*peer), library: entrysync.NewLibrary(),
		transfers: newTransfers(), aheadSeen: make(chan struct{}, 1),
	}
	x.registerGauges()
	return x
}

// Run exchanges reports until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	for ctx.Err() == nil {
		x.endWait()
		addresses := x.peersToCall()
		interval := max(minInterval, time.Duration(len(addresses))*intervalPerPeer)
		x.call(ctx, addresses)
		x.untilNextRound(ctx, time.After(x.shortened(interval)))
	}
}

// call exchanges reports with those of the peers that can be called now.
func (x *Exchange) call(ctx context.Context, addresses []string) {
	now := time.Now()
	for _, address := range addresses {
		if x.beginCall(address, now) {
			go x.callPeer(ctx, address)
		}
	}
}

// untilNextRound waits for the next round of exchanges. A new configuration does not wait for it.
func (x *Exchange) untilNextRound(ctx context.Context, next <-chan time.Time) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-next:
			return
		case <-x.aheadSeen:
			x.call(ctx, x.peersAhead())
		case <-x.opts.Follower.ConfigChanged():
			x.recordVersions()
			x.call(ctx, x.peersToTell())
		}
	}
}

// peersToCall returns the addresses of the peers to call. Of each pair of gateways only
// one calls, since the response carries a report too. A gateway that does not watch the
// store also calls two that do, and one whose state of the store is stale calls all.
func (x *Exchange) peersToCall() []string {
	listed := x.opts.Follower.Snapshot().Gateways
	stale := x.staleness() > staleAfter+follower.MaxPollInterval
	var addresses []string
	for _, gateway := range listed {
		if gateway.Address > x.opts.Self || stale {
			addresses = append(addresses, gateway.Address)
		}
	}
	if !roster.Watches(listed, x.opts.Self) {
		addresses = append(addresses, x.chooseWatchers(listed)...)
	}
	if stale || time.Since(x.started) < seedPeriod {
		addresses = append(addresses, x.opts.Seeds...)
	}
	addresses = append(addresses, x.peersAhead()...)
	if x.opts.Follower.IsAwaiting() {
		addresses = append(addresses, x.peersToHear()...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == x.opts.Self })
}

// peersAhead returns the peers that have newer operators' entries. They are called even if
// it would be theirs to call.
func (x *Exchange) peersAhead() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var addresses []string
	for address, p := range x.peers {
		if p.ahead && len(addresses) < maxWatcherCalls {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// seedPeriod is how long a process calls its seeds after its start even if the store
// lists gateways, since the leases of all gateways may just have expired.
const seedPeriod = 5 * time.Second

// PeersSince returns the gateways whose last report arrived after since.
func (x *Exchange) PeersSince(since time.Time) []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	var addresses []string
	for address, p := range x.peers {
		if p.lastReport.After(since) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// maxWatcherCalls bounds the watching gateways that are called by a gateway that does not
// watch the store itself.
const maxWatcherCalls = 2

// chooseWatchers returns at most maxWatcherCalls of the gateways that watch the store,
// chosen by a hash so that different callers choose different ones. Those whose last call
// failed come last.
func (x *Exchange) chooseWatchers(listed []deployment.Gateway) []string {
	watchers := roster.Watchers(listed)
	x.mu.Lock()
	defer x.mu.Unlock()
	failing := func(address string) int {
		if p := x.peers[address]; p != nil && p.failing {
			return 1
		}
		return 0
	}
	slices.SortFunc(watchers, func(a, b string) int {
		return cmp.Or(cmp.Compare(failing(a), failing(b)), compareWatchers(a, b, x.opts.Self))
	})
	return watchers[:min(len(watchers), maxWatcherCalls)]
}

// beginCall reports whether the peer is to be called now, and if so marks it as being
// called.
func (x *Exchange) beginCall(address string, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	if p.calling || now.Before(p.nextTry) {
		return false
	}
	p.calling = true
	return true
}

// peer returns the state of a gateway. The caller must hold mu.
func (x *Exchange) peer(address string) *peer {
	p := x.peers[address]
	if p == nil {
		p = &peer{}
		x.peers[address] = p
	}
	return p
}

// callPeer exchanges reports with a peer and merges its report.
func (x *Exchange) callPeer(ctx context.Context, address string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	client := wire.NewDRPCGatewaysClient(x.opts.Dialer.Conn(callCtx, address))
	report, err := client.Exchange(callCtx, x.report(address))
	x.endCall(address, err)
	if err != nil {
		x.endWait()
		return
	}
	_ = guard.Call("report of a gateway", func() error { // a panic is logged there
		x.mergeReport(callCtx, report)
		x.endWait()
		missing := x.updateFromPeer(ctx, address, report)
		if len(missing) > 0 || x.lagsBehind(address, report, time.Now()) {
			x.catchUpOperators(ctx, address, report)
		}
		return nil
	})
}

func (x *Exchange) endCall(address string, err error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peers[address]
	p.calling = false
	switch {
	case err != nil && !p.failing:
		logger.Warn(fields{"peer": address, "error": err.Error()}, "gateway lost")
	case err == nil && p.failing:
		logger.Info(fields{"peer": address}, "gateway regained")
	}
	p.failing = err != nil
	if err != nil {
		p.nextTry = time.Now().Add(failureBackoff)
	}
}

// Exchange implements wire.DRPCGatewaysServer.
func (x *Exchange) Exchange(ctx context.Context, report *wire.GatewayReport) (*wire.GatewayReport, error) {
	x.mergeReport(ctx, report)
	x.endWait()
	return x.report(report.Sender), nil
}

// staleness returns the time since the store last confirmed this gateway's state.
func (x *Exchange) staleness() time.Duration { return x.opts.Follower.Staleness(time.Now()) }

// report returns this gateway's report for the peer at address.
func (x *Exchange) report(address string) *wire.GatewayReport {
	snapshot := x.opts.Follower.Snapshot()
	report := &wire.GatewayReport{
		Sender:         x.opts.Self,
		ConfigVersion:  configVersion(snapshot),
		StoreSilenceMs: x.staleness().Milliseconds(),
		Position:       snapshot.Position.Revision(),
		StoreEra:       uint64(snapshot.Position.Era()),
		Starting:       x.opts.Follower.IsAwaiting(),
	}
	for id, load := range x.opts.Fleet.OwnLoad() {
		report.Loads = append(report.Loads, &wire.ServerLoad{Server: id, Running: uint32(load.Running), PendingTokens: load.PendingTokens})
	}
	now := time.Now()
	for _, o := range x.opts.Fleet.Observations(now) {
		report.Notes = append(report.Notes, &wire.ServerNote{
			Server: o.Server, Incarnation: o.Incarnation, Model: o.Model, Weights: o.Weights,
			LoadingMs: o.Loading.Milliseconds(),
		})
	}
	for model, target := range snapshot.Weights {
		for _, n := range target.Versions {
			report.Named = append(report.Named, &wire.NamedWeights{Model: model, Version: n.Version, AgeMs: now.Sub(n.Since).Milliseconds()})
		}
	}
	for _, server := range x.opts.Follower.LeavingServers() {
		report.Leaving = append(report.Leaving, &wire.LeavingServer{Server: server.ID, Incarnation: server.Incarnation})
	}
	for _, r := range x.opts.Follower.Retired() {
		report.Retired = append(report.Retired, &wire.RetiredServer{
			Server: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, Removed: r.Removed, AgeMs: now.Sub(r.At).Milliseconds(),
		})
	}
	for _, use := range x.newUses(address) {
		report.Uses = append(report.Uses, &wire.CacheUse{
			Salt: use.Salt, Parts: use.Parts, Server: use.Holder.ID, Address: use.Holder.Address, Saved: use.Saved,
		})
	}
	findings, joined := x.lastKnown(address)
	report.Quarantine = x.opts.Quarantine.News(findings, now)
	report.Limits = x.opts.Limits.News(now.Sub(joined) < joinTime, now)
	report.Canaries = x.canaryNews(now)
	return report
}

// joinTime is how long a peer that joins, or was cut off, is told all limits. A peer counts
// as cut off after a silence of silenceTime.
const (
	joinTime    = time.Second
	silenceTime = 2 * time.Second
)

// lastKnown returns the digest in the last report of a peer, and when the peer joined.
func (x *Exchange) lastKnown(address string) (findings uint64, joined time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	return p.findings, p.joined
}

// newUses returns the uses of cached parts that were not sent to the peer yet, and marks
// them as sent.
func (x *Exchange) newUses(address string) []kvcache.Use {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	uses, sent := x.opts.Cache.UsesSince(p.usesSent)
	p.usesSent = sent
	return uses
}

func configVersion(snapshot *deployment.Snapshot) uint64 {
	if snapshot.Config == nil {
		return 0
	}
	return snapshot.Config.Version
}

// mergeReport merges a peer's report into this gateway's state.
func (x *Exchange) mergeReport(ctx context.Context, report *wire.GatewayReport) {
	now := time.Now()
	loads := make(map[string]fleet.Load, len(report.Loads))
	for _, load := range report.Loads {
		if load.Running > maxRunning || load.PendingTokens < 0 || load.PendingTokens > maxPendingTokens {
			continue // impossible
		}
		loads[load.Server] = fleet.Load{Running: int(load.Running), PendingTokens: load.PendingTokens}
	}
	x.opts.Fleet.SetRemoteLoad(report.Sender, loads, now)
	x.recordReport(report, now)
	x.mergeCanaries(report.Sender, report.Canaries, now)
	x.opts.Quarantine.Merge(report.Quarantine, now)
	x.opts.Limits.Merge(report.Limits, x.opts.Follower.Snapshot().Incarnation, now)
	for _, server := range report.Leaving {
		x.opts.Follower.ReportLeaving(follower.Leaving{ID: server.Server, Incarnation: server.Incarnation}, report.Sender)
	}
	x.mergeRetired(ctx, report.Retired, now)
	for _, note := range report.Notes {
		x.opts.Fleet.MergeObservation(fleet.Observation{
			Server: note.Server, Incarnation: note.Incarnation, Model: note.Model, Weights: note.Weights,
			Loading: time.Duration(note.LoadingMs) * time.Millisecond,
		}, now)
	}
	for _, use := range report.Uses {
		x.opts.Cache.MergeUse(&kvcache.Use{
			Salt: use.Salt, Parts: use.Parts, Saved: use.Saved,
			Holder: kvcache.Holder{ID: use.Server, Address: use.Address},
		}, now)
	}
	x.mergeTargetReports(ctx, report.Named, now)
}

func (x *Exchange) recordReport(report *wire.GatewayReport, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(report.Sender)
	if now.Sub(p.lastReport) > silenceTime {
		p.joined = now
	}
	p.lastReport, p.findings = now, report.Quarantine.GetDigest()
	snapshot := x.opts.Follower.Snapshot()
	isNews := !p.ahead || report.ConfigVersion > p.configVersion
	p.ahead, p.configVersion = isAhead(report, snapshot), report.ConfigVersion
	x.behind.note(report.Sender, report.ConfigVersion, configVersion(snapshot), now)
	p.running = !report.Starting
	if p.ahead && isNews {
		signal(x.aheadSeen)
	}
}

// signal sends a value unless one is waiting already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (x *Exchange) mergeRetired(ctx context.Context, list []*wire.RetiredServer, now time.Time) {
	retired := make([]follower.Retired, 0, len(list))
	for _, r := range list {
		retired = append(retired, follower.Retired{
			ID: r.Server, Incarnation: r.Incarnation, Sequence: r.Sequence, Removed: r.Removed, At: now.Add(-max(0, milliseconds(r.AgeMs))),
		})
	}
	x.opts.Follower.MergeRetired(ctx, retired)
}

func (x *Exchange) mergeTargetReports(ctx context.Context, list []*wire.NamedWeights, now time.Time) {
	reports := make([]follower.TargetReport, 0, len(list))
	for _, n := range list {
		since := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
		reports = append(reports, follower.TargetReport{Model: n.Model, WeightsVersion: deployment.WeightsVersion{Version: n.Version, Since: since}})
	}
	x.opts.Follower.MergeReports(ctx, reports)
}
