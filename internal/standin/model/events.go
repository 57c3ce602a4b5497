package model

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/engine"
)

// eventLog retains the latest cache events of one incarnation.
type eventLog struct {
	incarnation uint64
	capacity    int
	delay       time.Duration

	mu       sync.Mutex
	last     uint64
	loseNext int     // number of next events to lose
	loseRate float64 // probability that a later event is lost
	random   *rand.Rand
	retained []loggedEvent
	changed  chan struct{} // closed at the next append
}

type loggedEvent struct {
	event engine.CacheEvent
	due   time.Time
}

func newEventLog(incarnation uint64, opts *Options) *eventLog {
	return &eventLog{
		incarnation: incarnation,
		capacity:    opts.EventLogSize,
		delay:       opts.scaled(opts.EventDelay),
		random:      rand.New(rand.NewPCG(opts.Seed, incarnation)),
		changed:     make(chan struct{}),
	}
}

func (l *eventLog) append(stored, evicted []uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if l.shouldLose() {
		return
	}
	event := engine.CacheEvent{Sequence: l.last, Incarnation: l.incarnation, Stored: stored, Evicted: evicted}
	if len(l.retained) == l.capacity {
		l.retained = append(l.retained[:0], l.retained[l.capacity/2:]...)
	}
	l.retained = append(l.retained, loggedEvent{event: event, due: time.Now().Add(l.delay)})
	close(l.changed)
	l.changed = make(chan struct{})
}

// shouldLose reports whether to lose the current event.
func (l *eventLog) shouldLose() bool {
	if l.loseNext > 0 {
		l.loseNext--
		return true
	}
	return l.random.Float64() < l.loseRate
}

func (l *eventLog) setLoss(n int, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseNext += n
	l.loseRate = rate
}

// next returns the first event after the given sequence number, or a channel
// that is closed at the next append.
func (l *eventLog) next(after uint64) (*loggedEvent, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := sort.Search(len(l.retained), func(i int) bool { return l.retained[i].event.Sequence > after })
	if at == len(l.retained) {
		return nil, l.changed
	}
	found := l.retained[at]
	return &found, nil
}

// follow sends the events after the given sequence number until ctx ends. A
// number that this incarnation has not reached comes from an earlier one, so
// all events are sent.
func (l *eventLog) follow(ctx context.Context, after uint64, out chan<- engine.CacheEvent) {
	defer close(out)
	l.mu.Lock()
	if after > l.last {
		after = 0
	}
	l.mu.Unlock()
	for {
		logged, changed := l.next(after)
		if logged == nil {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, time.Until(logged.due)) {
			return
		}
		select {
		case out <- logged.event:
			after = logged.event.Sequence
		case <-ctx.Done():
			return
		}
	}
}

// sleep waits for d and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	return clock.Sleep(ctx, d) == nil
}
