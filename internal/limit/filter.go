package limit

import (
	"context"
	"io"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Filter reserves a request's tokens before it is routed and settles the
// reservation by the tokens that were used.
type Filter struct {
	limiter Limiter
	source  control.Source
}

// NewFilter returns a filter that reserves tokens with limiter.
func NewFilter(limiter Limiter, source control.Source) *Filter {
	return &Filter{limiter: limiter, source: source}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "limit" }

// maxStaleDraws bounds how often tokens are drawn for one request whose draws are
// rejected by sidecars that have a newer shard table.
const maxStaleDraws = 2

// Handle implements pipeline.Filter. No tokens are drawn for a reconnecting caller,
// since they were drawn when its stream began.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	if req.ResumeToken != "" {
		return next.Handle(ctx, req)
	}
	var err error
	for range maxStaleDraws {
		var stream request.Stream
		stream, err = f.acquireAndHandle(ctx, req, next)
		if err == nil || verdict.From(err).Code != verdict.CodeStaleShardEpoch {
			return stream, err
		}
		req.Snapshot = f.source.Snapshot()
	}
	return nil, err
}

func (f *Filter) acquireAndHandle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	grant, err := f.limiter.Acquire(ctx, req.Workspace, req.Cost, req.ID)
	if err != nil {
		return nil, err
	}
	req.Draws = grant.Draws()
	stream, err := next.Handle(ctx, req)
	if err == nil {
		return &settledStream{Stream: stream, grant: grant, cost: req.Cost}, nil
	}
	if verdict.From(err).Verdict == verdict.NotRun {
		grant.Settle(0)
	} else {
		grant.Settle(req.Cost)
	}
	return nil, err
}

// settledStream settles a grant when the response ends.
type settledStream struct {
	request.Stream
	grant Grant
	cost  int64
}

// Next implements request.Stream.
func (s *settledStream) Next(ctx context.Context) (*wire.Frame, error) {
	frame, err := s.Stream.Next(ctx)
	switch {
	case err == io.EOF:
	case err != nil:
		s.grant.Settle(s.usedAfter(verdict.From(err).Verdict))
	case frame.GetTail() != nil:
		s.grant.Settle(int64(frame.GetTail().GetPromptTokens() + frame.GetTail().GetCompletionTokens()))
	case frame.GetReply() != nil:
		s.grant.Settle(s.cost)
	case frame.GetFailure() != nil:
		s.grant.Settle(s.usedAfter(verdict.Verdict(frame.GetFailure().GetVerdict())))
	}
	return frame, err
}

// Close implements request.Stream. A response that is abandoned is charged in full,
// since the backend server may still be working on it.
func (s *settledStream) Close(cancel bool) {
	s.grant.Settle(s.cost)
	s.Stream.Close(cancel)
}

// usedAfter returns the tokens to charge after a failure with verdict v.
func (s *settledStream) usedAfter(v verdict.Verdict) int64 {
	if v == verdict.NotRun {
		return 0
	}
	return s.cost
}
