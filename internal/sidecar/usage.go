package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// retireTimeout bounds the wait for the requests that use weights to unload.
const retireTimeout = 20 * time.Second

// weightsUsage counts the requests that use each set of weights, so that none is
// unloaded under a running stream.
type weightsUsage struct {
	incarnation func() uint64 // of the engine

	mu      sync.Mutex
	inUse   map[engine.LoadedWeights]int
	retired map[engine.LoadedWeights]uint64 // incarnation of the engine by then
	idle    chan struct{}                   // closed and replaced when weights fall out of use
}

func newWeightsUsage(incarnation func() uint64) *weightsUsage {
	return &weightsUsage{
		incarnation: incarnation,
		inUse:       make(map[engine.LoadedWeights]int),
		retired:     make(map[engine.LoadedWeights]uint64),
		idle:        make(chan struct{}),
	}
}

// enter notes a request that uses weights, unless they are retired.
func (u *weightsUsage) enter(w engine.LoadedWeights) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isRetired(w) {
		return false
	}
	u.inUse[w]++
	return true
}

// leave notes the end of a request that uses weights.
func (u *weightsUsage) leave(w engine.LoadedWeights) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse[w]--
	if u.inUse[w] > 0 {
		return
	}
	delete(u.inUse, w)
	close(u.idle)
	u.idle = make(chan struct{})
}

// isRetired says whether weights are retired. A restarted engine loads its
// weights anew.
func (u *weightsUsage) isRetired(w engine.LoadedWeights) bool {
	incarnation, ok := u.retired[w]
	return ok && incarnation == u.incarnation()
}

// retire refuses weights to new requests and waits until none uses them. If that
// takes too long, the weights are in use again.
func (u *weightsUsage) retire(ctx context.Context, w engine.LoadedWeights) error {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	for {
		left, idle := u.retireNow(w)
		if left == 0 {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			u.restore(w)
			return errors.Errorf("%d requests use the weights", left)
		}
	}
}

// retireNow marks the weights as retired and returns the number of requests that
// still use them.
func (u *weightsUsage) retireNow(w engine.LoadedWeights) (int, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired[w] = u.incarnation()
	return u.inUse[w], u.idle
}

// restore lets requests use weights again.
func (u *weightsUsage) restore(w engine.LoadedWeights) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.retired, w)
}

// withoutRetired returns the loaded weights that new requests may use.
func (u *weightsUsage) withoutRetired(loaded []*wire.Weights) []*wire.Weights {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.retired) == 0 {
		return loaded
	}
	usable := make([]*wire.Weights, 0, len(loaded))
	for _, w := range loaded {
		if !u.isRetired(*weightsOf(w)) {
			usable = append(usable, w)
		}
	}
	return usable
}
