package forward

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Match finds the route of a request and the time by which it must be answered.
type Match struct{}

// Name implements pipeline.Filter.
func (Match) Name() string { return "match" }

// Handle implements pipeline.Filter.
func (Match) Handle(ctx context.Context, req *Request, next Handler) (*Answer, error) {
	if !req.Snapshot.Ready() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "no configuration is known yet")
	}
	req.Route = req.Snapshot.Config.Route(req.Host, req.URL.EscapedPath())
	if req.Route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route leads there")
	}
	patience := req.Patience
	if timeout := req.Route.Timeout; timeout > 0 && (patience <= 0 || timeout < patience) {
		patience = timeout
	}
	if patience <= 0 {
		return next.Handle(ctx, req)
	}
	req.Deadline = req.Arrived.Add(patience)
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	answer, err := next.Handle(ctx, req)
	if err != nil || answer.Events == nil {
		cancel()
		return answer, err
	}
	answer.Events = &boundedEvents{Events: answer.Events, ctx: ctx, cancel: cancel}
	return answer, nil
}

// boundedEvents ends a stream at its deadline.
type boundedEvents struct {
	Events
	ctx    context.Context
	cancel context.CancelFunc
}

// Next implements Events.
func (b *boundedEvents) Next(context.Context) ([]byte, error) { return b.Events.Next(b.ctx) }

// Close implements Events.
func (b *boundedEvents) Close() {
	b.Events.Close()
	b.cancel()
}

// Confirmed refuses requests when the configuration could not be confirmed for too
// long, on deployments that want that: a key may have been withdrawn meanwhile.
type Confirmed struct {
	Silence func() time.Duration // of the store and of all that know it
	Bound   time.Duration
}

// confirmRetryAfter is told to clients: the store is asked again several times in it.
const confirmRetryAfter = time.Second

// Name implements pipeline.Filter.
func (*Confirmed) Name() string { return "confirmed" }

// Handle implements pipeline.Filter. Public routes need no key, and go on.
func (c *Confirmed) Handle(ctx context.Context, req *Request, next Handler) (*Answer, error) {
	if silence := c.Silence(); silence > c.Bound && !req.Route.Public {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStoreUnavailable, "the configuration was confirmed %v ago", silence.Round(time.Millisecond)).WithRetryAfter(confirmRetryAfter)
	}
	return next.Handle(ctx, req)
}
