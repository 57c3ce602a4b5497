package forward

import (
	"bytes"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// JoinCopies runs a request that may run at most once a single time while copies of it arrive,
// and gives each copy the outcome. Without it, a client that sends a request twice at the same
// moment under one id would have it run twice, or be told of one copy that it has not run while
// the other does. Copies that reach other gateways, or come after the outcome, are requests of
// their own. The zero value is ready for use.
type JoinCopies struct {
	mu      sync.Mutex
	running map[copyKey]*joinedRequest
}

// copyKey identifies a request by what all copies have in common. Requests that share only the
// id are not copies.
type copyKey struct {
	workspace, id, method, host, target string
	body                                uint64 // hash
}

// joinedRequest is a running request. Its result is set before ended is closed.
type joinedRequest struct {
	body     []byte
	ended    chan struct{}
	response *Response
	err      error
}

// Name implements pipeline.Filter.
func (*JoinCopies) Name() string { return "copies" }

// Handle implements pipeline.Filter.
func (j *JoinCopies) Handle(ctx context.Context, req *Request, next Handler) (*Response, error) {
	if req.Route.Kind != deployment.AtMostOnce || req.ID == "" {
		return next.Handle(ctx, req)
	}
	key := copyKey{workspace: req.WorkspaceName(), id: req.ID, method: req.Method, host: req.Host, target: req.URL.RequestURI(), body: xxhash.Sum64(req.Body)}
	running, isCopy := j.join(key, req.Body)
	if !isCopy {
		defer j.end(key, running)
		running.response, running.err = next.Handle(ctx, req)
		return running.response.clone(), running.err
	}
	if !bytes.Equal(running.body, req.Body) {
		return next.Handle(ctx, req)
	}
	logger.Info(fields{"request_id": req.ID}, "copy of a running request joined")
	select {
	case <-running.ended:
		if failure := verdict.From(running.err); failure != nil && failure.Code == verdict.CodeCancelled {
			return nil, verdict.Wrap(failure, failure.Verdict, verdict.CodeBackendFailed, "the copy that was running was cancelled")
		}
		return running.response.clone(), running.err
	case <-ctx.Done():
		return nil, verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, verdict.CodeTimeout, "a copy of the request is running")
	}
}

// join returns the running request with a key, and whether it ran before. If none did, it is
// recorded as running until end is called.
func (j *JoinCopies) join(key copyKey, body []byte) (running *joinedRequest, isCopy bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if running, isCopy = j.running[key]; isCopy {
		return running, true
	}
	if j.running == nil {
		j.running = make(map[copyKey]*joinedRequest)
	}
	running = &joinedRequest{body: body, ended: make(chan struct{}), err: verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "the handler panicked")}
	j.running[key] = running
	return running, false
}

// end gives the result to the copies. It is called before the response is written, so that a
// client which sends a refused request again is not taken for one that sends a copy.
func (j *JoinCopies) end(key copyKey, running *joinedRequest) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.running, key)
	close(running.ended)
}

// clone returns a response whose header can be changed. The response is not a stream.
func (r *Response) clone() *Response {
	if r == nil {
		return nil
	}
	cloned := *r
	cloned.Header = r.Header.Clone()
	return &cloned
}
