// Package hold provides the filter that holds back attempts of requests that crash backend
// servers, and of generations whose prompt does. It reports crashes and successes of
// attempts to the quarantine.
package hold

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/wasabigate/wasabigate/internal/dispatch"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("hold")

// Filter implements pipeline.Filter for attempts whose target is chosen.
type Filter struct {
	quarantine *quarantine.Quarantine
}

// New returns a Filter.
func New(q *quarantine.Quarantine) *Filter { return &Filter{quarantine: q} }

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "hold" }

// Handle implements pipeline.Filter.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	parts := partsOf(req)
	a := &attempt{quarantine: f.quarantine, server: req.Target.Name, parts: parts, sent: time.Now()}
	decision := f.quarantine.Check(parts, a.sent)
	if decision.Held {
		logger.Info(logging.Fields{
			logging.FieldRequest: req.ID, logging.FieldQuarantined: decision.Part.String(), "retry_after_ms": decision.RetryAfter.Milliseconds(),
		}, "request held back")
		return nil, verdict.New(verdict.NotRun, verdict.CodeQuarantined, "backend servers crash when they answer %s", decision.Part.Describe()).
			WithRetryAfter(decision.RetryAfter)
	}
	if decision.Probe {
		a.probe = decision.Part
	}
	inner, err := next.Handle(ctx, req)
	if err != nil {
		a.failed(verdict.From(err))
		return nil, err
	}
	return &stream{Stream: inner, attempt: a}, nil
}

// partsOf returns the parts of a request's prompt that other requests may share, and the
// request itself.
func partsOf(req *request.Request) []quarantine.Part {
	if g := req.Generation; g != nil {
		parts := make([]quarantine.Part, 0, len(g.SharedTexts)+1)
		for _, text := range g.SharedTexts {
			parts = append(parts, quarantine.PartOf(g.ModelName, text))
		}
		return append(parts, quarantine.RequestOf(g.ModelName, "", "", req.Workspace, []byte(g.Prompt)))
	}
	if call := req.Call; call != nil {
		return []quarantine.Part{quarantine.RequestOf(routeName(req), call.Method, call.Path, req.Workspace, call.Body)}
	}
	return nil
}

func routeName(req *request.Request) string {
	if req.Route == nil {
		return ""
	}
	return req.Route.Name
}

// attempt is an attempt at a backend server.
type attempt struct {
	quarantine *quarantine.Quarantine
	server     string
	parts      []quarantine.Part
	probe      quarantine.Part // 0: none
	sent       time.Time
	began      bool      // the engine has begun a response
	firstToken time.Time // zero: none came
	ended      bool
}

// received records a frame of the response.
func (a *attempt) received(frame *wire.Frame) {
	switch {
	case frame.GetHead() != nil:
		a.began = true
	case frame.GetTokens() != nil && a.firstToken.IsZero():
		a.firstToken = time.Now()
	case frame.GetTail() != nil, frame.GetReply() != nil && frame.GetReply().Status < http.StatusInternalServerError:
		a.end(quarantine.ProbeUnsent)
		a.quarantine.RecordSuccess(a.parts, time.Now())
	case frame.GetFailure() != nil:
		a.failed(dispatch.FailureError(frame.GetFailure()))
	}
}

// failed records a failure of the attempt.
func (a *attempt) failed(err *verdict.Error) {
	now := time.Now()
	a.end(probeEnd(err))
	stage, possible := quarantine.StageAt(a.began, a.firstToken, now)
	if err.Crashed == 0 || !possible {
		return
	}
	a.quarantine.RecordCrash(quarantine.Crash{
		Server: fmt.Sprintf("%s@%d", a.server, err.Crashed), Sent: a.sent, Ended: now, Stage: stage, Parts: a.parts,
	}, now)
}

// probeEnd returns how a probe that failed has ended.
func probeEnd(err *verdict.Error) quarantine.ProbeEnd {
	if err.Verdict == verdict.NotRun {
		return quarantine.ProbeUnsent
	}
	return quarantine.ProbeBroke
}

// end ends the probe that the attempt may be. Calls after the first have no effect.
func (a *attempt) end(end quarantine.ProbeEnd) {
	if !a.ended && a.probe != 0 {
		a.quarantine.EndProbe(a.probe, end, time.Now())
	}
	a.ended = true
}

// stream reports the frames of a response to its attempt.
type stream struct {
	request.Stream
	attempt *attempt
}

// Next implements request.Stream.
func (s *stream) Next(ctx context.Context) (*wire.Frame, error) {
	frame, err := s.Stream.Next(ctx)
	if err == nil {
		s.attempt.received(frame)
	}
	return frame, err
}

// Close implements request.Stream.
func (s *stream) Close(cancel bool) {
	s.attempt.end(quarantine.ProbeUnsent)
	s.Stream.Close(cancel)
}
