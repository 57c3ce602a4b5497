package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// retireTimeout bounds the wait for running requests before weights are unloaded.
const retireTimeout = 20 * time.Second

// weightsUsage counts the requests that use each set of weights, so that weights
// are not unloaded while a request uses them.
type weightsUsage struct {
	incarnation func() uint64 // of the engine

	mu       sync.Mutex
	inUse    map[engine.LoadedWeights]int
	retired  map[engine.LoadedWeights]uint64 // engine's incarnation when they were retired
	released chan struct{}                   // closed and replaced when weights become unused
}

func newWeightsUsage(incarnation func() uint64) *weightsUsage {
	return &weightsUsage{
		incarnation: incarnation,
		inUse:       make(map[engine.LoadedWeights]int),
		retired:     make(map[engine.LoadedWeights]uint64),
		released:    make(chan struct{}),
	}
}

// acquire reports whether a request may use the weights, which it may not if they
// are retired. If so, it counts the request.
func (u *weightsUsage) acquire(w engine.LoadedWeights) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.isRetiredLocked(w) {
		return false
	}
	u.inUse[w]++
	return true
}

// release ends the use of the weights by a request.
func (u *weightsUsage) release(w engine.LoadedWeights) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inUse[w]--
	if u.inUse[w] > 0 {
		return
	}
	delete(u.inUse, w)
	close(u.released)
	u.released = make(chan struct{})
}

// isRetiredLocked reports whether the weights are retired. They no longer are once
// the engine has restarted, since it then loads its weights again.
func (u *weightsUsage) isRetiredLocked(w engine.LoadedWeights) bool {
	incarnation, ok := u.retired[w]
	return ok && incarnation == u.incarnation()
}

// retire refuses the weights to new requests and waits until no request uses them.
// If that takes longer than retireTimeout, the weights are restored.
func (u *weightsUsage) retire(ctx context.Context, w engine.LoadedWeights) error {
	ctx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	for {
		inUse, released := u.markRetired(w)
		if inUse == 0 {
			return nil
		}
		select {
		case <-released:
		case <-ctx.Done():
			u.restore(w)
			return errors.Errorf("%d requests use the weights", inUse)
		}
	}
}

// markRetired marks the weights as retired and returns the number of requests that
// still use them, and a channel that is closed when weights become unused.
func (u *weightsUsage) markRetired(w engine.LoadedWeights) (int, <-chan struct{}) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.retired[w] = u.incarnation()
	return u.inUse[w], u.released
}

// restore lets new requests use the weights again.
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
		if !u.isRetiredLocked(*weightsOf(w)) {
			usable = append(usable, w)
		}
	}
	return usable
}
