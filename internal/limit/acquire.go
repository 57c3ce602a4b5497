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
	maxRounds = 8 // of debits for one request
	// minJitter and maxJitter bound the random delay after the first round of
	// debits; the upper bound grows linearly with the rounds.
	minJitter = time.Millisecond
	maxJitter = 10 * time.Millisecond
	// maxRetryAfter bounds the retry time; it also stands for tokens that no refill
	// would bring.
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

// bucketFor returns the workspace's bucket, or an error if it can never provide
// cost tokens or none of its shards has an owner.
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
	if st.owned&b.shards == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no router owns a shard of the bucket")
	}
	return b, nil
}

// attempt collects one request's tokens from this router and its peers.
type attempt struct {
	local     *Local
	state     *state
	snapshot  *control.Snapshot
	bucket    *bucket
	cost      int64
	requestID string

	own       withdrawal
	draws     []*wire.Draw // from peers
	drawn     int64        // own tokens and those of draws
	responded bool         // some owner responded, or this router is one
}

// run makes rounds of debits until the whole cost is drawn, the time is up or
// maxRounds is reached. The tokens of an incomplete round are refunded.
func (a *attempt) run(ctx context.Context) (Grant, error) {
	deadline := time.Now().Add(a.local.wait)
	for round := 1; ; round++ {
		delay := a.round(ctx, round)
		if a.drawn == a.cost {
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

// round draws as many of the tokens as it can. The result is the time after which
// another round may succeed; it matters only if tokens are missing.
func (a *attempt) round(ctx context.Context, round int) time.Duration {
	now := a.local.now(a.snapshot)
	a.responded = a.responded || now.spendable && a.state.held&a.bucket.shards != 0
	supply := a.bucket.available(now)
	if supply.total < a.cost {
		return refillTime(a.cost-supply.total, supply.rate)
	}
	if now.spendable {
		a.own, _ = a.bucket.takeUpTo(now.refill, a.cost)
	} else {
		a.own = withdrawal{mark: a.bucket.currentMark(now.refill)}
	}
	a.drawn = a.own.tokens
	a.bucket.addPending(a.own.tokens)
	defer a.bucket.addPending(-a.own.tokens)
	for _, c := range a.local.failingLast(supply.candidates) {
		if a.drawn == a.cost || ctx.Err() != nil {
			break
		}
		a.debit(ctx, c.address)
	}
	missing := a.cost - a.bucket.available(a.local.now(a.snapshot)).total - a.drawn
	return max(jitter(round), refillTime(missing, supply.rate))
}

// debit requests the missing tokens from one owner.
func (a *attempt) debit(ctx context.Context, address string) {
	l := a.local
	req := &wire.DebitRequest{
		Workspace: a.bucket.workspace,
		Tokens:    a.cost - a.drawn,
		Revisions: a.snapshot.Revisions(),
		RequestId: a.requestID,
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := l.peers.Debit(callCtx, address, req)
	responded := time.Now()
	if err != nil {
		l.health.recordFailure(address, responded)
		return
	}
	l.health.recordSuccess(address)
	l.meters.debits.Add(ctx, 1)
	a.responded = true
	a.bucket.recordPeerLevel(l.pauseGuard.now().elapsed, address, reply.Level)
	if responded.Sub(sent) > callTimeout {
		return
	}
	a.collect(reply.Draws)
}

// collect adds the draws that are valid under this router's shard table. A draw of
// more tokens than are missing is dropped.
func (a *attempt) collect(draws []*wire.Draw) {
	for _, d := range draws {
		if d.Tokens <= 0 || d.Tokens > a.cost-a.drawn || !a.local.valid(d.Owner, d.Epoch) {
			continue
		}
		a.draws = append(a.draws, d)
		a.drawn += d.Tokens
	}
}

// valid reports whether this router's shard table allows the use of tokens that owner
// drew in epoch.
func (l *Local) valid(owner string, epoch uint64) bool {
	st, _ := l.current()
	return st.table == nil || st.table.ValidForAny(owner, epoch)
}

func (a *attempt) grant() Grant {
	draws := a.draws
	if a.own.tokens > 0 {
		draws = append(draws, a.local.draw(a.state, a.bucket, a.own))
	}
	return &grant{local: a.local, bucket: a.bucket, mark: a.own.mark, cost: a.cost, draws: draws, peerDraws: a.draws}
}

// refund returns the tokens of an incomplete round.
func (a *attempt) refund(ctx context.Context) {
	if a.drawn > 0 {
		a.local.returnTokens(ctx, a.bucket, a.drawn, a.own.mark, a.draws)
	}
	a.own, a.draws, a.drawn = withdrawal{}, nil, 0
}

func (a *attempt) refusal(delay time.Duration) error {
	if !a.responded && a.local.allPeersFailing(a.bucket) {
		return verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no owner of the bucket's shards answers")
	}
	return verdict.New(verdict.NotRun, verdict.CodeRateLimited,
		"workspace %q is over its rate: %d tokens are needed, %d can be had", a.bucket.workspace, a.cost,
		a.bucket.available(a.local.now(a.snapshot)).total).WithRetryAfter(delay)
}

// allPeersFailing reports whether the bucket has other owners and all of them
// failed recently.
func (l *Local) allPeersFailing(b *bucket) bool {
	candidates := b.available(l.pauseGuard.now()).candidates
	now := time.Now()
	for _, c := range candidates {
		if !l.health.isFailing(c.address, now) {
			return false
		}
	}
	return len(candidates) > 0
}

// failingLast moves peers that failed recently to the end.
func (l *Local) failingLast(candidates []candidate) []candidate {
	now := time.Now()
	sorted := make([]candidate, 0, len(candidates))
	var failing []candidate
	for _, c := range candidates {
		if l.health.isFailing(c.address, now) {
			failing = append(failing, c)
			continue
		}
		sorted = append(sorted, c)
	}
	return append(sorted, failing...)
}

// refillTime returns how long a refill of tokens takes at rate, between minJitter
// and maxRetryAfter.
func refillTime(tokens, rate int64) time.Duration {
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
