package model

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// instance is the state of the engine from a start to the next crash.
type instance struct {
	opts        *Options
	faults      *faultState
	incarnation uint64
	ctx         context.Context // cancelled by the crash
	crash       context.CancelFunc
	crashEngine func(down time.Duration) // crashes the engine of this instance

	slots   *semaphore // one slot per running generation
	prefill *semaphore // one prefill at a time
	cache   *cache
	events  *eventLog
	running atomic.Int64
	backlog atomic.Int64 // tokens waiting for prefill
	work    sync.WaitGroup

	mu          sync.Mutex
	generations map[string]*generation
	loaded      map[engine.LoadedWeights]bool
	loading     map[engine.LoadedWeights]chan struct{} // closed when loaded
	role        string
	fence       uint64
	reported    engine.State
	reportedAt  time.Time
}

func newInstance(opts *Options, faults *faultState, incarnation uint64) *instance {
	events := newEventLog(incarnation, opts)
	inst := &instance{
		opts:        opts,
		faults:      faults,
		incarnation: incarnation,
		slots:       newSemaphore(opts.MaxRunning),
		prefill:     newSemaphore(1),
		events:      events,
		cache:       newCache(opts.CacheBlocks, events),
		generations: make(map[string]*generation),
		loaded:      make(map[engine.LoadedWeights]bool),
		loading:     make(map[engine.LoadedWeights]chan struct{}),
		role:        opts.Role,
	}
	for _, weights := range opts.Loaded {
		inst.loaded[weights] = true
	}
	inst.ctx, inst.crash = context.WithCancel(context.Background())
	return inst
}

// pause waits for d and for the end of a freeze. It reports whether ctx is
// still active.
func (inst *instance) pause(ctx context.Context, d time.Duration) bool {
	for {
		if !sleep(ctx, d) {
			return false
		}
		if d = inst.faults.frozenFor(); d <= 0 {
			return true
		}
	}
}

// stop cancels all work and prevents new generations and loads.
func (inst *instance) stop() {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	inst.crash()
}

// start begins a generation.
func (inst *instance) start(req engine.GenerateRequest, s *stream) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.ctx.Err() != nil {
		return errors.Wrap(engine.ErrUnreachable, "engine is down")
	}
	weights := engine.LoadedWeights{Model: req.Model, Adapter: req.Adapter, Version: req.WeightsVersion}
	if !inst.loaded[weights] {
		return refused("weights %v are not loaded", weights)
	}
	if inst.generations[req.RequestID] != nil {
		return refused("request %s is running", req.RequestID)
	}
	g := newGeneration(inst, req, s)
	inst.generations[req.RequestID] = g
	inst.backlog.Add(int64(g.promptTokens()))
	inst.work.Go(g.run)
	return nil
}

func (inst *instance) removeGeneration(requestID string) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	delete(inst.generations, requestID)
}

func (inst *instance) cancel(requestID string) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if g := inst.generations[requestID]; g != nil {
		g.cancel()
	}
}

// state returns a state that is at most StateLag old.
func (inst *instance) state() engine.State {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if !inst.reportedAt.IsZero() && time.Since(inst.reportedAt) < inst.opts.scaled(inst.opts.StateLag) {
		return inst.reported
	}
	inst.reportedAt = time.Now()
	inst.reported = engine.State{
		Incarnation:    inst.incarnation,
		Role:           inst.role,
		Fence:          inst.fence,
		Running:        int(inst.running.Load()),
		Waiting:        inst.slots.waiting(),
		MaxRunning:     inst.opts.MaxRunning,
		PrefillBacklog: int(inst.backlog.Load()),
		CachedBlocks:   inst.cache.len(),
		CacheCapacity:  inst.opts.CacheBlocks,
		PrefillRate:    inst.opts.PrefillRate * inst.opts.TimeScale,
		DecodeStep:     inst.opts.scaled(inst.opts.DecodeStep),
	}
	for weights := range inst.loaded {
		inst.reported.Loaded = append(inst.reported.Loaded, weights)
	}
	return inst.reported
}
