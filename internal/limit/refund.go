package limit

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxRefunds bounds the draws that wait to be refunded; more are lost.
const maxRefunds = 4096

// refunds are tokens to return to the peers that lent them.
type refunds struct {
	mu      sync.Mutex
	count   int
	waiting []refund
}

// refund goes to one owner for one workspace.
type refund struct {
	owner     string
	workspace string
	draws     []*wire.Draw
}

// add queues tokens of a draw.
func (r *refunds) add(workspace string, draw *wire.Draw, tokens int64) {
	returned := proto.CloneOf(draw)
	returned.Tokens = tokens
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == maxRefunds {
		return
	}
	r.count++
	for i := range r.waiting {
		if r.waiting[i].owner == draw.Owner && r.waiting[i].workspace == workspace {
			r.waiting[i].draws = append(r.waiting[i].draws, returned)
			return
		}
	}
	r.waiting = append(r.waiting, refund{owner: draw.Owner, workspace: workspace, draws: []*wire.Draw{returned}})
}

// drain returns all that wait.
func (r *refunds) drain() []refund {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.waiting
	r.waiting, r.count = nil, 0
	return waiting
}

// sendRefunds sends the refunds that wait. One that fails is lost.
func (l *Local) sendRefunds(ctx context.Context) {
	for _, r := range l.refunds.drain() {
		if l.health.isFailing(r.owner, time.Now()) {
			continue
		}
		req := &wire.CreditRequest{
			Workspace: r.workspace,
			Draws:     r.draws,
			Revisions: l.source.Snapshot().Revisions(),
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if _, err := l.peers.Credit(callCtx, r.owner, req); err != nil {
			l.health.fail(r.owner, time.Now())
		}
		cancel()
	}
}
