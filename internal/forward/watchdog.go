package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	// attemptLatencyFactor bounds the time of an attempt that may be retried, as a multiple
	// of the route's target latency. Late responses of healthy servers are worth waiting
	// for until then.
	attemptLatencyFactor = 3
	// attemptTimeShare bounds the time of such an attempt as a share of the time left, so
	// that a retry has as much.
	attemptTimeShare = 0.45
	// stallGapFactor bounds the time between two events of a stream that can be resumed at
	// another server, as a multiple of the longest gap that the operators set for the
	// route. minStallTime is the least such bound.
	stallGapFactor = 2
	minStallTime   = 800 * time.Millisecond
)

// errStalled cancels an attempt whose server has sent nothing for too long. Its text
// becomes part of the message that the client receives.
var errStalled = errors.New("the backend server is silent")

// watchdog cancels an attempt when its server sends nothing for too long. Without a
// timer it never does.
type watchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	maxGap time.Duration // between events; 0: not bounded
}

// startWatchdog returns the context and the watchdog of an attempt. The watchdog has a
// timer only if a retry may follow.
func (r *activeRequest) startWatchdog(ctx context.Context, now time.Time) (context.Context, *watchdog) {
	timeout := r.attemptTimeout(now)
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	if timeout <= 0 {
		return ctx, w
	}
	w.timer = time.AfterFunc(timeout, func() { cancel(errStalled) })
	if r.req.Route.Kind == deployment.Stream && r.req.Route.TargetGap > 0 {
		w.maxGap = max(minStallTime, stallGapFactor*r.req.Route.TargetGap)
	}
	return ctx, w
}

// attemptTimeout returns how long an attempt may take until its response or its first
// events, or 0 if no retry may follow it.
func (r *activeRequest) attemptTimeout(now time.Time) time.Duration {
	if !r.req.MayRetry() || r.executions+1 >= r.req.Route.MaxAttempts || r.req.Deadline.IsZero() {
		return 0
	}
	left := time.Duration(float64(r.req.Deadline.Sub(now)) * attemptTimeShare)
	if target := r.req.Route.TargetLatency; target > 0 {
		return min(left, attemptLatencyFactor*target)
	}
	return left
}

// reset restarts the timer when events of a stream have arrived.
func (w *watchdog) reset() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	if w.maxGap > 0 {
		w.timer.Reset(w.maxGap)
	}
}

// stop stops the timer and releases the attempt's context.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
