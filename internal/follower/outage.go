package follower

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// storeLostAfter is the staleness at which the store counts as lost if its calls fail.
	// A shorter outage is too short for backend servers' entries to expire.
	storeLostAfter = 2500 * time.Millisecond
	// lostAfterFailures is the number of failed calls in a row at which the store counts as
	// lost. One call may fail at a store that works: it may cut a waiting watch.
	lostAfterFailures = 2
	// recheckWait is how long a watch call waits in the store after a failed one, so that
	// its response shows soon whether the store works.
	recheckWait = 10 * time.Millisecond
	// relistGrace is how long servers that disappeared while the store was lost may take
	// to be listed again before they are removed: two seconds, plus the delay of a watch.
	relistGrace = 2500 * time.Millisecond
)

// failures counts the calls to the store that failed in a row. Silence alone does not show
// that the store was down: this process may have been slow, or the gateways that watch the
// store for it.
type failures struct{ count atomic.Int32 }

// record counts a failed call, unless the error is the response of a store that works.
func (f *failures) record(err error) {
	if !errors.Is(err, platform.ErrThrottled) && !errors.Is(err, platform.ErrCompacted) && !errors.Is(err, platform.ErrNotFound) {
		f.count.Add(1)
	}
}

// reset records a successful call.
func (f *failures) reset() { f.count.Store(0) }

// graceAfter returns how long servers that disappeared are kept, if the store answers again
// after a silence: relistGrace if the store was lost, else 0.
func (f *failures) graceAfter(silence time.Duration) time.Duration {
	if f.count.Load() >= lostAfterFailures && silence >= storeLostAfter {
		return relistGrace
	}
	return 0
}
