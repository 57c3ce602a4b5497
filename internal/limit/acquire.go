package limit

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	maxRounds = 8
	// minJitter and maxJitter bound the pause after the first round of debits; the
	// upper bound grows with each round.
	minJitter = time.Millisecond
	maxJitter = 10 * time.Millisecond
	// maxRetryAfter is shown when the tokens would not come back by themselves.
	maxRetryAfter = time.Minute
)

// Acquire implements Limiter.
func (l *Local) Acquire(ctx context.Context, workspace string, cost int64, requestID string) (Grant, error) {
	st, snapshot := l.current()
	b, err := l.bucketFor(st, workspace, cost)
	if err != nil {
		l.meters.refuse(ctx, err)
		return nil, err
	}
	now := l.now(snapshot)
	if now.spendable {
		if own, ok := b.take(now, max(0, cost)); ok {
			l.meters.grantOwn(ctx, cost)
			return l.grantOwn(st, b, own), nil
		}
	}
	a := &attempt{local: l, state: st, snapshot: snapshot, bucket: b, cost: cost, requestID: requestID}
	grant, err := a.run(ctx)
	if err != nil {
		l.meters.refuse(ctx, err)
		return nil, err
	}
	l.meters.grantPeers(ctx, cost)
	return grant, nil
}

// bucketFor returns the workspace's bucket if cost can be drawn from it at all.
func (l *Local) bucketFor(st *state, workspace string, cost int64) (*bucket, error) {
	if st.config == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no configuration is known yet")
	}
	w := st.config.Document.Workspace(workspace)
	if w == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeForbidden, "workspace %q does not exist", workspace)
	}
	if cost > w.Burst {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCostAboveBurst,
			"the request needs %d tokens, above the burst of %d", cost, w.Burst)
	}
	b := st.buckets[workspace]
	if st.owned&b.home == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no router owns a shard of the bucket")
	}
	return b, nil
}

// attempt draws one request's tokens from this router and its peers.
type attempt struct {
	local     *Local
	state     *state
	snapshot  *control.Snapshot
	bucket    *bucket
	cost      int64
	requestID string

	own      part
	draws    []*wire.Draw // from peers
	got      int64
	answered bool // some owner answered, or this router is one
}

// run makes rounds of debits until the cost is drawn or the wait is over.
func (a *attempt) run(ctx context.Context) (Grant, error) {
	deadline := time.Now().Add(a.local.wait)
	for round := 1; ; round++ {
		delay := a.round(ctx, round)
		if a.got == a.cost {
			return a.grant(), nil
		}
		a.refund(ctx)
		if round == maxRounds || time.Now().Add(delay).After(deadline) {
			return nil, a.refusal(delay)
		}
		if err := clock.Sleep(ctx, delay); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeCancelled, "the caller left")
		}
	}
}

// round draws as much as it can. If that is short, it returns the time after
// which another round may succeed.
func (a *attempt) round(ctx context.Context, round int) time.Duration {
	now := a.local.now(a.snapshot)
	a.answered = a.answered || now.spendable && a.state.held&a.bucket.home != 0
	reach := a.bucket.survey(now)
	if reach.total < a.cost {
		return timeFor(a.cost-reach.total, reach.rate)
	}
	if now.spendable {
		a.own, _ = a.bucket.takeUpTo(now.refill, a.cost)
	} else {
		a.own = part{mark: a.bucket.place(now.refill)}
	}
	a.got = a.own.tokens
	a.bucket.hold(a.own.tokens)
	defer a.bucket.hold(-a.own.tokens)
	for _, o := range a.local.order(reach.orders) {
		if a.got == a.cost || ctx.Err() != nil {
			break
		}
		a.debit(ctx, o.address)
	}
	missing := a.cost - a.bucket.survey(a.local.now(a.snapshot)).total - a.got
	return max(jitter(round), timeFor(missing, reach.rate))
}

// debit asks one owner for what is missing.
func (a *attempt) debit(ctx context.Context, address string) {
	l := a.local
	req := &wire.DebitRequest{
		Workspace: a.bucket.workspace,
		Tokens:    a.cost - a.got,
		Revisions: a.snapshot.Revisions(),
		RequestId: a.requestID,
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := l.peers.Debit(callCtx, address, req)
	answered := time.Now()
	if err != nil {
		l.health.fail(address, answered)
		return
	}
	l.health.recover(address)
	l.meters.debits.Add(ctx, 1)
	a.answered = true
	a.bucket.learn(l.guard.now().elapsed, address, reply.Level)
	if answered.Sub(sent) > callTimeout {
		return
	}
	a.collect(reply.Draws)
}

// collect keeps the draws that this router's table does not object to.
func (a *attempt) collect(draws []*wire.Draw) {
	for _, d := range draws {
		if d.Tokens <= 0 || d.Tokens > a.cost-a.got || !a.local.valid(d.Owner, d.Epoch) {
			continue
		}
		a.draws = append(a.draws, d)
		a.got += d.Tokens
	}
}

// valid says whether the table allows owner to spend what it drew under epoch.
func (l *Local) valid(owner string, epoch uint64) bool {
	st, _ := l.current()
	return st.table == nil || st.table.Holds(owner, epoch)
}

func (a *attempt) grant() Grant {
	draws := a.draws
	if a.own.tokens > 0 {
		draws = append(draws, a.local.draw(a.state, a.bucket, a.own))
	}
	return &grant{local: a.local, bucket: a.bucket, mark: a.own.mark, cost: a.cost, draws: draws, borrowed: a.draws}
}

// refund returns the tokens of a round that was short.
func (a *attempt) refund(ctx context.Context) {
	if a.got > 0 {
		a.local.giveBack(ctx, a.bucket, a.got, a.own.mark, a.draws)
	}
	a.own, a.draws, a.got = part{}, nil, 0
}

func (a *attempt) refusal(delay time.Duration) error {
	if !a.answered && a.local.silent(a.bucket) {
		return verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no owner of the bucket's shards answers")
	}
	return verdict.New(verdict.NotRun, verdict.CodeRateLimited,
		"workspace %q is over its rate: %d tokens are needed, %d can be had", a.bucket.workspace, a.cost,
		a.bucket.survey(a.local.now(a.snapshot)).total).WithRetryAfter(delay)
}

// silent says whether the bucket has other owners and all failed lately.
func (l *Local) silent(b *bucket) bool {
	orders := b.survey(l.guard.now()).orders
	now := time.Now()
	for _, o := range orders {
		if !l.health.isFailing(o.address, now) {
			return false
		}
	}
	return len(orders) > 0
}

// order puts peers that failed lately last.
func (l *Local) order(orders []order) []order {
	now := time.Now()
	sorted := make([]order, 0, len(orders))
	var failing []order
	for _, o := range orders {
		if l.health.isFailing(o.address, now) {
			failing = append(failing, o)
			continue
		}
		sorted = append(sorted, o)
	}
	return append(sorted, failing...)
}

// timeFor returns how long rate takes to bring tokens.
func timeFor(tokens, rate int64) time.Duration {
	if tokens <= 0 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	seconds := float64(tokens) / float64(rate)
	return min(maxRetryAfter, max(minJitter, time.Duration(seconds*float64(time.Second))))
}

func jitter(round int) time.Duration {
	return minJitter + rand.N(time.Duration(round)*maxJitter-minJitter)
}
