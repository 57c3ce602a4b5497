package rollout

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/lease"
)

const (
	// emptyTime is how long running requests may end before an engine is ordered to
	// load. Assumed: a third of the time that a load takes.
	emptyTime = 400 * time.Millisecond
	// loadTime is the shortest load that was seen.
	loadTime = time.Second
	// reportInterval is the time between two reports of an engine that loads.
	reportInterval = 100 * time.Millisecond
	// maxLoadTime is how long a load may take before the order counts as lost: ten
	// times the usual.
	maxLoadTime = 10 * time.Second
	// retryPause is how long an engine whose order failed is left alone.
	retryPause = 500 * time.Millisecond
	// callTimeout bounds a call to an engine.
	callTimeout = 600 * time.Millisecond
)

// Report is what an engine says of itself, some hundred milliseconds ago.
type Report struct {
	Weights  map[string]uint64
	Busy     bool   // an order is carried out
	Accepted uint64 // orders accepted by this incarnation
}

// Order tells an engine to load weights.
type Order struct {
	Model    string
	Version  uint64
	Holder   string
	Fence    uint64
	Expected uint64 // the engine refuses the order if it accepted others meanwhile
}

// OrderResult says what became of an order.
type OrderResult uint8

// The results of an order.
const (
	OrderUnknown   OrderResult = iota // it may be carried out, now or later
	OrderAccepted                     // it is being carried out
	OrderHolds                        // the engine holds the weights already
	OrderConflict                     // another order came first
	OrderStale                        // a newer holder has given orders
	OrderMisplaced                    // another process has the address
	OrderInvalid                      // the engine does not know the weights
)

// Engines calls engines.
type Engines interface {
	Report(ctx context.Context, server *deployment.Server) (Report, error)
	Order(ctx context.Context, server *deployment.Server, order *Order) (OrderResult, error)
}

// job brings one engine to a version.
type job struct {
	rollout *Rollout
	server  *deployment.Server
	model   string
	version uint64
	term    *lease.Term

	phase   phase     // under the rollout's lock
	retryAt time.Time // under the rollout's lock
}

// run empties the engine, orders the load and waits for its end.
func (j *job) run(ctx context.Context) {
	fleet := j.rollout.opts.Fleet
	started := time.Now()
	fleet.SetLoading(j.server.ID, started.Add(2*maxLoadTime))
	j.empty(ctx, started)
	ok := j.load(ctx)
	fleet.SetLoading(j.server.ID, time.Now())
	retryAt := time.Time{}
	if !ok {
		retryAt = time.Now().Add(retryPause)
	}
	j.rollout.setPhase(j, phaseIdle, retryAt)
}

// empty waits until the engine's requests have ended, within bounds.
func (j *job) empty(ctx context.Context, started time.Time) {
	for ctx.Err() == nil {
		if time.Since(started) >= emptyTime || j.rollout.opts.Fleet.Running(j.server.ID) == 0 {
			return
		}
		clock.Sleep(ctx, stepInterval/2)
	}
}

// load orders the newest version and waits until the engine holds it.
func (j *job) load(ctx context.Context) bool {
	j.version = max(j.version, j.rollout.wanted(j.model))
	report, err := j.report(ctx)
	if err != nil {
		logger.Warn(j.fields("error", err.Error()), "engine does not report")
		return false
	}
	if report.Weights[j.model] >= j.version {
		return j.done()
	}
	if report.Busy {
		j.rollout.setPhase(j, phaseLoading, time.Time{})
		return j.await(ctx, report.Accepted)
	}
	for !j.rollout.takeTurn(j) {
		if ctx.Err() != nil {
			return false
		}
		clock.Sleep(ctx, stepInterval/2)
	}
	j.version = max(j.version, j.rollout.wanted(j.model))
	return j.order(ctx, report.Accepted) && j.await(ctx, report.Accepted)
}

// order gives the order. Without an answer it may be carried out all the same.
func (j *job) order(ctx context.Context, accepted uint64) bool {
	if !j.term.Valid() {
		logger.Info(j.fields("reason", "lease lapsed"), "order not given")
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
	return result == OrderAccepted || result == OrderHolds || result == OrderUnknown
}

// await polls the engine until it holds the version. The report lags behind.
func (j *job) await(ctx context.Context, accepted uint64) bool {
	clock.Sleep(ctx, loadTime)
	deadline := time.Now().Add(maxLoadTime)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		report, err := j.report(ctx)
		if err == nil && report.Weights[j.model] >= j.version {
			return j.done()
		}
		if err == nil && !report.Busy && report.Accepted <= accepted {
			logger.Warn(j.fields("accepted", report.Accepted), "order not carried out yet")
			return false
		}
		if err == nil && !report.Busy && report.Accepted > accepted {
			return j.done() // carried out an earlier version, which is newer than before
		}
		if err != nil && j.gone() {
			return false
		}
		clock.Sleep(ctx, reportInterval)
	}
	return false
}

// gone says whether the engine is listed no more.
func (j *job) gone() bool {
	listed := j.rollout.opts.Source.Snapshot().Servers[j.server.ID]
	return listed == nil || listed.Incarnation != j.server.Incarnation
}

// done notes what the engine holds.
func (j *job) done() bool {
	logger.Info(j.fields("wanted", j.rollout.wanted(j.model)), "weights loaded")
	return true
}

// report asks the engine, and notes the weights that it shows.
func (j *job) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	report, err := j.rollout.opts.Engines.Report(ctx, j.server)
	if err == nil && !report.Busy {
		j.rollout.opts.Fleet.SawWeights(j.server.ID, j.model, report.Weights[j.model], time.Now())
	}
	return report, err
}

func (j *job) fields(key string, value any) fields {
	return fields{"server": j.server.ID, "model": j.model, "version": j.version, key: value}
}

// String returns the name used in log lines.
func (r OrderResult) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "stale", "misplaced", "invalid"}[r]
}
