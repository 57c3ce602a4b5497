package limit

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxRefunds bounds the draws queued for refund; further ones are dropped.
const maxRefunds = 4096

// refunds queues tokens to return to the peers that they were debited from.
type refunds struct {
	mu      sync.Mutex
	count   int
	pending []refund
}

// refund is a list of draws of one workspace to return to their owner.
type refund struct {
	owner     string
	workspace string
	draws     []*wire.Draw
}

// add queues the refund of tokens of a draw.
func (r *refunds) add(workspace string, draw *wire.Draw, tokens int64) {
	returned := withTokens(draw, tokens)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == maxRefunds {
		return
	}
	r.count++
	for i := range r.pending {
		if r.pending[i].owner == draw.Owner && r.pending[i].workspace == workspace {
			r.pending[i].draws = append(r.pending[i].draws, returned)
			return
		}
	}
	r.pending = append(r.pending, refund{owner: draw.Owner, workspace: workspace, draws: []*wire.Draw{returned}})
}

// takeAll empties the queue and returns its refunds.
func (r *refunds) takeAll() []refund {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pending
	r.pending, r.count = nil, 0
	return pending
}

// sendRefunds sends the queued refunds. A refund is lost if it fails or if its
// owner does not respond.
func (l *Local) sendRefunds(ctx context.Context) {
	for _, r := range l.refunds.takeAll() {
		if !l.health.isResponsive(r.owner, time.Now()) {
			continue
		}
		req := &wire.CreditRequest{
			Workspace: r.workspace,
			Draws:     r.draws,
			Revisions: l.source.Snapshot().Revisions(),
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, _ = l.call(r.owner, func() error {
			_, err := l.peers.Credit(callCtx, r.owner, req)
			return err
		})
		cancel()
	}
}
