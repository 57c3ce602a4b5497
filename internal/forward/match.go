package forward

import (
	"context"

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
