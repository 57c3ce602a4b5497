// Package forward is the path of a request through a gateway, which forwards it
// as it is to a backend server: match, authenticate, limit, relay. Every error
// says whether the request may have run.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/pipeline"
)

// Part is a part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Facts are what a request's headers say.
type Facts struct {
	ID           string
	Credential   string        // API key; removed by authentication
	Patience     time.Duration // how long the client waits; 0: not said
	Model        string
	PromptTokens int64
	OutputTokens int64 // at most
	HasTokens    bool
	Parts        []Part // of the prompt, in order; the last is the request's own
	LastEventID  string // the client resumes a stream after this event
}

// Request is a client's request on its way through the chain. One goroutine uses
// it at a time.
type Request struct {
	Facts
	Arrived  time.Time
	Method   string
	URL      *url.URL // path and query, unchanged
	Host     string
	Header   http.Header // end to end, without what the system sets itself
	Body     []byte
	Snapshot *deployment.Snapshot

	Route     *deployment.Route     // set by match
	Deadline  time.Time             // set by match
	Workspace *deployment.Workspace // set by authenticate; nil on public routes

	Log Log
}

// Log is what the request's log line tells beside its outcome.
type Log struct {
	Attempts int
	Server   string // id of the last backend server
}

// Shared returns the parts of the prompt that other requests may share.
func (r *Request) Shared() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Prompt returns the id of the last shared part, empty if there is none, and the
// tokens of the shared parts and of the rest.
func (r *Request) Prompt() (last string, shared, own int64) {
	for _, part := range r.Shared() {
		last = part.ID
		shared += part.Tokens
	}
	return last, shared, max(0, r.PromptTokens-shared)
}

// WorkspaceName returns the name of the workspace, or nothing.
func (r *Request) WorkspaceName() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// MayRepeat says whether the request may run again from its start or go on
// elsewhere, after an outcome that is not known.
func (r *Request) MayRepeat() bool {
	return r.Route.MayRepeat() || r.Route.Kind == deployment.Stream && r.Route.Resumable
}

// Answer is what the client gets. Events is nil for a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Events Events
}

// Events delivers the events of a stream in order.
type Events interface {
	// Next returns whole events, valid until the next call, or io.EOF after the
	// last one. Another error means that the stream is not complete.
	Next(ctx context.Context) ([]byte, error)
	Close()
}

// Handler and Filter are the gateway's instances of the pipeline's types.
type (
	Handler = pipeline.Handler[*Request, *Answer]
	Filter  = pipeline.Filter[*Request, *Answer]
)
