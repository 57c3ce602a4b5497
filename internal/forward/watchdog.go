package forward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

const (
	// patienceTargets is how many times its target an attempt may take that can be made
	// again. Assumed: late answers of sound servers are worth waiting for until then.
	patienceTargets = 3
	// patienceShare is the part of the time left that such an attempt may take, so that
	// another one has as much.
	patienceShare = 0.45
	// stallGaps and minStall bound the pause between two events of a stream that can go
	// on elsewhere: twice the operators' longest pause, and at least the latter, which is
	// assumed.
	stallGaps = 2
	minStall  = 800 * time.Millisecond
)

// errStalled ends an attempt whose server has been silent for too long.
var errStalled = errors.New("the backend server is silent")

// watchdog ends an attempt when its server is silent. The zero watchdog never does.
type watchdog struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
	gap    time.Duration // between events; 0: not watched
}

// watch starts a watchdog over an attempt, if another one may follow it.
func (r *run) watch(ctx context.Context, now time.Time) (context.Context, *watchdog) {
	patience := r.patience(now)
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	if patience <= 0 {
		return ctx, w
	}
	w.timer = time.AfterFunc(patience, func() { cancel(errStalled) })
	if r.req.Route.Kind == deployment.Stream && r.req.Route.TargetGap > 0 {
		w.gap = max(minStall, stallGaps*r.req.Route.TargetGap)
	}
	return ctx, w
}

// patience returns how long an attempt may take; 0 if it is the last one, or may
// not be made again.
func (r *run) patience(now time.Time) time.Duration {
	if !r.req.MayRepeat() || r.executions+1 >= r.req.Route.MaxAttempts || r.req.Deadline.IsZero() {
		return 0
	}
	left := time.Duration(float64(r.req.Deadline.Sub(now)) * patienceShare)
	if target := r.req.Route.TargetLatency; target > 0 {
		return min(left, patienceTargets*target)
	}
	return left
}

// fed notes events of a stream.
func (w *watchdog) fed() {
	if w.timer == nil {
		return
	}
	w.timer.Stop()
	if w.gap > 0 {
		w.timer.Reset(w.gap)
	}
}

// end ends the watch and frees what the attempt holds.
func (w *watchdog) end() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel(nil)
}
