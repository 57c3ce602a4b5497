package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// stateRefreshAge is the age at which the engine's state is fetched again.
	stateRefreshAge = 250 * time.Millisecond
	// stateExpiry is the age beyond which the state is no longer used.
	stateExpiry = 10 * time.Second
	// stateTimeout bounds one fetch of the state.
	stateTimeout = time.Second
)

// engineState caches the state that the engine reported last. Reads refresh it
// when it is old, so that it needs no polling goroutine.
type engineState struct {
	engine    engine.Engine // nil for plain services
	onRestart func()        // called after the engine has restarted; must not block
	paused    func() bool   // whether the engine wants nothing now; nil: it never is

	mu       sync.Mutex
	state    engine.State
	weights  []*wire.Weights
	fetched  time.Time
	fetching bool
}

func newEngineState(e engine.Engine, onRestart func()) *engineState {
	return &engineState{engine: e, onRestart: onRestart}
}

// loadedWeights returns the weights that the engine has loaded, nil if unknown.
func (s *engineState) loadedWeights() []*wire.Weights {
	s.refreshIfStale()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiredLocked() {
		return nil
	}
	return s.weights
}

// expiredLocked reports whether the cached state is missing or too old to be used.
func (s *engineState) expiredLocked() bool {
	return s.fetched.IsZero() || time.Since(s.fetched) > stateExpiry
}

// fillLoad sets the engine's fields of a load report.
func (s *engineState) fillLoad(load *wire.Load) {
	s.refreshIfStale()
	s.mu.Lock()
	defer s.mu.Unlock()
	load.Incarnation = s.state.Incarnation
	if s.expiredLocked() {
		return
	}
	load.PrefillRate = s.state.PrefillRate
	load.DecodeStepUs = s.state.DecodeStep.Microseconds()
	if time.Since(s.fetched) <= stateExpiry {
		load.Loaded = s.weights
	}
}

// incarnation returns the engine's incarnation, 0 if unknown.
func (s *engineState) incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Incarnation
}

// observeIncarnation records the incarnation in a response of the engine. Cached
// state of another incarnation is dropped.
func (s *engineState) observeIncarnation(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation == 0 || incarnation == s.state.Incarnation {
		return
	}
	s.noteIncarnation(incarnation)
	s.state = engine.State{Incarnation: incarnation}
	s.weights = nil
	s.fetched = time.Time{}
}

// noteIncarnation calls onRestart if the incarnation is another one. The caller holds the lock.
func (s *engineState) noteIncarnation(incarnation uint64) {
	if s.state.Incarnation != 0 && incarnation != 0 && incarnation != s.state.Incarnation {
		s.onRestart()
	}
}

func (s *engineState) refreshIfStale() {
	if s.engine == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching || time.Since(s.fetched) < stateRefreshAge || s.paused != nil && s.paused() {
		return
	}
	s.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		s.refresh(ctx)
	}()
}

// refresh fetches the engine's state. On an error the cached state stays.
func (s *engineState) refresh(ctx context.Context) {
	state, err := s.engine.State(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	if err != nil {
		return
	}
	s.noteIncarnation(state.Incarnation)
	s.state = state
	s.fetched = time.Now()
	s.weights = make([]*wire.Weights, 0, len(state.Loaded))
	for _, w := range state.Loaded {
		s.weights = append(s.weights, &wire.Weights{Model: w.Model, Adapter: w.Adapter, Version: w.Version})
	}
}
