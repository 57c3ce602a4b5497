// Package model is a stand-in for a model engine, for tests and demos. It uses
// continuous batching and a bounded prefix cache, reports its state with a lag,
// and injects faults.
package model

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/standin/outage"
)

// Engine implements engine.Engine in process.
type Engine struct {
	opts   Options
	faults faultState
	power  outage.Switch

	mu      sync.Mutex
	current *instance // nil while down
	starts  uint64    // number of starts so far
	restart *time.Timer
	closed  bool
}

// New returns a running Engine. Close stops it.
func New(opts Options) *Engine {
	e := &Engine{opts: opts.withDefaults()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startLocked()
	return e
}

func (e *Engine) startLocked() {
	e.faults.endLeaving()
	e.current = newInstance(&e.opts, &e.faults, e.opts.FirstIncarnation+e.starts)
	e.current.crashEngine = e.Crash
	e.starts++
	e.power.Start()
}

// Crash breaks all streams and discards all state. The engine restarts after
// the given time.
func (e *Engine) Crash(down time.Duration) {
	e.mu.Lock()
	inst := e.stopLocked()
	if inst != nil && !e.closed {
		e.restart = time.AfterFunc(down, e.start)
	}
	e.mu.Unlock()
	if inst != nil {
		inst.work.Wait()
	}
}

// Crashes returns the number of crashes so far.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	crashes := int(e.starts)
	if e.current != nil {
		crashes--
	}
	return crashes
}

// Close stops the engine permanently.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	inst := e.stopLocked()
	if e.restart != nil {
		e.restart.Stop()
	}
	e.mu.Unlock()
	if inst != nil {
		inst.work.Wait()
	}
}

func (e *Engine) stopLocked() *instance {
	inst := e.current
	if inst == nil {
		return nil
	}
	e.current = nil
	inst.stop()
	e.power.Crash()
	return inst
}

func (e *Engine) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed && e.current == nil {
		e.startLocked()
	}
}

// currentInstance returns the current instance, nil while the engine is down.
func (e *Engine) currentInstance() *instance {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// reach returns the current instance, after the end of a freeze.
func (e *Engine) reach(ctx context.Context) (*instance, error) {
	inst := e.currentInstance()
	if inst == nil {
		return nil, errors.Wrap(engine.ErrUnreachable, "engine is down")
	}
	if !inst.pause(ctx, 0) {
		return nil, errors.Wrap(engine.ErrBroken, "no answer")
	}
	return inst, nil
}

// Freeze stops all work for d.
func (e *Engine) Freeze(d time.Duration) { e.faults.freeze(d) }

// SetFaults replaces the faults of streams.
func (e *Engine) SetFaults(faults Faults) { e.faults.set(faults) }

// LoseEvents drops the next n cache events, and each later one with the given
// probability.
func (e *Engine) LoseEvents(n int, rate float64) {
	if inst := e.currentInstance(); inst != nil {
		inst.events.setLoss(n, rate)
	}
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, req engine.GenerateRequest) (engine.ChunkStream, error) {
	inst, err := e.reach(ctx)
	if err != nil {
		return nil, err
	}
	if req.RequestID == "" || req.MaxTokens <= 0 {
		return nil, refused("request id and max_tokens are required")
	}
	s := newStream(ctx, inst.ctx.Done(), e.faults.take())
	if err := inst.start(req, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, requestID string) error {
	inst, err := e.reach(ctx)
	if err != nil {
		return err
	}
	inst.cancel(requestID)
	return nil
}

// State implements engine.Engine.
func (e *Engine) State(ctx context.Context) (engine.State, error) {
	inst, err := e.reach(ctx)
	if err != nil {
		return engine.State{}, err
	}
	return inst.state(), nil
}

// Events implements engine.Engine.
func (e *Engine) Events(ctx context.Context, after uint64) (<-chan engine.CacheEvent, error) {
	inst, err := e.reach(ctx)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(inst.ctx, cancel)
	out := make(chan engine.CacheEvent)
	go func() {
		defer cancel()
		defer stop()
		inst.events.follow(ctx, after, out)
	}()
	return out, nil
}

func refused(format string, args ...any) error {
	return errors.Wrapf(engine.ErrRefused, format, args...)
}
