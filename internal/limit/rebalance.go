package limit

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/guard"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	defaultRebalanceInterval = 50 * time.Millisecond
	// activePeriod is how long after a request a workspace's levels are rebalanced.
	activePeriod = 2 * time.Second
	// A level is rebalanced when it is at least cap/minGapDivisor below the balanced
	// level, or when some peer is less than cap/minGapDivisor below its own cap.
	minGapDivisor = 32
	// With more than fewPeers peers each call moves fewer tokens. A level above three
	// quarters of its cap is then not rebalanced, and the gap must be at least
	// cap/wideGapDivisor.
	fewPeers       = 3
	wideGapDivisor = 8
)

// Run sends heartbeats, rebalances levels with the other owners, sends refunds to them
// and probes those that failed or are new, until ctx ends.
func (l *Local) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return runEvery(ctx, heartbeatInterval, func() { l.pauseGuard.heartbeat() }) })
	group.Go(func() error { return runEvery(ctx, l.rebalanceInterval, func() { l.rebalance(ctx) }) })
	group.Go(func() error { return runEvery(ctx, l.rebalanceInterval, func() { l.sendRefunds(ctx) }) })
	group.Go(func() error { return runEvery(ctx, probeInterval, func() { l.probe(ctx) }) })
	return group.Wait()
}

func runEvery(ctx context.Context, interval time.Duration, step func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			step()
		}
	}
}

// rebalance requests tokens from each owner whose level of some workspace is above
// the balanced one. It asks them in parallel, so that one that does not respond delays
// no other.
func (l *Local) rebalance(ctx context.Context) {
	st, snapshot := l.current()
	l.health.retain(st.owners)
	now := l.now(snapshot)
	if !now.spendable {
		return
	}
	requests := make([][]tokenRequest, len(st.owners))
	responsive := make([]bool, len(st.owners))
	for i, o := range st.owners {
		responsive[i] = l.health.isResponsive(o.address, time.Now())
	}
	for _, b := range st.buckets {
		b.planRequests(now, responsive, requests)
	}
	var calls sync.WaitGroup
	for i, list := range requests {
		if len(list) == 0 {
			continue
		}
		calls.Add(1)
		l.spawn(func() {
			defer calls.Done()
			l.pull(ctx, snapshot, st.owners[i].address, list)
		})
	}
	calls.Wait()
}

// probe calls the owners that failed, to find out whether they respond again, and those
// whose response time is unknown.
func (l *Local) probe(ctx context.Context) {
	st, snapshot := l.current()
	for _, o := range st.owners {
		if !l.health.beginProbe(o.address, time.Now()) {
			continue
		}
		l.spawn(func() {
			defer l.health.endProbe(o.address)
			l.pull(ctx, snapshot, o.address, nil)
		})
	}
}

// tokenRequest is a number of one workspace's tokens to request from a peer.
type tokenRequest struct {
	bucket *bucket
	tokens int64
	level  int64
	cap    int64
	mark   uint64
}

// planRequests appends the bucket's token requests to those of each owner that responds.
func (b *bucket) planRequests(now clockReading, responsive []bool, requests [][]tokenRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.peers); n > 0 && b.peers[n-1].index >= len(requests) {
		return // the table has just changed
	}
	indebted := b.level < 0
	if now.elapsed-b.lastRequest > activePeriod && !indebted {
		return
	}
	b.update(now.refill)
	for i := range b.peers {
		b.peers[i].responsive = responsive[b.peers[i].index]
	}
	missing := b.balancedLevel(now, b.own.burst) - b.level
	if missing <= 0 || !b.worthRebalancing(now, missing) {
		return
	}
	mark := b.history.mark - 1
	for i := range b.peers {
		p := &b.peers[i]
		if surplus := p.estimate(now.elapsed) - b.balancedLevel(now, p.own.burst); p.responsive && surplus > 0 {
			r := tokenRequest{bucket: b, tokens: min(surplus, missing), level: b.level, cap: b.own.burst, mark: mark}
			requests[p.index] = append(requests[p.index], r)
		}
	}
}

// worthRebalancing reports whether a rebalance is worth its calls; missing is how
// far this bucket is below the balanced level.
func (b *bucket) worthRebalancing(now clockReading, missing int64) bool {
	gap := b.own.burst / minGapDivisor
	if len(b.peers) > fewPeers {
		gap = b.own.burst / wideGapDivisor
	}
	if len(b.peers) > fewPeers && b.level > b.own.burst/4*3 {
		return false
	}
	return missing >= gap || b.peerNearlyFull(now)
}

// peerNearlyFull reports whether some peer is nearly full and would soon lose
// refill.
func (b *bucket) peerNearlyFull(now clockReading) bool {
	for i := range b.peers {
		p := &b.peers[i]
		if p.responsive && p.own.burst-p.estimate(now.elapsed) < p.own.burst/minGapDivisor {
			return true
		}
	}
	return false
}

// balancedLevel returns the level that an owner with the given burst has when all
// owners that respond are equally full.
func (b *bucket) balancedLevel(now clockReading, burst int64) int64 {
	level, burstSum := b.level, b.own.burst
	for i := range b.peers {
		if p := &b.peers[i]; p.responsive {
			level += p.estimate(now.elapsed)
			burstSum += p.own.burst
		}
	}
	if burstSum == 0 {
		return 0
	}
	return int64(float64(level) * float64(burst) / float64(burstSum))
}

// pull requests tokens of several workspaces from one owner. A call without requests is
// a probe.
func (l *Local) pull(ctx context.Context, snapshot *control.Snapshot, address string, requests []tokenRequest) {
	req := &wire.LevelsRequest{Revisions: snapshot.Revisions()}
	for _, r := range requests {
		req.Levels = append(req.Levels, &wire.Level{
			Workspace: r.bucket.workspace, Tokens: r.level, Cap: r.cap, Moved: r.tokens,
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = guard.Call("levels of a peer", func() error { // a panic is logged there
		var reply *wire.LevelsReply
		_, err := l.call(address, func() (err error) {
			reply, err = l.peers.Levels(callCtx, address, req)
			return err
		})
		l.meters.pulls.Add(ctx, 1)
		if err == nil {
			l.receive(address, requests, reply)
		}
		return err
	})
}

// receive credits the tokens that an owner transferred, as if they had been in the
// buckets since the request.
func (l *Local) receive(address string, requests []tokenRequest, reply *wire.LevelsReply) {
	valid := l.valid(address, reply.Revisions.GetShardEpoch())
	now := l.pauseGuard.now()
	for _, level := range reply.Levels {
		for _, r := range requests {
			if r.bucket.workspace != level.Workspace {
				continue
			}
			r.bucket.recordPeerLevel(now.elapsed, address, level.Tokens)
			if valid && level.Moved > 0 && level.Moved <= r.tokens {
				r.bucket.credit(now.refill, level.Moved, r.mark)
			}
		}
	}
}
