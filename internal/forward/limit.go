package forward

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Limit holds each workspace to its rate and burst.
type Limit struct {
	Limiter limit.Limiter
}

// Name implements pipeline.Filter.
func (*Limit) Name() string { return "limit" }

// Handle implements pipeline.Filter. What has not run costs nothing.
func (l *Limit) Handle(ctx context.Context, req *Request, next Handler) (*Answer, error) {
	if req.Workspace == nil || !req.Workspace.Limited() {
		return next.Handle(ctx, req)
	}
	cost := costOf(req)
	grant, err := l.Limiter.Acquire(ctx, req.Workspace.Name, cost, req.ID)
	if err != nil {
		return nil, limitError(err)
	}
	answer, err := next.Handle(ctx, req)
	if err != nil && verdict.From(err).Verdict == verdict.NotRun {
		grant.Settle(0)
		return nil, err
	}
	grant.Settle(cost)
	return answer, err
}

// costOf returns what a request counts for: one, or its tokens.
func costOf(req *Request) int64 {
	switch {
	case !req.Workspace.CountsTokens:
		return 1
	case req.HasTokens:
		return req.PromptTokens + req.OutputTokens
	default:
		return req.Workspace.UncachedTokens
	}
}

// limitError judges a refusal of the limiter. What exceeds a workspace's burst is
// over its rate, too: clients need no other word for it.
func limitError(err error) error {
	failure := verdict.From(err)
	switch failure.Code {
	case verdict.CodeCostAboveBurst:
		return verdict.Wrap(failure, verdict.NotRun, verdict.CodeRateLimited, "the request is above the workspace's burst")
	case verdict.CodeForbidden:
		return verdict.Wrap(failure, verdict.NotRun, verdict.CodeStoreUnavailable, "the workspace's limits are not known yet")
	}
	return failure
}
