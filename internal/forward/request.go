// Package forward implements the filters through which a gateway passes a request before
// it forwards it unchanged to a backend server: match, authenticate, copies, limit, relay.
// Every error states whether the request may have run.
package forward

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/pipeline"
)

// Part is a section of a prompt, which requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Metadata holds the values of a request's headers.
type Metadata struct {
	ID           string
	Credential   string        // API key; removed by authentication
	Timeout      time.Duration // how long the client waits; 0: not given
	Model        string
	PromptTokens int64
	OutputTokens int64  // upper bound
	HasTokens    bool   // the numbers of tokens are given
	Parts        []Part // of the prompt, in order; the last is the request's own
	LastEventID  string // the client resumes a stream after this event
	Resumes      string // id of the request that brought the first event of that stream; empty: not given
}

// Request is a client's request on its way through the chain. One goroutine uses
// it at a time.
type Request struct {
	Metadata
	Arrived  time.Time
	Method   string
	URL      *url.URL // path and query, unchanged
	Host     string
	Header   http.Header // end-to-end headers, without those that the gateway sets itself
	Body     []byte
	Snapshot *deployment.Snapshot
	// AdmitResponse waits for memory for the first bytes of a response that is read as a
	// whole; nil: no bound. Its error is clientbody.ErrNoRoom, also when ctx ends.
	AdmitResponse func(ctx context.Context, bytes int64) error

	Route     *deployment.Route     // set by match
	Deadline  time.Time             // set by match
	Workspace *deployment.Workspace // set by authenticate; nil on public routes

	Log Log
}

// Log holds values for the request's log line, besides its outcome.
type Log struct {
	Attempts int
	Server   string // id of the last backend server
	Software string // version to which the last attempt was bound; empty: none
}

// Shared returns the parts of the prompt that other requests may share.
func (r *Request) Shared() []Part {
	if len(r.Parts) == 0 {
		return nil
	}
	return r.Parts[:len(r.Parts)-1]
}

// Prompt returns the id of the last shared part, empty if there is none, and the
// numbers of tokens in the shared parts and in the rest.
func (r *Request) Prompt() (last string, shared, own int64) {
	for _, part := range r.Shared() {
		last = part.ID
		shared += part.Tokens
	}
	return last, shared, max(0, r.PromptTokens-shared)
}

// WorkspaceName returns the name of the workspace, or an empty string if there is none.
func (r *Request) WorkspaceName() string {
	if r.Workspace == nil {
		return ""
	}
	return r.Workspace.Name
}

// MayRetry reports whether, after an attempt of unknown outcome, the request may be run
// again from its start or resumed at another server.
func (r *Request) MayRetry() bool {
	return r.Route.MayRetry() || r.Route.ResumesStreams()
}

// Response is the response to the client. Events is nil unless it is a stream.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Events Events
}

// Events delivers the events of a stream in order.
type Events interface {
	// Next returns one or more complete events, valid until the next call, or io.EOF
	// after the last one. Any other error means that the stream is incomplete.
	Next(ctx context.Context) ([]byte, error)
	Close()
}

// Handler and Filter are the gateway's instances of the pipeline's types.
type (
	Handler = pipeline.Handler[*Request, *Response]
	Filter  = pipeline.Filter[*Request, *Response]
)
