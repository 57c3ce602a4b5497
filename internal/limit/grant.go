package limit

import (
	"context"
	"sync/atomic"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// grant implements Grant.
type grant struct {
	local    *Local
	bucket   *bucket
	mark     uint64 // place in the bucket's history where the tokens were drawn
	cost     int64
	draws    []*wire.Draw
	borrowed []*wire.Draw // the draws of peers
	settled  atomic.Bool
	single   [1]*wire.Draw
}

// grantOwn makes a grant of this router's own tokens.
func (l *Local) grantOwn(st *state, b *bucket, own part) *grant {
	g := &grant{local: l, bucket: b, mark: own.mark, cost: own.tokens}
	if own.tokens > 0 {
		g.single[0] = l.draw(st, b, own)
		g.draws = g.single[:]
	}
	return g
}

// draw describes tokens of this router's bucket. Its lowest shard stands for
// all: shards are given up from the highest on, and revoked all at once.
func (l *Local) draw(st *state, b *bucket, own part) *wire.Draw {
	return &wire.Draw{
		Shard:       (st.held & b.home).lowest(),
		Epoch:       st.epoch,
		Owner:       l.self,
		Tokens:      own.tokens,
		Incarnation: l.incarnation,
		Mark:        own.mark,
	}
}

// Draws implements Grant.
func (g *grant) Draws() []*wire.Draw { return g.draws }

// Settle implements Grant.
func (g *grant) Settle(used int64) {
	if g.settled.Swap(true) {
		return
	}
	rest := g.cost - max(0, used)
	if rest > 0 {
		g.local.giveBack(context.Background(), g.bucket, rest, g.mark, g.borrowed)
	}
	if rest < 0 {
		g.bucket.charge(g.local.guard.now().refill, -rest)
	}
}

// giveBack returns tokens that were drawn at mark or borrowed since. What the
// own bucket could not have kept goes back to the lenders.
func (l *Local) giveBack(ctx context.Context, b *bucket, tokens int64, mark uint64, borrowed []*wire.Draw) {
	kept, _ := b.credit(l.guard.now().refill, tokens, mark)
	tokens -= kept
	for _, d := range borrowed {
		if tokens == 0 {
			return
		}
		returned := min(tokens, d.Tokens)
		tokens -= returned
		l.refunds.add(b.workspace, d, returned)
	}
	l.meters.lost.Add(ctx, tokens)
}
