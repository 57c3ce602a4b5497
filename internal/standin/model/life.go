package model

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// life is the engine between a start and a crash.
type life struct {
	opts        *Options
	faults      *faultBox
	incarnation uint64
	ctx         context.Context // ends with the crash
	crash       context.CancelFunc

	slots   *gate
	prefill *gate
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

func newLife(opts *Options, faults *faultBox, incarnation uint64) *life {
	events := newEventLog(incarnation, opts)
	l := &life{
		opts:        opts,
		faults:      faults,
		incarnation: incarnation,
		slots:       newGate(opts.MaxRunning),
		prefill:     newGate(1),
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

// pause waits for d and for the end of a freeze. It says whether ctx still
// runs.
func (l *life) pause(ctx context.Context, d time.Duration) bool {
	for {
		if !sleep(ctx, d) {
			return false
		}
		if d = l.faults.frozen(); d <= 0 {
			return true
		}
	}
}

// stop ends all work. Nothing starts afterwards.
func (l *life) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.crash()
}

// start begins a generation.
func (l *life) start(req engine.GenerateRequest, s *stream) error {
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

func (l *life) forget(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.generations, requestID)
}

func (l *life) cancel(requestID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g := l.generations[requestID]; g != nil {
		g.cancel()
	}
}

// state returns a report that is at most StateLag old.
func (l *life) state() engine.State {
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
