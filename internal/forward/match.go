package forward

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Match sets the route and the deadline of a request.
type Match struct{}

// Name implements pipeline.Filter.
func (Match) Name() string { return "match" }

// Handle implements pipeline.Filter.
func (Match) Handle(ctx context.Context, req *Request, next Handler) (*Response, error) {
	if !req.Snapshot.Ready() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no configuration is known yet")
	}
	req.Route = req.Snapshot.Config.Route(req.Host, req.URL.EscapedPath())
	if req.Route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route leads there")
	}
	timeout := req.Timeout
	if routeTimeout := req.Route.Timeout; routeTimeout > 0 && (timeout <= 0 || routeTimeout < timeout) {
		timeout = routeTimeout
	}
	if timeout <= 0 {
		return next.Handle(ctx, req)
	}
	req.Deadline = req.Arrived.Add(timeout)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	resp, err := next.Handle(ctx, req)
	if err != nil || resp.Events == nil {
		cancel()
		return resp, err
	}
	resp.Events = &deadlineEvents{Events: resp.Events, ctx: ctx, cancel: cancel}
	return resp, nil
}

// deadlineEvents ends a stream at its deadline.
type deadlineEvents struct {
	Events
	ctx    context.Context
	cancel context.CancelFunc
}

// Next implements Events.
func (e *deadlineEvents) Next(context.Context) ([]byte, error) { return e.Events.Next(e.ctx) }

// Close implements Events.
func (e *deadlineEvents) Close() {
	e.Events.Close()
	e.cancel()
}

// RequireConfirmed refuses requests when the configuration has not been confirmed for
// longer than MaxStaleness, since an API key may have been withdrawn in the meantime.
// Deployments enable it by a setting.
type RequireConfirmed struct {
	Staleness    func() time.Duration // time since the store last confirmed the configuration
	MaxStaleness time.Duration
}

// confirmRetryAfter is sent to clients. The store is polled several times within it.
const confirmRetryAfter = time.Second

// Name implements pipeline.Filter.
func (*RequireConfirmed) Name() string { return "confirmed" }

// Handle implements pipeline.Filter. Public routes need no key and are always served.
func (c *RequireConfirmed) Handle(ctx context.Context, req *Request, next Handler) (*Response, error) {
	if staleness := c.Staleness(); staleness > c.MaxStaleness && !req.Route.Public {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "the configuration was confirmed %v ago", staleness.Round(time.Millisecond)).WithRetryAfter(confirmRetryAfter)
	}
	return next.Handle(ctx, req)
}
