// Package clock reads a clock that keeps running while the VM is suspended, unlike
// the monotonic clock of package time, and provides a sleep that ends with a context.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the VM was started, including time suspended.
func SinceBoot() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("CLOCK_BOOTTIME: " + err.Error()) // supported since Linux 2.6.39
	}
	return time.Duration(now.Nano())
}

// Sleep waits for d. It returns the error of ctx if ctx ends first; a caller that
// checks ctx itself may ignore the error.
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
