// Package request defines what travels through the router's filter chain: the
// caller's request and the stream of frames that answers it.
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

// Request is a caller's request on its way through the chain. One goroutine
// uses it at a time. Filters fill in the fields of their part.
type Request struct {
	ID       string
	Received time.Time
	Snapshot *control.Snapshot // taken once at arrival; renewed by a retry
	Route    *config.Route

	// Credential is the caller's key. The authenticate filter clears it; no later
	// filter sees it.
	Credential string

	// Set by authenticate. Both are empty on open routes but Workspace, which is
	// the one that the route names.
	KeyID     string
	Workspace string

	// Set by classify.
	Class    config.Class
	Patience time.Duration // longest wait for execution
	Cost     int64         // tokens reserved

	// Set by limit.
	Draws []*wire.Draw

	// Set by route. MissingTokens are the prompt tokens that the target is
	// expected to compute.
	Target        Target
	MissingTokens int64

	// Attempt counts the attempts from 1. Relay sets it.
	Attempt uint32

	// Exactly one of the two is set at arrival.
	Generation *Generation
	Call       *wire.Call

	// MayHaveRun is set by relay once an attempt may have run.
	MayHaveRun bool

	// Failed are the rpc addresses of backend servers that failed this request.
	Failed []string

	// Mismatched is the rpc address of the backend server that last refused the
	// request because it does not hold the weights.
	Mismatched string

	// ResumeToken is set when the caller reconnects to a running stream.
	ResumeToken string
}

// Generation is a request to a model.
type Generation struct {
	Model          *config.Model // set by classify
	ModelName      string
	Prompt         string
	Resume         string // text already sent to the caller
	ResumeTokens   int
	MaxTokens      int // zero until classify sets the default
	Seed           int64
	Temperature    float64
	Stop           []string
	Chat           bool
	Streamed       bool
	WeightsVersion string // the document's, set by classify; route may fall back to another until the stream has begun

	// Blocks are the block hashes of the prompt under Seed's salt, set by route.
	Blocks []uint64
}

// Begun says whether a part of the completion was sent to the caller, so that
// the weights version is fixed.
func (g *Generation) Begun() bool { return g.ResumeTokens > 0 || g.Resume != "" }

// UseWeights sets the weights version. The blocks of another one don't count.
func (g *Generation) UseWeights(version string) {
	if g.WeightsVersion != version {
		g.WeightsVersion = version
		g.Blocks = g.Blocks[:0]
	}
}

// CacheSeed returns what separates this request's cache entries from others.
func (r *Request) CacheSeed() prefix.Seed {
	return prefix.Seed{
		Workspace:      r.Workspace,
		Model:          r.Generation.Model.Base,
		Adapter:        r.Generation.Model.Adapter,
		WeightsVersion: r.Generation.WeightsVersion,
	}
}

// NoteFailure keeps the next attempt away from the target. A backend server that
// lacks the weights may still serve the request with another version.
func (r *Request) NoteFailure(code verdict.Code) {
	if code == verdict.CodeWeightsMismatch && r.Generation != nil && !r.Generation.Begun() {
		r.Mismatched = r.Target.Address
		return
	}
	if r.Target.Address != "" {
		r.Failed = append(r.Failed, r.Target.Address)
	}
}

// HasFailed says whether the backend server at address failed this request.
func (r *Request) HasFailed(address string) bool {
	for _, failed := range r.Failed {
		if failed == address {
			return true
		}
	}
	return false
}

// Target is the backend server that a request goes to.
type Target struct {
	Name    string
	Address string // rpc address of its sidecar
}

// Stream delivers the frames of an answer in order.
type Stream interface {
	// Next returns the next frame. After a frame with a tail, reply or failure
	// it returns io.EOF. An error is a *verdict.Error.
	Next(ctx context.Context) (*wire.Frame, error)
	// Close releases the stream. A stream closed before its end is cancelled at
	// the backend server if cancel is true, else it can be resumed.
	Close(cancel bool)
}

// Handler and Filter are the router's instances of the pipeline's types.
type (
	Handler = pipeline.Handler[*Request, Stream]
	Filter  = pipeline.Filter[*Request, Stream]
)
