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

	slots   *semaphore
	prefill *semaphore
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
	l := &instance{
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
		l.loaded[weights] = true
	}
	l.ctx, l.crash = context.WithCancel(context.Background())
	return l
}

// pause waits for d and for the end of a freeze. It reports whether ctx is
// still active.
func (l *instance) pause(ctx context.Context, d time.Duration) bool {
	for {
		if !sleep(ctx, d) {
			return false
		}
		if d = l.faults.frozen(); d <= 0 {
			return true
		}
	}
}

// stop cancels all work and prevents new generations and loads.
func (l *instance) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crash()
}

// start begins a generation.
func (l *instance) start(req engine.GenerateRequest, s *stream) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return errors.Wrap(engine.ErrUnreachable, "engine is down")
	}
	weights := engine.LoadedWeights{Model: req.Model, Adapter: req.Adapter, Version: req.WeightsVersion}
	if !l.loaded[weights] {
		return refused("weights %v are not loaded", weights)
	}
	if l.generations[req.RequestID] != nil {
		return refused("request %s is running", req.RequestID)
	}
	g := newGeneration(l, req, s)
	l.generations[req.RequestID] = g
	l.backlog.Add(int64(g.promptTokens()))
	l.work.Go(g.run)
	return nil
}

func (l *instance) removeGeneration(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.generations, requestID)
}

func (l *instance) cancel(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.generations[requestID]; g != nil {
		g.cancel()
	}
}

// state returns a state that is at most StateLag old.
func (l *instance) state() engine.State {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reportedAt.IsZero() && time.Since(l.reportedAt) < l.opts.scaled(l.opts.StateLag) {
		return l.reported
	}
	l.reportedAt = time.Now()
	l.reported = engine.State{
		Incarnation:    l.incarnation,
		Role:           l.role,
		Fence:          l.fence,
		Running:        int(l.running.Load()),
		Waiting:        l.slots.waiting(),
		MaxRunning:     l.opts.MaxRunning,
		PrefillBacklog: int(l.backlog.Load()),
		CachedBlocks:   l.cache.len(),
		CacheCapacity:  l.opts.CacheBlocks,
		PrefillRate:    l.opts.PrefillRate * l.opts.TimeScale,
		DecodeStep:     l.opts.scaled(l.opts.DecodeStep),
	}
	for weights := range l.loaded {
		l.reported.Loaded = append(l.reported.Loaded, weights)
	}
	return l.reported
}
