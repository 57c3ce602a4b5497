package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	heartbeatInterval = 100 * time.Millisecond
	maxHeartbeatGap   = time.Second
	// maxConfirmAge is the largest age of the view that ends a suspension. It is below
	// the margin that shard.Manager adds to the VM list's lag before it revokes shards.
	maxConfirmAge = 3 * time.Second
)

// pauseGuard detects pauses of the process and provides the clock for refills.
// After a pause another router may own this router's shards, so nothing is spent
// or refilled until the control loop confirms the ownership.
type pauseGuard struct {
	start time.Time
	log   logging.Logger

	lastHeartbeat atomic.Pointer[time.Time]
	suspended     atomic.Bool
	frozenNanos   atomic.Int64 // total time of past suspensions, without refill

	mu            sync.Mutex
	suspendedFrom time.Time // last heartbeat before the suspension
	noticedAt     time.Time // when the suspension was noticed
}

func newPauseGuard(log logging.Logger) *pauseGuard {
	now := time.Now()
	g := &pauseGuard{start: now, log: log}
	g.lastHeartbeat.Store(&now)
	return g
}

// clockReading is one reading of the clock.
type clockReading struct {
	elapsed   time.Duration // since the start of the process
	refill    time.Duration // elapsed without the suspensions
	spendable bool          // this router's own tokens may be spent
}

// now reads the clock.
func (g *pauseGuard) now() clockReading {
	at := time.Now()
	elapsed := at.Sub(g.start)
	if !g.unpaused(at) {
		return clockReading{elapsed: elapsed, refill: g.frozenRefillTime()}
	}
	return clockReading{elapsed: elapsed, refill: elapsed - time.Duration(g.frozenNanos.Load()), spendable: true}
}

// unpaused reports whether the guard is not suspended. It suspends the guard if
// there was a pause between the last heartbeat and at.
func (g *pauseGuard) unpaused(at time.Time) bool {
	if !g.suspended.Load() && paused(*g.lastHeartbeat.Load(), at) {
		g.suspend(at, "process pause detected; limiter suspended until shard ownership is confirmed")
	}
	return !g.suspended.Load()
}

// paused reports whether more than maxHeartbeatGap passed between two readings. It
// compares both clocks, since the monotonic one may stop while a VM is frozen.
func paused(heartbeat, at time.Time) bool {
	monotonic := at.Sub(heartbeat)
	wall := at.Round(0).Sub(heartbeat.Round(0))
	return monotonic > maxHeartbeatGap || wall > maxHeartbeatGap
}

// frozenRefillTime returns the refill time at which the suspension began.
func (g *pauseGuard) frozenRefillTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspendedFrom.Sub(g.start) - time.Duration(g.frozenNanos.Load())
}

// heartbeat records that the process is running.
func (g *pauseGuard) heartbeat() {
	if at := time.Now(); g.unpaused(at) {
		g.lastHeartbeat.Store(&at)
	}
}

// suspend stops refills and spending as of the last heartbeat.
func (g *pauseGuard) suspend(at time.Time, message string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspended.Load() {
		return
	}
	g.suspendedFrom = *g.lastHeartbeat.Load()
	g.noticedAt = at
	g.suspended.Store(true)
	g.log.Warn(logging.Fields{"gap": at.Sub(g.suspendedFrom).String()}, message)
}

// confirm ends the suspension if the shards' ownership was read after it was
// noticed. It reports whether the suspension ended.
func (g *pauseGuard) confirm(seen time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.suspended.Load() || !seen.After(g.noticedAt) {
		return false
	}
	at := time.Now()
	if paused(seen.Add(maxConfirmAge-maxHeartbeatGap), at) {
		return false // another pause since seen
	}
	g.frozenNanos.Add(int64(at.Sub(g.suspendedFrom)))
	g.lastHeartbeat.Store(&at)
	g.suspended.Store(false)
	return true
}
