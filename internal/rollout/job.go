package rollout

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/lease"
)

const (
	// quiesceTimeout is how long an engine may finish running requests before it is
	// ordered to load: a third of the duration of a load.
	quiesceTimeout = 400 * time.Millisecond
	// minLoadTime is the shortest duration of a load. The engine is not polled before.
	minLoadTime = time.Second
	// pollInterval is the time between two polls of an engine that loads.
	pollInterval = 100 * time.Millisecond
	// maxLoadTime is how long a load may take before the order counts as lost: ten times
	// the usual duration.
	maxLoadTime = 10 * time.Second
	// retryDelay is the time before an engine whose load failed is tried again.
	retryDelay = 500 * time.Millisecond
	// callTimeout bounds a call to an engine.
	callTimeout = 600 * time.Millisecond
)

// Report is the state that an engine reports. It lags by some hundred milliseconds.
type Report struct {
	Weights     map[string]uint64
	Busy        bool   // the engine is executing an order
	Accepted    uint64 // number of orders accepted by this incarnation
	Incarnation int64  // start of the process, Unix milliseconds; 0: not given
}

// Order is an order to an engine to load weights.
type Order struct {
	Model    string
	Version  uint64
	Holder   string // of the lease
	Fence    uint64 // fencing token of the lease
	Expected uint64 // the engine refuses the order if its count of accepted orders differs
}

// OrderResult is the result of an order.
type OrderResult uint8

// The results of an order.
const (
	OrderUnknown      OrderResult = iota // no response: the engine may execute it, now or later
	OrderAccepted                        // the engine executes it
	OrderAlreadyHeld                     // the engine already has the weights
	OrderConflict                        // another order was accepted first
	OrderStale                           // a later holder of the lease has sent orders
	OrderWrongProcess                    // another process has the address now
	OrderInvalid                         // the weights are unknown to the engine
)

// Observe gets what the head of an engine's response says. sent is when the call was.
type Observe func(server *deployment.Server, head *backend.Description, sent time.Time)

// Engines sends calls to engines.
type Engines interface {
	Report(ctx context.Context, server *deployment.Server) (Report, error)
	Order(ctx context.Context, server *deployment.Server, order *Order) (OrderResult, error)
}

// errNotCalled is the error of a report that is not asked for now.
var errNotCalled = errors.New("the engine leaves or wants nothing")

// job makes one engine load a version.
type job struct {
	rollout *Rollout
	server  *deployment.Server
	model   string
	version uint64
	term    *lease.Term

	phase   phase     // guarded by Rollout.mu
	retryAt time.Time // guarded by Rollout.mu
}

// run quiesces the engine, orders the load and waits for its end.
func (j *job) run(ctx context.Context) {
	fleet := j.rollout.opts.Fleet
	started := time.Now()
	fleet.SetLoading(j.server.ID, started.Add(2*maxLoadTime))
	j.quiesce(ctx, started)
	ok := j.load(ctx)
	fleet.SetLoading(j.server.ID, time.Now())
	retryAt := time.Time{}
	if !ok {
		retryAt = time.Now().Add(retryDelay)
	}
	j.rollout.setPhase(j, phaseIdle, retryAt)
}

// quiesce waits until the engine's requests have ended, for at most quiesceTimeout.
func (j *job) quiesce(ctx context.Context, started time.Time) {
	for ctx.Err() == nil {
		if time.Since(started) >= quiesceTimeout || j.rollout.opts.Fleet.Running(j.server.ID) == 0 {
			return
		}
		clock.Sleep(ctx, stepInterval/2)
	}
}

// load orders the target version and waits until the engine has loaded it. It reports
// whether the engine has newer weights than before.
func (j *job) load(ctx context.Context) bool {
	j.version = max(j.version, j.rollout.targetVersion(j.model))
	report, err := j.report(ctx)
	if err != nil {
		logger.Warn(j.fields("error", err.Error()), "engine report failed")
		return false
	}
	if report.Weights[j.model] >= j.version {
		return j.logLoaded()
	}
	if report.Busy {
		j.rollout.setPhase(j, phaseLoading, time.Time{})
		return j.awaitLoad(ctx, report.Accepted)
	}
	for !j.rollout.acquireLoadSlot(j) {
		if ctx.Err() != nil {
			return false
		}
		clock.Sleep(ctx, stepInterval/2)
	}
	j.version = max(j.version, j.rollout.targetVersion(j.model))
	return j.order(ctx, report.Accepted) && j.awaitLoad(ctx, report.Accepted)
}

// order sends the order, and reports whether the engine may execute it. Without a
// response it may, since only the response may have been lost.
func (j *job) order(ctx context.Context, accepted uint64) bool {
	if !j.term.Valid() {
		logger.Info(j.fields("reason", "lease expired"), "order not given")
		return false
	}
	if !j.rollout.opts.MayCall(j.server) {
		logger.Info(j.fields("reason", "the engine leaves or wants nothing"), "order not given")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := j.rollout.opts.Engines.Order(ctx, j.server, &Order{
		Model: j.model, Version: j.version, Holder: j.rollout.opts.Self, Fence: uint64(j.term.Fence()), Expected: accepted,
	})
	f := j.fields("result", result.String())
	f["expected"] = accepted
	if err != nil {
		f["error"] = err.Error()
	}
	logger.Info(f, "order given")
	return result == OrderAccepted || result == OrderAlreadyHeld || result == OrderUnknown
}

// awaitLoad polls the engine until it has loaded the version. Since reports lag, it
// first waits for minLoadTime. It reports whether the engine has newer weights than
// before.
func (j *job) awaitLoad(ctx context.Context, accepted uint64) bool {
	clock.Sleep(ctx, minLoadTime)
	deadline := time.Now().Add(maxLoadTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := j.report(ctx)
		if err == nil && report.Weights[j.model] >= j.version {
			return j.logLoaded()
		}
		if err == nil && !report.Busy && report.Accepted <= accepted {
			logger.Warn(j.fields("accepted", report.Accepted), "engine has not accepted the order")
			return false
		}
		if err == nil && !report.Busy && report.Accepted > accepted {
			return j.logLoaded() // loaded a version below the target, but newer than before
		}
		if err != nil && j.delisted() {
			return false
		}
		clock.Sleep(ctx, pollInterval)
	}
	return false
}

// delisted reports whether this incarnation of the engine is no longer listed.
func (j *job) delisted() bool {
	listed := j.rollout.opts.Source.Snapshot().Servers[j.server.ID]
	return listed == nil || listed.Incarnation != j.server.Incarnation
}

// logLoaded logs the end of the load and returns true.
func (j *job) logLoaded() bool {
	logger.Info(j.fields("wanted", j.rollout.targetVersion(j.model)), "weights loaded")
	return true
}

// report polls the engine, and records its weights in the fleet unless it is loading.
func (j *job) report(ctx context.Context) (Report, error) {
	if !j.rollout.opts.MayCall(j.server) {
		return Report{}, errNotCalled
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := j.rollout.opts.Engines.Report(ctx, j.server)
	if err == nil && !report.Busy {
		j.rollout.opts.Fleet.RecordWeights(j.server.ID, j.model, report.Weights[j.model], time.Now())
	}
	return report, err
}

// fields returns the log fields of the job with one more.
func (j *job) fields(key string, value any) fields {
	return fields{"server": j.server.ID, "model": j.model, "version": j.version, key: value}
}

// String returns the name used in log lines.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "stale", "misplaced", "invalid"}[r]
}
