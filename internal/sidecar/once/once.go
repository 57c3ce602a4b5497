package once

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("once")

// Filter is the filter that runs calls at most once. It is safe for concurrent
// use.
type Filter struct {
	store      store
	metrics    metrics
	background sync.WaitGroup // writes and removals of records
}

// Name implements job.Filter.
func (f *Filter) Name() string { return "once" }

// Handle implements job.Filter.
func (f *Filter) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	if !j.AtMostOnce() {
		return next.Handle(ctx, j)
	}
	if j.Request.Call.IdempotencyKey == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "route %q needs an idempotency key", j.Route.Name)
	}
	outcome, err := f.handle(ctx, j, next)
	if err != nil {
		return nil, err
	}
	return outcome, nil
}

// Wait waits until all background writes and removals of records are done, or
// ctx ends.
func (f *Filter) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		f.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

func (f *Filter) handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, *verdict.Error) {
	r := newRecord(f.store.prefix, j)
	other, err := f.create(ctx, j, r)
	if errors.Is(err, errIntentExists) {
		return f.handleDuplicate(j, r, other)
	}
	if err != nil {
		f.discard(r)
		f.metrics.count(resultUnavailable)
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeStoreUnavailable,
			"the record of calls can't be reached").WithRetryAfter(time.Second)
	}
	if refusal := checkDeadline(ctx, j); refusal != nil {
		f.discard(r)
		f.metrics.count(resultRefused)
		return nil, refusal
	}
	return f.execute(ctx, j, r, next)
}

// create creates the intent within storeTimeout and the caller's deadline.
func (f *Filter) create(ctx context.Context, j *job.Job, r *record) (*wire.Intent, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if deadline := j.Deadline(); !deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	return f.store.create(ctx, r)
}

func (f *Filter) handleDuplicate(j *job.Job, r *record, other *wire.Intent) (job.Outcome, *verdict.Error) {
	outcome, err := resolveExisting(other, r.intent, timeoutOf(j))
	result := resultReplayed
	if err != nil {
		result = resultUnknown
	}
	f.metrics.count(result)
	logger.Info(logging.Fields{
		"request_id":       j.Request.RequestId,
		"workspace":        j.Request.Workspace,
		"earlier_request":  other.RequestId,
		"earlier_recorded": other.Reply != nil,
	}, "an intent of this call already exists; call not executed")
	return outcome, err
}

// checkDeadline returns an error if the caller disconnected or its deadline
// passed while the intent was written.
func checkDeadline(ctx context.Context, j *job.Job) *verdict.Error {
	if ctx.Err() != nil {
		return verdict.Wrap(context.Cause(ctx), verdict.NotRun, verdict.CodeCancelled, "cancelled before execution")
	}
	if j.Expired(time.Now()) {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the record of calls was too slow").WithRetryAfter(time.Second)
	}
	return nil
}

// execute runs the call and records its reply. From here on neither a
// disconnect of the caller nor a key withdrawal cancels the call, because the
// outcome of a cancelled call would be unknown.
func (f *Filter) execute(ctx context.Context, j *job.Job, r *record, next job.Handler) (job.Outcome, *verdict.Error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeoutOf(j))
	defer cancel()
	outcome, err := next.Handle(ctx, j)
	if err != nil {
		return nil, f.handleFailure(r, verdict.From(err))
	}
	if outcome == nil || outcome.Reply == nil || forOtherRequest(outcome, j) {
		f.metrics.count(resultUnknown)
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the service gave no answer to this call")
	}
	f.metrics.count(resultExecuted)
	f.recordReply(j, r.withReply(outcome.Reply))
	return outcome, nil
}

// forOtherRequest reports whether an outcome belongs to another request.
func forOtherRequest(outcome job.Outcome, j *job.Job) bool {
	return outcome.RequestId != "" && outcome.RequestId != j.Request.RequestId
}

// handleFailure removes the intent if the call certainly did not run.
func (f *Filter) handleFailure(r *record, err *verdict.Error) *verdict.Error {
	if err.Verdict == verdict.NotRun {
		f.discard(r)
		f.metrics.count(resultRefused)
		return err
	}
	f.metrics.count(resultUnknown)
	return err
}

// discard removes the intent of a call that did not run and never will. It
// returns after at most recordWait; the removal continues in the background.
func (f *Filter) discard(r *record) {
	if !r.mayExist() {
		return
	}
	f.runInBackground(func(ctx context.Context) {
		if err := f.store.remove(ctx, r); err != nil {
			logger.Warn(logging.Fields{"request_id": r.intent.RequestId, "error": err.Error()},
				"cannot remove the intent of a call that did not run")
		}
	})
}

// recordReply stores the reply. It returns after at most recordWait, so that the
// response is not delayed further; the write continues in the background.
func (f *Filter) recordReply(j *job.Job, r *record) {
	started := time.Now()
	f.runInBackground(func(ctx context.Context) {
		if err := f.store.recordReply(ctx, r); err != nil {
			f.metrics.count(resultUnrecorded)
			logger.Error(logging.Fields{
				"request_id": j.Request.RequestId,
				"workspace":  j.Request.Workspace,
				"error":      err.Error(),
			}, "cannot record the reply")
			return
		}
		if time.Since(started) > recordWait {
			f.metrics.count(resultLateRecord)
		}
	})
}

// runInBackground runs work with recordTimeout. It returns when work is done, after
// recordWait at the latest.
func (f *Filter) runInBackground(work func(context.Context)) {
	done := make(chan struct{})
	f.background.Go(func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		work(ctx)
	})
	timer := time.NewTimer(recordWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

func timeoutOf(j *job.Job) time.Duration {
	if j.Route != nil && j.Route.Timeout > 0 {
		return j.Route.Timeout
	}
	return defaultTimeout
}
