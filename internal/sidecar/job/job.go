// Package job defines what travels through the sidecar's filter chain: a
// request that a router sent, and the frames that answer it.
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

// Job is a request on its way through the sidecar's chain.
type Job struct {
	Request  *wire.ExecuteRequest
	Received time.Time
	Snapshot *control.Snapshot // set by verify: the state that the request was judged by
	Route    *config.Route     // set by verify
	Queued   time.Duration     // set by queue: time spent waiting
	// Emit passes a frame to the job's buffer, which numbers it. Only the
	// goroutine that runs the chain calls it.
	Emit func(*wire.Frame)

	phase atomic.Uint32
}

// The phases of a job. The first change decides whether it runs.
const (
	phaseWaiting uint32 = iota
	phaseBegun
	phaseForbidden
)

// Begin marks the job as begun and says whether it may run.
func (j *Job) Begin() bool {
	return j.phase.CompareAndSwap(phaseWaiting, phaseBegun) || j.phase.Load() == phaseBegun
}

// Forbid keeps the job from beginning and says whether it succeeded: then the
// job has not run and never will.
func (j *Job) Forbid() bool {
	return j.phase.CompareAndSwap(phaseWaiting, phaseForbidden) || j.phase.Load() == phaseForbidden
}

// Deadline returns the time after which execution must not begin, because the
// caller no longer waits. The zero time means that there is none.
func (j *Job) Deadline() time.Time {
	if j.Request.PatienceMs <= 0 {
		return time.Time{}
	}
	return j.Received.Add(time.Duration(j.Request.PatienceMs) * time.Millisecond)
}

// Expired says whether execution must not begin any more.
func (j *Job) Expired(now time.Time) bool {
	deadline := j.Deadline()
	return !deadline.IsZero() && !now.Before(deadline)
}

// Once says whether the request must run at most once.
func (j *Job) Once() bool {
	call := j.Request.Call
	if call == nil {
		return false
	}
	return call.Once || (j.Route != nil && j.Route.Once)
}

// Outcome is the last frame of a job: a tail, a reply or a failure.
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
