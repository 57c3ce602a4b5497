// Package request defines the types that pass through the router's filter chain: the
// caller's request and the stream of response frames.
package request

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Request is a caller's request in the filter chain. It is used by one goroutine at a
// time. Each filter sets the fields marked for it.
type Request struct {
	ID       string
	Received time.Time
	Snapshot *control.Snapshot // taken at arrival; renewed for a retry
	Route    *config.Route

	// Credential is the caller's key. The auth filter clears it, so that later
	// filters do not see it.
	Credential string

	// Set by auth. On open routes KeyID is empty, and Workspace is the route's.
	KeyID     string
	Workspace string

	// Set by classify.
	Class        config.Class
	MaxQueueWait time.Duration // longest wait in the queue
	Cost         int64         // tokens reserved

	// Set by limit.
	Draws []*wire.Draw

	// Set by route. MissingTokens is the number of prompt tokens that the target is
	// expected to prefill.
	Target        Target
	PrefillTokens int64

	// Attempt is the number of the current attempt, from 1. Set by relay.
	Attempt uint32

	// Exactly one of Generation and Call is set at arrival.
	Generation *Generation
	Call       *wire.Call

	// MayHaveRun is set by relay once an attempt may have run.
	MayHaveRun bool

	// FailedServers lists the RPC addresses of backend servers on which this request failed.
	FailedServers []string

	// MismatchedServer is the RPC address of the backend server that last refused the
	// request because the weights version was not loaded.
	MismatchedServer string

	// ResumeToken is set if the caller reconnects to a running stream.
	ResumeToken string
}

// Group returns the group of backend servers that the request goes to.
func (r *Request) Group() string {
	if r.Generation != nil {
		return r.Generation.Model.Group
	}
	return r.Route.Group
}

// Generation is a request to a model.
type Generation struct {
	Model          *config.Model // set by classify
	ModelName      string
	Prompt         string
	ResumeText     string // text already sent to the caller
	ResumeTokens   int
	MaxTokens      int // if zero, classify sets the default
	Seed           int64
	Temperature    float64
	Stop           []string
	Chat           bool
	Streamed       bool
	SharedTexts    []string // parts of the prompt that other requests may share: all but the last
	WeightsVersion string   // set by classify to the document's; route may choose another until the stream has begun

	// Blocks are the block hashes of the prompt under the salt of CacheSeed. Set by
	// route.
	Blocks []uint64
}

// Started reports whether a part of the completion was sent to the caller. The weights
// version must not change from then on.
func (g *Generation) Started() bool { return g.ResumeTokens > 0 || g.ResumeText != "" }

// SetWeightsVersion sets the weights version. If it changes, the blocks are discarded,
// since their hashes depend on it.
func (g *Generation) SetWeightsVersion(version string) {
	if g.WeightsVersion != version {
		g.WeightsVersion = version
		g.Blocks = g.Blocks[:0]
	}
}

// CacheSeed returns the seed that separates this request's cache entries from those of
// other workspaces, models, adapters and weights versions.
func (r *Request) CacheSeed() prefix.Seed {
	return prefix.Seed{
		Workspace:      r.Workspace,
		Model:          r.Generation.Model.Base,
		Adapter:        r.Generation.Model.Adapter,
		WeightsVersion: r.Generation.WeightsVersion,
	}
}

// RecordFailure excludes the target from later attempts. A backend server without the
// weights version is not excluded until the stream has begun, since it may serve the
// request with another version.
func (r *Request) RecordFailure(code verdict.Code) {
	if code == verdict.CodeWeightsMismatch && r.Generation != nil && !r.Generation.Started() {
		r.MismatchedServer = r.Target.Address
		return
	}
	if r.Target.Address != "" {
		r.FailedServers = append(r.FailedServers, r.Target.Address)
	}
}

// HasFailed reports whether this request failed on the backend server at address.
func (r *Request) HasFailed(address string) bool {
	for _, failed := range r.FailedServers {
		if failed == address {
			return true
		}
	}
	return false
}

// Target is the backend server chosen for a request.
type Target struct {
	Name    string
	Address string // RPC address of its sidecar
}

// Stream delivers the frames of a response in order.
type Stream interface {
	// Next returns the next frame. After a frame with a tail, reply or failure
	// it returns io.EOF. An error is a *verdict.Error.
	Next(ctx context.Context) (*wire.Frame, error)
	// Close releases the stream. If it is closed before its end, the backend server
	// cancels the request if cancel is set, and otherwise keeps it to be resumed.
	Close(cancel bool)
}

// Handler and Filter are the router's instances of the pipeline's types.
type (
	Handler = pipeline.Handler[*Request, Stream]
	Filter  = pipeline.Filter[*Request, Stream]
)
