package limit

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxRefunds bounds the refunds that wait to be sent; more are lost.
const maxRefunds = 4096

// refunds are tokens to return to the peers that lent them.
type refunds struct {
	mu      sync.Mutex
	count   int
	waiting map[refundKey][]*wire.Draw
}

type refundKey struct {
	owner     string
	workspace string
}

func newRefunds() refunds { return refunds{waiting: make(map[refundKey][]*wire.Draw)} }

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
	key := refundKey{owner: draw.Owner, workspace: workspace}
	r.waiting[key] = append(r.waiting[key], returned)
}

// drain returns all that wait.
func (r *refunds) drain() map[refundKey][]*wire.Draw {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.waiting
	r.waiting = make(map[refundKey][]*wire.Draw)
	r.count = 0
	return waiting
}

// sendRefunds sends the refunds that wait. One that fails is lost.
func (l *Local) sendRefunds(ctx context.Context) {
	for key, draws := range l.refunds.drain() {
		req := &wire.CreditRequest{
			Workspace: key.workspace,
			Draws:     draws,
			Revisions: l.source.Snapshot().Revisions(),
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		if _, err := l.peers.Credit(callCtx, key.owner, req); err != nil {
			l.health.fail(key.owner, l.guard.clock())
		}
		cancel()
	}
}
