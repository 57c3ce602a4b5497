// Package relay provides the filter that hides failures of attempts from the caller. It
// retries requests that have not run, resumes a stream whose connection broke, and
// continues a generation on another backend server when the first one has failed.
package relay

import (
	"context"
	"io"
	"time"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/dispatch"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("relay")

const (
	// maxAttempts bounds the attempts at backend servers for one request.
	maxAttempts = 5
	// maxResumes bounds the calls to resume an attempt after its connection broke.
	maxResumes = 3
	// resumeInterval is the time between two of these calls.
	resumeInterval = 50 * time.Millisecond
)

// Resumer asks a sidecar for the frames of a running attempt after a sequence number.
type Resumer interface {
	Resume(ctx context.Context, req *request.Request, after uint64) (request.Stream, error)
}

// Budget bounds the retries of all routers together.
type Budget interface {
	RecordRequest(group string, now time.Time)
	AllowRetry(group string, now time.Time) bool
}

// Filter relays the responses of backend servers.
type Filter struct {
	source  control.Source
	resumer Resumer
	budget  Budget
}

// New returns a Filter.
func New(source control.Source, resumer Resumer, budget Budget) *Filter {
	return &Filter{source: source, resumer: resumer, budget: budget}
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "relay" }

// Handle implements pipeline.Filter.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	s := &stream{filter: f, req: req, next: next}
	if req.ResumeToken != "" {
		return f.reconnect(ctx, s)
	}
	f.budget.RecordRequest(req.Group(), time.Now())
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	return s, nil
}

// reconnect resumes a stream that began at another router.
func (f *Filter) reconnect(ctx context.Context, s *stream) (request.Stream, error) {
	position, err := f.checkToken(s.req)
	if err != nil {
		return nil, err
	}
	if position.Ended {
		return &stream{filter: f, req: s.req, ended: true}, nil
	}
	s.req.ID = position.RequestID
	s.req.Attempt = position.Attempt
	s.req.Target = request.Target{Name: position.Address, Address: position.Address}
	s.lastSequence = position.Sequence
	s.reconnected = true
	inner, err := f.resumer.Resume(ctx, s.req, position.Sequence)
	if err != nil {
		return nil, err
	}
	s.inner = inner
	return s, nil
}

// checkToken parses the request's resume token and checks it against the caller's
// workspace and the listed backend servers.
func (f *Filter) checkToken(req *request.Request) (request.Position, error) {
	position, err := request.ParsePosition(req.ResumeToken)
	if err != nil {
		return request.Position{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "the Last-Event-ID is not valid")
	}
	if position.Workspace != req.Workspace || !f.source.Snapshot().View.HasServer(position.Address) {
		return request.Position{}, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the stream can't be resumed")
	}
	return position, nil
}

// stream is the response to one request over all its attempts.
type stream struct {
	filter        *Filter
	req           *request.Request
	next          request.Handler
	inner         request.Stream // of the current attempt
	lastSequence  uint64         // sequence number of the last frame of this attempt
	reconnected   bool           // began at another router, so the text that a fail-over needs is not known
	headDelivered bool           // the caller has a head frame
	text          []byte         // completion that the caller has
	tokens        int            // tokens in text
	ended         bool
}

// start makes attempts until one is accepted. It retries a request only if it has not
// run, but a generation in any case.
func (s *stream) start(ctx context.Context) error {
	for {
		s.req.Attempt++
		inner, err := s.next.Handle(ctx, s.req)
		if err == nil {
			s.inner = inner
			s.lastSequence = 0
			return nil
		}
		if ctx.Err() != nil {
			return cancelled(ctx)
		}
		failure := verdict.From(err)
		if s.mayBeRunning(failure) && s.resume(ctx, 0) {
			return nil
		}
		final := s.requestFailure(failure)
		if !s.mayRetry(failure) {
			return final
		}
		s.prepareRetry(err)
	}
}

// requestFailure returns the failure of an attempt as that of the request, which may have
// run if any of its attempts may have.
func (s *stream) requestFailure(failure *verdict.Error) *verdict.Error {
	if failure.Verdict != verdict.NotRun {
		s.req.MayHaveRun = true
	}
	if failure.Verdict != verdict.NotRun || !s.req.MayHaveRun {
		return failure
	}
	final := *failure
	final.Verdict = verdict.MayHaveRun
	return &final
}

// mayBeRunning reports whether the connection broke after the request was sent, so that
// the sidecar may still be processing it.
func (s *stream) mayBeRunning(failure *verdict.Error) bool {
	return failure.Code == verdict.CodeBackendFailed && failure.Verdict == verdict.MayHaveRun && s.req.Target.Address != ""
}

func cancelled(ctx context.Context) error {
	return verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, verdict.CodeCancelled, "the caller left")
}

// mayRetry reports whether another attempt may follow one that failed.
func (s *stream) mayRetry(failure *verdict.Error) bool {
	if s.reconnected || s.req.Attempt >= maxAttempts || !retryable[failure.Code] {
		return false
	}
	if failure.Verdict != verdict.NotRun && s.req.Generation == nil {
		return false
	}
	if failure.Verdict == verdict.NotRun && !failure.Sent {
		return true // no backend server has seen it
	}
	if !s.filter.budget.AllowRetry(s.req.Group(), time.Now()) {
		countRepair(repairDenied)
		return false
	}
	return true
}

// retryable holds the codes of failures after which another backend server may succeed.
var retryable = map[verdict.Code]bool{
	verdict.CodeBackendFailed:   true,
	verdict.CodeStreamLost:      true,
	verdict.CodeDraining:        true,
	verdict.CodeOverloaded:      true,
	verdict.CodeWeightsMismatch: true,
	verdict.CodeStaleDocument:   true,
}

// prepareRetry logs and counts a failed attempt, and records the failure in the request,
// so that the next attempt avoids the last target.
func (s *stream) prepareRetry(err error) {
	logger.Info(logging.Fields{
		"request_id": s.req.ID,
		"attempt":    s.req.Attempt,
		"server":     s.req.Target.Name,
		"error":      err.Error(),
	}, "attempt failed, another follows")
	countRepair(repairRetried)
	s.req.RecordFailure(verdict.From(err).Code)
	s.req.Snapshot = s.filter.source.Snapshot()
}

// Next implements request.Stream.
func (s *stream) Next(ctx context.Context) (*wire.Frame, error) {
	if s.ended {
		return nil, io.EOF
	}
	for {
		frame, err := s.inner.Next(ctx)
		if err == nil && frame.GetFailure() != nil {
			err = dispatch.FailureError(frame.GetFailure())
		}
		if err == nil {
			s.lastSequence = frame.GetSequence()
			if s.record(frame) {
				return frame, nil
			}
			continue
		}
		if err := s.recover(ctx, err); err != nil {
			s.ended = true
			return nil, err
		}
	}
}

// record records a frame and reports whether it is delivered to the caller. The head of
// a later attempt is dropped, since the caller has one already.
func (s *stream) record(frame *wire.Frame) bool {
	switch {
	case frame.GetHead() != nil:
		duplicate := s.headDelivered
		s.headDelivered = true
		return !duplicate
	case frame.GetTokens() != nil:
		s.text = append(s.text, frame.GetTokens().GetText()...)
		s.tokens += int(frame.GetTokens().GetCount())
	case frame.GetTail() != nil, frame.GetReply() != nil:
		s.ended = true
	}
	return true
}

// recover resumes the stream or starts another attempt after err, or returns the error
// that ends the stream.
func (s *stream) recover(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return cancelled(ctx)
	}
	failure := verdict.From(err)
	if failure.Code == verdict.CodeBackendFailed && s.resume(ctx, s.lastSequence) {
		return nil
	}
	final := s.requestFailure(failure)
	if !s.mayRetry(failure) {
		return final
	}
	return s.failOver(ctx, err)
}

// resume asks the same sidecar for the frames after the given one.
func (s *stream) resume(ctx context.Context, after uint64) bool {
	for range maxResumes {
		inner, err := s.filter.resumer.Resume(ctx, s.req, after)
		if err == nil {
			logger.Info(logging.Fields{"request_id": s.req.ID, "after": after}, "stream resumed")
			countRepair(repairResumed)
			s.replaceInner(inner, after)
			return true
		}
		if verdict.From(err).Code != verdict.CodeBackendFailed {
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(resumeInterval):
		}
	}
	return false
}

func (s *stream) replaceInner(inner request.Stream, lastSequence uint64) {
	if s.inner != nil {
		s.inner.Close(false)
	}
	s.inner = inner
	s.lastSequence = lastSequence
}

// failOver starts another attempt, which continues after the text that the caller has.
func (s *stream) failOver(ctx context.Context, err error) error {
	s.inner.Close(true)
	s.prepareRetry(err)
	if s.req.Generation != nil {
		s.req.Generation.ResumeText = string(s.text)
		s.req.Generation.ResumeTokens = s.tokens
	}
	return s.start(ctx)
}

// Close implements request.Stream.
func (s *stream) Close(cancel bool) {
	if s.inner != nil {
		s.inner.Close(cancel)
	}
}
