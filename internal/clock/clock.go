// Package clock reads the clock that also runs while a VM is suspended, which the
// monotonic clock of the time package does not, and waits.
package clock

import (
	"context"
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

// Sleep waits for d. It returns the error of ctx if that ends first; loops that look
// at ctx themselves need not look at it.
func Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
