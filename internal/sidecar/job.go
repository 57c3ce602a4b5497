// Package sidecar is the part of the system beside each backend server: the
// last check before the engine or plain service, its queue, the record of
// calls that must not be repeated, and the buffers of running streams.
package sidecar

import "github.com/wasabigate/wasabigate/internal/sidecar/job"

// The types of the chain are defined in package job, which the filters import.
type (
	// Job is a request on its way through the chain.
	Job = job.Job
	// Outcome is the last frame of a job.
	Outcome = job.Outcome
	// Handler is the next step of the chain.
	Handler = job.Handler
	// Filter is one step of the chain.
	Filter = job.Filter
	// Executor runs a job on the backend server.
	Executor = job.Executor
)
