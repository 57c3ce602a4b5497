package limit

import (
	"context"
	"sync/atomic"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// grant implements Grant.
type grant struct {
	local     *Local
	bucket    *bucket
	mark      uint64 // in the bucket's history, when the tokens were drawn
	cost      int64
	draws     []*wire.Draw
	peerDraws []*wire.Draw // the draws from peers
	settled   atomic.Bool
	ownDraw   [1]*wire.Draw
}

// grantOwn returns a grant of this router's own tokens.
func (l *Local) grantOwn(st *state, b *bucket, own withdrawal) *grant {
	g := &grant{local: l, bucket: b, mark: own.mark, cost: own.tokens}
	if own.tokens > 0 {
		g.ownDraw[0] = l.draw(st, b, own)
		g.draws = g.ownDraw[:]
	}
	return g
}

// draw describes tokens taken from this router's bucket. It names only the lowest
// shard: shards are given up from the highest down and revoked all at once, so the
// lowest is valid as long as any.
func (l *Local) draw(st *state, b *bucket, own withdrawal) *wire.Draw {
	return &wire.Draw{
		Shard:       (st.held & b.shards).lowest(),
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
		g.local.returnTokens(context.Background(), g.bucket, rest, g.mark, g.peerDraws)
	}
	if rest < 0 {
		g.bucket.charge(g.local.pauseGuard.now().refill, -rest)
	}
}

// returnTokens returns tokens that were drawn at mark or debited from peers since.
// Those that would have overflowed this router's bucket are refunded to the peers.
func (l *Local) returnTokens(ctx context.Context, b *bucket, tokens int64, mark uint64, peerDraws []*wire.Draw) {
	kept, _ := b.credit(l.pauseGuard.now().refill, tokens, mark)
	tokens -= kept
	for _, d := range peerDraws {
		if tokens == 0 {
			return
		}
		returned := min(tokens, d.Tokens)
		tokens -= returned
		l.refunds.add(b.workspace, d, returned)
	}
	l.meters.lost.Add(ctx, tokens)
}
