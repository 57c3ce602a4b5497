package limit

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// evenInterval is the time between two evenings of levels, unless the options set
	// another.
	evenInterval = 50 * time.Millisecond
	// activeTime is how long after a request a workspace's levels are evened out.
	activeTime = 2 * time.Second
	// A level is evened out when it is minGapPart of its cap below the common
	// one, or when a peer has less than that left to its cap.
	minGapPart = 32
	// Among more peers than fewPeers each call brings less. A level is then left
	// alone unless it is wideGapPart of its cap below the common one, and below
	// three quarters of its cap.
	fewPeers    = 3
	wideGapPart = 8
)

// Run evens out levels with the other owners and returns refunds to them, until
// ctx ends.
func (l *Local) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return every(ctx, beatInterval, func() { l.guard.tick() }) })
	group.Go(func() error { return every(ctx, l.even, func() { l.evenOut(ctx) }) })
	group.Go(func() error { return every(ctx, l.even, func() { l.sendRefunds(ctx) }) })
	return group.Wait()
}

func every(ctx context.Context, interval time.Duration, step func()) error {
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

// evenOut asks each owner that has too much of some workspace for a part of it.
func (l *Local) evenOut(ctx context.Context) {
	st, snapshot := l.current()
	now := l.now(snapshot)
	if !now.spendable {
		return
	}
	wants := make([][]want, len(st.owners))
	for _, b := range st.buckets {
		b.plan(now, wants)
	}
	for i, list := range wants {
		if len(list) > 0 && !l.health.isFailing(st.owners[i].address, time.Now()) {
			l.pull(ctx, snapshot, st.owners[i].address, list)
		}
	}
}

// want is a number of tokens to ask a peer for.
type want struct {
	bucket *bucket
	tokens int64
	level  int64
	cap    int64
	mark   uint64
}

// plan adds what this bucket wants from each of its peers.
func (b *bucket) plan(now moment, wants [][]want) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := len(b.peers); n > 0 && b.peers[n-1].index >= len(wants) {
		return // the table has just changed
	}
	indebted := b.level < 0
	if now.elapsed-b.wanted > activeTime && !indebted {
		return
	}
	b.touch(now.refill)
	missing := b.common(now, b.own.burst) - b.level
	if missing <= 0 || !b.uneven(now, missing) {
		return
	}
	mark := b.past.mark - 1
	for i := range b.peers {
		p := &b.peers[i]
		if surplus := p.estimate(now.elapsed) - b.common(now, p.own.burst); surplus > 0 {
			w := want{bucket: b, tokens: min(surplus, missing), level: b.level, cap: b.own.burst, mark: mark}
			wants[p.index] = append(wants[p.index], w)
		}
	}
}

// uneven says whether evening out is worth its calls, given what this bucket
// lacks to be as full as all together.
func (b *bucket) uneven(now moment, missing int64) bool {
	gap := b.own.burst / minGapPart
	if len(b.peers) > fewPeers {
		gap = b.own.burst / wideGapPart
	}
	if len(b.peers) > fewPeers && b.level > b.own.burst/4*3 {
		return false
	}
	return missing >= gap || b.losesRefill(now)
}

// losesRefill says whether some peer is about to be full.
func (b *bucket) losesRefill(now moment) bool {
	for i := range b.peers {
		p := &b.peers[i]
		if p.own.burst-p.estimate(now.elapsed) < p.own.burst/minGapPart {
			return true
		}
	}
	return false
}

// common returns the level that a part with the given cap has when all parts
// are equally full.
func (b *bucket) common(now moment, burst int64) int64 {
	level, whole := b.level, b.own.burst
	for i := range b.peers {
		level += b.peers[i].estimate(now.elapsed)
		whole += b.peers[i].own.burst
	}
	if whole == 0 {
		return 0
	}
	return int64(float64(level) * float64(burst) / float64(whole))
}

// pull asks one owner for tokens of several workspaces.
func (l *Local) pull(ctx context.Context, snapshot *control.Snapshot, address string, wants []want) {
	req := &wire.LevelsRequest{Revisions: snapshot.Revisions()}
	for _, w := range wants {
		req.Levels = append(req.Levels, &wire.Level{
			Workspace: w.bucket.workspace, Tokens: w.level, Cap: w.cap, Moved: w.tokens,
		})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := l.peers.Levels(callCtx, address, req)
	l.meters.pulls.Add(ctx, 1)
	if err != nil {
		l.health.fail(address, time.Now())
		return
	}
	l.health.recover(address)
	l.receive(address, wants, reply)
}

// receive takes in what an owner gave, as far as the buckets could have kept it
// since it was asked for.
func (l *Local) receive(address string, wants []want, reply *wire.LevelsReply) {
	valid := l.valid(address, reply.Revisions.GetShardEpoch())
	now := l.guard.now()
	for _, level := range reply.Levels {
		for _, w := range wants {
			if w.bucket.workspace != level.Workspace {
				continue
			}
			w.bucket.learn(now.elapsed, address, level.Tokens)
			if valid && level.Moved > 0 && level.Moved <= w.tokens {
				w.bucket.credit(now.refill, level.Moved, w.mark)
			}
		}
	}
}
