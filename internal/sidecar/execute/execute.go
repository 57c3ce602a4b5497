// Package execute contains the last handler of the sidecar's chain. It runs a
// request on the sidecar's model engine or plain service, and converts the
// response into frames and verdicts.
package execute

import (
	"context"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("execute")

// executor implements job.Executor.
type executor struct {
	engine  engine.Engine  // nil for a plain service
	service engine.Service // nil for a model engine
	ends    serviceEnds
}

// New returns the Executor for a model engine or a plain service; the other
// argument is nil.
func New(e engine.Engine, s engine.Service) job.Executor {
	return &executor{engine: e, service: s}
}

// NewForService returns the Executor for a plain service. ended reports whether no
// process of the service runs; numbers counts their ends.
func NewForService(s engine.Service, ended func(ctx context.Context) bool, numbers *processend.Numbers) job.Executor {
	return &executor{service: s, ends: serviceEnds{ended: ended, numbers: numbers}}
}

// Handle implements job.Executor.
func (x *executor) Handle(ctx context.Context, j *job.Job) (job.Outcome, error) {
	outcome, err := x.run(ctx, j)
	if err != nil {
		countOutcome(ctx, err.Verdict)
		logger.Warn(logging.Fields{"request_id": j.Request.RequestId, "attempt": j.Request.Attempt, "error": err.Error()},
			"request failed")
		return nil, err
	}
	countOutcome(ctx, verdict.Ran)
	return outcome, nil
}

func (x *executor) run(ctx context.Context, j *job.Job) (job.Outcome, *verdict.Error) {
	switch {
	case j.Request.Generation != nil && x.engine != nil:
		return x.generate(ctx, j)
	case j.Request.Call != nil && x.service != nil:
		return x.call(ctx, j)
	default:
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of this kind is here")
	}
}

// backendError wraps an error of the backend server with its verdict and code.
func backendError(ctx context.Context, err error, format string, args ...any) *verdict.Error {
	v := verdict.MayHaveRun
	if errors.Is(err, engine.ErrUnreachable) || errors.Is(err, engine.ErrRefused) {
		v = verdict.NotRun
	}
	code := verdict.CodeBackendFailed
	if errors.Is(ctx.Err(), context.Canceled) {
		code = verdict.CodeCancelled
	}
	failure := verdict.Wrap(err, v, code, format, args...)
	failure.Sent = !errors.Is(err, engine.ErrUnreachable)
	return failure
}
