package forward

import (
	"context"
	"math"
	"sync"
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
	// busyPatience is the factor by which a server that still responds may be slower than
	// one that responds to nobody.
	busyPatience = 2
	// reserveInterval is the time after which a retry of a stalled attempt is asked for
	// again when the budget had none.
	reserveInterval = 200 * time.Millisecond
)

// errStalled cancels an attempt whose server has sent nothing for too long. Its text
// becomes part of the message that the client receives.
var errStalled = errors.New("the backend server is silent")

// watchdog cancels an attempt when its server sends nothing for too long, if another may be
// tried instead or the server responds to no request at all: then the client can go
// elsewhere itself. A stream that has begun is cancelled only if it can go on at another
// server. Without a timer it never cancels.
type watchdog struct {
	ctx      context.Context // of the attempt
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	maxGap   time.Duration // between events; 0: not bounded
	patience time.Duration // with a server that still responds
	reserve  func() bool   // takes a retry from the budget
	// responds reports whether the server has begun a response since, to any request of
	// this gateway.
	responds func(since time.Time) bool

	mu    sync.Mutex
	since time.Time // the server has sent nothing since
	until time.Time // the server may be silent until then; zero: to the end
	begun bool      // events of the stream have arrived
}

// startWatchdog returns the context and the watchdog of an attempt. The watchdog has a
// timer only if a retry may follow.
func (r *activeRequest) startWatchdog(ctx context.Context, server string, now time.Time) (context.Context, *watchdog) {
	timeout := r.attemptTimeout(now)
	ctx, cancel := context.WithCancelCause(ctx)
	responds := func(since time.Time) bool { return r.relay.Fleet.RespondedSince(server, since) }
	hasAlternative := r.alternativesTo(r.server)
	reserve := func() bool { return hasAlternative() && r.reserveRetry() }
	w := &watchdog{ctx: ctx, cancel: cancel, reserve: reserve, responds: responds}
	if timeout <= 0 {
		return ctx, w
	}
	if r.req.Route.Kind == deployment.Stream && r.req.Route.TargetGap > 0 {
		w.maxGap = max(minStallTime, stallGapFactor*r.req.Route.TargetGap)
	}
	w.patience = busyPatience * timeout
	w.timer = time.AfterFunc(math.MaxInt64, w.stalled)
	w.expectBy(now.Add(timeout))
	return ctx, w
}

// expectBy sets the time by which the server must send something; zero: none.
func (w *watchdog) expectBy(until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since, w.until = time.Now(), until
	if until.IsZero() {
		w.timer.Stop()
		return
	}
	w.timer.Reset(time.Until(until))
}

// overdue reports whether the server has been silent for too long, and since when.
func (w *watchdog) overdue() (since time.Time, overdue bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since, w.ctx.Err() == nil && !w.until.IsZero() && !time.Now().Before(w.until)
}

// stalled cancels the attempt if a retry can be taken from the budget, or if the server
// seems to be lost and the client has nothing yet. Otherwise the server may still respond, and stalled asks again later.
//
// A server that still responds is busy rather than lost. Under load a retry of its
// slow requests makes the next server prefill their prompts too, which slows that one
// down and leads to more retries; so such a server gets more time.
func (w *watchdog) stalled() {
	since, overdue := w.overdue()
	switch {
	case !overdue:
	case w.responds(since) && time.Since(since) < w.patience:
		w.postpone()
	case w.reserve(), !w.responds(since) && !w.hasBegun():
		w.cancel(errStalled)
	default:
		w.postpone()
	}
}

func (w *watchdog) hasBegun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.begun
}

// postpone lets an overdue server be silent for another reserveInterval.
func (w *watchdog) postpone() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.until.IsZero() || now.Before(w.until) {
		return // it has sent something meanwhile
	}
	w.until = now.Add(reserveInterval)
	w.timer.Reset(reserveInterval)
}

// reserveRetry takes a retry of the request from the budget, for the watchdog.
func (r *activeRequest) reserveRetry() bool {
	if !r.takeRetry() {
		return false
	}
	r.reserved.Store(true)
	return true
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
	w.mu.Lock()
	w.begun = true
	w.mu.Unlock()
	switch {
	case w.timer == nil:
	case w.maxGap > 0:
		w.expectBy(time.Now().Add(w.maxGap))
	default:
		w.expectBy(time.Time{})
	}
}

// stop stops the timer and releases the attempt's context.
func (w *watchdog) stop() {
	if w.timer != nil {
		w.expectBy(time.Time{})
	}
	w.cancel(nil)
}
