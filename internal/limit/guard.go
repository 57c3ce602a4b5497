package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	beatInterval = 100 * time.Millisecond
	maxBeatGap   = time.Second
	// maxConfirmAge is below the margin that shard.Manager adds to the VM list's
	// lag before it revokes shards.
	maxConfirmAge = 3 * time.Second
)

// guard watches for pauses of the process, and holds the clock of the refills.
// After a pause this router's shards may belong to another one, so that
// nothing is spent or refilled until the control loop confirms.
type guard struct {
	start time.Time
	log   logging.Prefixed

	beat      atomic.Pointer[time.Time]
	suspended atomic.Bool
	lost      atomic.Int64 // nanoseconds without refill

	mu      sync.Mutex
	stopped time.Time // last beat before the suspension
	resumed time.Time // when the suspension was noticed
}

func newGuard(log logging.Prefixed) *guard {
	now := time.Now()
	g := &guard{start: now, log: log}
	g.beat.Store(&now)
	return g
}

// moment is one reading of the clock.
type moment struct {
	elapsed   time.Duration // since the start
	refill    time.Duration // the same without the time of suspensions
	spendable bool          // this router's own tokens may be spent
}

// now reads the clock.
func (g *guard) now() moment {
	at := time.Now()
	elapsed := at.Sub(g.start)
	if !g.running(at) {
		return moment{elapsed: elapsed, refill: g.frozen()}
	}
	return moment{elapsed: elapsed, refill: elapsed - time.Duration(g.lost.Load()), spendable: true}
}

// running says whether the process ran without a pause from the last beat to at.
func (g *guard) running(at time.Time) bool {
	if !g.suspended.Load() && paused(*g.beat.Load(), at) {
		g.suspend(at, "pause detected, the shards rest until they are confirmed")
	}
	return !g.suspended.Load()
}

// paused compares both clocks, since the monotonic one may stand still while a
// VM is frozen.
func paused(beat, at time.Time) bool {
	monotonic := at.Sub(beat)
	wall := at.Round(0).Sub(beat.Round(0))
	return monotonic > maxBeatGap || wall > maxBeatGap
}

func (g *guard) frozen() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopped.Sub(g.start) - time.Duration(g.lost.Load())
}

// tick notes that the process runs.
func (g *guard) tick() {
	if at := time.Now(); g.running(at) {
		g.beat.Store(&at)
	}
}

// suspend stops refills and spending as of the last beat.
func (g *guard) suspend(at time.Time, sentence string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspended.Load() {
		return
	}
	g.stopped = *g.beat.Load()
	g.resumed = at
	g.suspended.Store(true)
	g.log.Warn(logging.Fields{"gap": at.Sub(g.stopped).String()}, sentence)
}

// confirm ends the suspension if the shards were seen to be owned after it
// began. It reports whether it did.
func (g *guard) confirm(seen time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.suspended.Load() || !seen.After(g.resumed) {
		return false
	}
	at := time.Now()
	if paused(seen.Add(maxConfirmAge-maxBeatGap), at) {
		return false // another pause came between
	}
	g.lost.Add(int64(at.Sub(g.stopped)))
	g.beat.Store(&at)
	g.suspended.Store(false)
	return true
}
