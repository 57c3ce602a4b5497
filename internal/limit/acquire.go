package limit

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

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
	began     time.Time

	own       withdrawal
	draws     []*wire.Draw // from peers
	drawn     int64        // own tokens and those of draws
	distant   bool         // a peer was asked that usually responds after the refusal time
	responded bool         // some owner responded, or this router is one
}

// run makes rounds of debits until the whole cost is drawn, the time is up or
// maxRounds is reached. The tokens of an incomplete round are refunded.
func (a *attempt) run(ctx context.Context) (Grant, error) {
	a.began = time.Now()
	for round := 1; ; round++ {
		delay := a.round(ctx, round)
		if a.drawn == a.cost {
			return a.grant(), nil
		}
		a.refund(ctx)
		if round == maxRounds || time.Now().Add(delay).After(a.began.Add(a.longestWait())) {
			return nil, a.refusal(delay)
		}
		if err := clock.Sleep(ctx, delay); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeCancelled, "the caller left")
		}
	}
}

// longestWait returns how long a request waits for a refill. Beyond the refusal time it
// does not, even if the wait allows it: other routers' requests wait for the same refill,
// and beside a workspace over its rate most of them would be refused late. Debits from
// distant peers may take longer.
func (a *attempt) longestWait() time.Duration {
	if l := a.local; l.refusalTime > 0 && !a.distant {
		return min(l.wait, l.refusalTime)
	}
	return a.local.wait
}

// round draws as many of the tokens as it can. The result is the time after which
// another round may succeed; it matters only if tokens are missing.
func (a *attempt) round(ctx context.Context, round int) time.Duration {
	now := a.local.now(a.snapshot)
	a.responded = a.responded || now.spendable && a.state.held&a.bucket.shards != 0
	supply := a.local.supply(a.bucket, now, a.cost)
	if supply.total < a.cost {
		return supply.timeUntil(a.cost)
	}
	if now.spendable {
		a.own, _ = a.bucket.takeUpTo(now.refill, a.cost)
	} else {
		a.own = withdrawal{mark: a.bucket.currentMark(now.refill)}
	}
	a.drawn = a.own.tokens
	a.bucket.addPending(a.own.tokens)
	defer a.bucket.addPending(-a.own.tokens)
	if a.drawn < a.cost {
		newDebits(a, supply.peers).run(ctx)
	}
	supply = a.local.supply(a.bucket, a.local.now(a.snapshot), 0)
	return max(jitter(round), supply.timeUntil(a.cost-a.drawn))
}

// collect adds the draws of a call for at most requested tokens that are valid under this
// router's shard table, and returns tokens above the cost.
func (a *attempt) collect(ctx context.Context, draws []*wire.Draw, requested int64) {
	for _, d := range a.local.validDraws(draws, requested) {
		if surplus := a.drawn + d.Tokens - a.cost; surplus > 0 {
			a.local.returnDraws(ctx, a.bucket, a.own.mark, []*wire.Draw{withTokens(d, surplus)})
			d = withTokens(d, d.Tokens-surplus)
		}
		if d.Tokens > 0 {
			a.draws = append(a.draws, d)
			a.drawn += d.Tokens
		}
	}
}

// validDraws returns the draws that are valid under this router's shard table. Draws of
// more tokens than were requested are dropped.
func (l *Local) validDraws(draws []*wire.Draw, requested int64) []*wire.Draw {
	valid := make([]*wire.Draw, 0, len(draws))
	for _, d := range draws {
		if d.Tokens <= 0 || d.Tokens > requested || !l.valid(d.Owner, d.Epoch) {
			continue
		}
		requested -= d.Tokens
		valid = append(valid, d)
	}
	return valid
}

// returnDraws returns the tokens of draws that no request uses, which were debited after
// mark.
func (l *Local) returnDraws(ctx context.Context, b *bucket, mark uint64, draws []*wire.Draw) {
	tokens := int64(0)
	for _, d := range draws {
		tokens += d.Tokens
	}
	if tokens > 0 {
		l.meters.unused.Add(ctx, tokens)
		l.returnTokens(ctx, b, tokens, mark, draws)
	}
}

// withTokens returns a copy of a draw with another number of tokens.
func withTokens(d *wire.Draw, tokens int64) *wire.Draw {
	changed := proto.CloneOf(d)
	changed.Tokens = tokens
	return changed
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
	supply := a.local.supply(a.bucket, a.local.now(a.snapshot), 0)
	if !a.responded && len(supply.peers) == 0 && supply.unresponsive > 0 {
		return verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no owner of the bucket's shards answers")
	}
	a.bucket.recordRefusal(time.Now())
	return verdict.New(verdict.NotRun, verdict.CodeRateLimited,
		"workspace %q is over its rate: %d tokens are needed, %d can be had", a.bucket.workspace, a.cost,
		supply.total).WithRetryAfter(delay)
}

func jitter(round int) time.Duration {
	return minJitter + rand.N(time.Duration(round)*maxJitter-minJitter)
}
