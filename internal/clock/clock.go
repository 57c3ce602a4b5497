// Package clock reads the clock that also runs while a VM is suspended. The
// monotonic clock of the time package stands still then.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the VM was started, suspensions included.
func Boot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // every Linux since 2.6.39 has it
	}
	return time.Duration(now.Nano())
}

// Reading is one reading of both clocks.
type Reading struct {
	monotonic time.Time
	boot      time.Duration
}

// Read reads both clocks.
func Read() Reading { return Reading{monotonic: time.Now(), boot: Boot()} }

// Suspended returns for how long the VM stood still between both readings.
func (r Reading) Suspended(later Reading) time.Duration {
	return (later.boot - r.boot) - later.monotonic.Sub(r.monotonic)
}
