package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// stateMaxAge is the age at which an engine's report is fetched again.
	stateMaxAge = 250 * time.Millisecond
	// stateExpiry is the age at which a report no longer counts.
	stateExpiry = 10 * time.Second
	// stateTimeout bounds the fetch of a report.
	stateTimeout = time.Second
)

// engineState keeps the engine's last report of itself. It is fetched when
// somebody asks, so that it needs no goroutine of its own.
type engineState struct {
	engine engine.Engine // nil beside plain services

	mu       sync.Mutex
	state    engine.State
	weights  []*wire.Weights
	fetched  time.Time
	fetching bool
}

func newEngineState(e engine.Engine) *engineState { return &engineState{engine: e} }

// loaded returns the weights that the engine holds, nil if not known.
func (s *engineState) loaded() []*wire.Weights {
	s.refreshIfOld()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.expiredLocked() {
		return nil
	}
	return s.weights
}

// expiredLocked says whether the last report no longer counts.
func (s *engineState) expiredLocked() bool {
	return s.fetched.IsZero() || time.Since(s.fetched) > stateExpiry
}

// fill adds the engine's report to a load report.
func (s *engineState) fill(load *wire.Load) {
	s.refreshIfOld()
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

// incarnation returns the engine's incarnation, 0 if not known.
func (s *engineState) incarnation() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Incarnation
}

// observe notes an incarnation seen in an answer. What was known of another one
// no longer counts.
func (s *engineState) observe(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation == 0 || incarnation == s.state.Incarnation {
		return
	}
	s.state = engine.State{Incarnation: incarnation}
	s.weights = nil
	s.fetched = time.Time{}
}

func (s *engineState) refreshIfOld() {
	if s.engine == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fetching || time.Since(s.fetched) < stateMaxAge {
		return
	}
	s.fetching = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
		defer cancel()
		s.refresh(ctx)
	}()
}

// refresh fetches the engine's report now.
func (s *engineState) refresh(ctx context.Context) {
	state, err := s.engine.State(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fetching = false
	if err != nil {
		return
	}
	s.state = state
	s.fetched = time.Now()
	s.weights = make([]*wire.Weights, 0, len(state.Loaded))
	for _, w := range state.Loaded {
		s.weights = append(s.weights, &wire.Weights{Model: w.Model, Adapter: w.Adapter, Version: w.Version})
	}
}
