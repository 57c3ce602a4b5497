package forward

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Limit enforces the rate and burst of each workspace.
type Limit struct {
	Limiter limit.Limiter
}

// Name implements pipeline.Filter.
func (*Limit) Name() string { return "limit" }

// Handle implements pipeline.Filter. A request that has not run is not charged.
func (l *Limit) Handle(ctx context.Context, req *Request, next Handler) (*Response, error) {
	if req.Workspace == nil || !req.Workspace.Limited() {
		return next.Handle(ctx, req)
	}
	cost := costOf(req)
	grant, err := l.Limiter.Acquire(ctx, req.Workspace.Name, cost, req.ID)
	if err != nil {
		return nil, asLimitError(err)
	}
	resp, err := next.Handle(ctx, req)
	if err != nil && verdict.From(err).Verdict == verdict.NotRun {
		grant.Settle(0)
		return nil, err
	}
	grant.Settle(cost)
	return resp, err
}

// costOf returns the cost of a request: 1, or its tokens if the workspace's limit counts
// tokens.
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

// asLimitError maps an error of the limiter to one for the client. A cost above the
// burst is reported as rate limited, since clients need not distinguish the two.
func asLimitError(err error) error {
	failure := verdict.From(err)
	switch failure.Code {
	case verdict.CodeCostAboveBurst:
		return verdict.Wrap(failure, verdict.NotRun, verdict.CodeRateLimited, "the request is above the workspace's burst")
	case verdict.CodeForbidden:
		return verdict.Wrap(failure, verdict.NotRun, verdict.CodeStoreUnavailable, "the workspace's limits are not known yet")
	}
	return failure
}
