// Package sidecar is the part of the system beside each backend server: the
// last check before the engine or plain service, its queue, the record of
// calls that must not be repeated, and the buffers of running streams.
package sidecar

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Job is a request on its way through the sidecar's chain.
type Job struct {
	Request  *wire.ExecuteRequest
	Received time.Time
	Snapshot *control.Snapshot
	Queued   time.Duration // set by queue: time spent waiting
	// Emit passes a frame to the job's buffer, which numbers it. Only the
	// goroutine that runs the chain calls it.
	Emit func(*wire.Frame)
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
