// Package sidecar implements the process that runs beside each backend server, an
// engine or a plain service. It verifies requests, queues them, records calls that
// must run at most once, and buffers running streams.
package sidecar

import "github.com/wasabigate/wasabigate/internal/sidecar/job"

// Types of the chain. Package job defines them, since the filters import them.
type (
	// Job is a request that the chain handles.
	Job = job.Job
	// Outcome is the final frame of a job.
	Outcome = job.Outcome
	// Handler is the next step of the chain.
	Handler = job.Handler
	// Filter is one step of the chain.
	Filter = job.Filter
	// Executor runs a job on the backend server.
	Executor = job.Executor
)
