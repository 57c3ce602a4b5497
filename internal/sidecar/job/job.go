// Package job defines the unit of work of the sidecar's filter chain: a request
// from a router, and the frames of its response.
package job

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Job is a request that the sidecar's chain handles.
type Job struct {
	Request   *wire.ExecuteRequest
	Received  time.Time
	Snapshot  *control.Snapshot // set by verify: the state against which the request was checked
	Route     *config.Route     // set by verify
	QueueWait time.Duration     // set by queue: time spent waiting
	// Emit passes a frame to the job's buffer, which numbers it. Only the
	// goroutine that runs the chain calls it.
	Emit func(*wire.Frame)

	phase atomic.Uint32
}

// Phases of a job. A job leaves phaseWaiting once, so it is either started or
// aborted, never both.
const (
	phaseWaiting uint32 = iota
	phaseStarted
	phaseAborted
)

// TryStart marks the job as started and reports whether it may run.
func (j *Job) TryStart() bool {
	return j.phase.CompareAndSwap(phaseWaiting, phaseStarted) || j.phase.Load() == phaseStarted
}

// TryAbort prevents the job from starting and reports whether it succeeded. If so,
// the job has not run and never will.
func (j *Job) TryAbort() bool {
	return j.phase.CompareAndSwap(phaseWaiting, phaseAborted) || j.phase.Load() == phaseAborted
}

// Deadline returns the time from which execution must not start, because the
// caller no longer waits. The zero time means no deadline.
func (j *Job) Deadline() time.Time {
	if j.Request.PatienceMs <= 0 {
		return time.Time{}
	}
	return j.Received.Add(time.Duration(j.Request.PatienceMs) * time.Millisecond)
}

// Expired reports whether the deadline has passed.
func (j *Job) Expired(now time.Time) bool {
	deadline := j.Deadline()
	return !deadline.IsZero() && !now.Before(deadline)
}

// AtMostOnce reports whether the request must run at most once.
func (j *Job) AtMostOnce() bool {
	call := j.Request.Call
	if call == nil {
		return false
	}
	return call.Once || (j.Route != nil && j.Route.AtMostOnce)
}

// Outcome is the final frame of a job: a tail, a reply or a failure.
type Outcome = *wire.Frame

// Handler and Filter are the sidecar's instances of the pipeline's types. An
// error is a *verdict.Error.
type (
	Handler = pipeline.Handler[*Job, Outcome]
	Filter  = pipeline.Filter[*Job, Outcome]
)

// Executor runs a job on the backend server: the last handler of the chain.
type Executor interface {
	Handle(ctx context.Context, job *Job) (Outcome, error)
}
