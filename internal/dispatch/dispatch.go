// Package dispatch implements the last handler of the router's pipeline: it
// sends a request to the sidecar of the chosen backend server and reads the
// frames of the response.
package dispatch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("dispatch")

const (
	// cancelDelay gives a client whose connection broke time to reconnect
	// before its generation is cancelled.
	cancelDelay   = 2 * time.Second
	cancelTimeout = 2 * time.Second
)

// Observer is notified of attempts and their frames.
type Observer interface {
	// Dispatched is called before a request is sent to the target.
	// prefillTokens is the number of prompt tokens that the target is expected
	// to compute for it.
	Dispatched(target request.Target, class config.Class, prefillTokens int64)
	// Received is called for each frame of the target's response.
	Received(target request.Target, req *request.Request, frame *wire.Frame)
	// Finished is called when the attempt at the target has ended.
	Finished(target request.Target)
}

// RevisionObserver is notified of the revisions that other daemons have.
type RevisionObserver interface {
	ObserveRevisions(address string, seen *wire.Revisions)
}

// Dispatcher sends requests to sidecars.
type Dispatcher struct {
	dialer    *rpc.Dialer
	observer  Observer
	revisions RevisionObserver
}

// New returns a Dispatcher.
func New(dialer *rpc.Dialer, observer Observer, revisions RevisionObserver) *Dispatcher {
	return &Dispatcher{dialer: dialer, observer: observer, revisions: revisions}
}

// receiver is the method that the DRPC client streams of Execute and Resume
// share.
type receiver interface {
	Recv() (*wire.Frame, error)
}

// Handle implements pipeline.Handler. It returns once the sidecar has sent its
// first frame. A failure in that frame is returned as an error, not as a
// stream.
func (d *Dispatcher) Handle(ctx context.Context, req *request.Request) (request.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	d.observer.Dispatched(req.Target, req.Class, req.PrefillTokens)
	frames, err := d.backendClient(ctx, req.Target.Address).Execute(ctx, executeRequest(req))
	if err != nil {
		cancel()
		d.observer.Finished(req.Target)
		return nil, connectionError(err, req)
	}
	return d.open(ctx, cancel, req, frames, 0)
}

// Resume requests from the target the frames after the given sequence number of
// an attempt that was dispatched before.
func (d *Dispatcher) Resume(ctx context.Context, req *request.Request, after uint64) (request.Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	d.observer.Dispatched(req.Target, req.Class, 0)
	frames, err := d.backendClient(ctx, req.Target.Address).Resume(ctx, &wire.ResumeRequest{
		RequestId:     req.ID,
		Attempt:       req.Attempt,
		AfterSequence: after,
		Workspace:     req.Workspace,
		KeyId:         req.KeyID,
		Revisions:     req.Snapshot.Revisions(),
	})
	if err != nil {
		cancel()
		d.observer.Finished(req.Target)
		return nil, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "backend server %s can't be reached again", req.Target.Name)
	}
	return d.open(ctx, cancel, req, frames, after)
}

func (d *Dispatcher) backendClient(ctx context.Context, address string) wire.DRPCBackendClient {
	return wire.NewDRPCBackendClient(d.dialer.Conn(ctx, address))
}

// open waits for the first frame and returns the stream.
func (d *Dispatcher) open(ctx context.Context, cancel context.CancelFunc, req *request.Request, frames receiver, after uint64) (request.Stream, error) {
	s := &stream{dispatcher: d, req: req, target: req.Target, attempt: req.Attempt, frames: frames, cancel: cancel, lastSequence: after}
	first, err := s.Next(ctx)
	if err != nil {
		s.Close(false)
		return nil, err
	}
	if failure := first.GetFailure(); failure != nil {
		s.Close(false)
		return nil, FailureError(failure)
	}
	s.first = first
	return s, nil
}

// connectionError returns the error of a broken connection. Without a
// connection the request has not run; otherwise it may have.
func connectionError(err error, req *request.Request) error {
	if errors.Is(err, rpc.ErrDial) {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeBackendFailed, "backend server %s can't be reached", req.Target.Name)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "the connection to backend server %s broke", req.Target.Name)
}

// FailureError converts a failure frame to an error.
func FailureError(failure *wire.Failure) *verdict.Error {
	err := verdict.New(verdict.Verdict(failure.GetVerdict()), verdict.Code(failure.GetCode()), "%s", failure.GetMessage()).
		WithRetryAfter(time.Duration(failure.GetRetryAfterMs()) * time.Millisecond)
	err.Crashed, err.Sent = failure.GetCrashed(), failure.GetSent()
	return err
}

// stream reads the frames of one attempt.
type stream struct {
	dispatcher   *Dispatcher
	req          *request.Request
	target       request.Target
	attempt      uint32
	frames       receiver
	cancel       context.CancelFunc
	first        *wire.Frame // read by open, not delivered yet
	lastSequence uint64      // sequence number of the last frame delivered
	ended        bool        // the final frame was received
	closed       bool
}

// Next implements request.Stream. It drops frames of other requests or attempts
// and duplicates, and fails if a frame is missing.
func (s *stream) Next(context.Context) (*wire.Frame, error) {
	if first := s.first; first != nil {
		s.first = nil
		return first, nil
	}
	if s.ended {
		return nil, io.EOF
	}
	for {
		frame, err := s.frames.Recv()
		if err != nil {
			return nil, s.receiveError(err)
		}
		if !s.isOwn(frame) {
			logger.Warn(logging.Fields{"request_id": s.req.ID, "frame_request_id": frame.GetRequestId()}, "dropped frame of another request or attempt")
			continue
		}
		if frame.GetSequence() <= s.lastSequence {
			continue
		}
		if frame.GetSequence() != s.lastSequence+1 {
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "frames %d to %d are missing", s.lastSequence+1, frame.GetSequence()-1)
		}
		s.accept(frame)
		return frame, nil
	}
}

func (s *stream) isOwn(frame *wire.Frame) bool {
	return frame.GetRequestId() == s.req.ID && frame.GetAttempt() == s.attempt
}

func (s *stream) accept(frame *wire.Frame) {
	s.lastSequence = frame.GetSequence()
	s.ended = frame.GetTail() != nil || frame.GetReply() != nil || frame.GetFailure() != nil
	s.dispatcher.revisions.ObserveRevisions(s.target.Address, frame.GetRevisions())
	s.dispatcher.observer.Received(s.target, s.req, frame)
}

func (s *stream) receiveError(err error) error {
	if errors.Is(err, rpc.ErrDial) {
		return connectionError(err, s.req)
	}
	return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeBackendFailed, "the stream from backend server %s broke", s.target.Name)
}

// Close implements request.Stream.
func (s *stream) Close(cancel bool) {
	if s.closed {
		return
	}
	s.closed = true
	s.cancel()
	s.dispatcher.observer.Finished(s.target)
	if cancel && !s.ended {
		go s.dispatcher.cancelAfterDelay(s.target, &wire.CancelRequest{
			RequestId: s.req.ID,
			Attempt:   s.attempt,
			Workspace: s.req.Workspace,
		})
	}
}

// cancelAfterDelay asks the sidecar, after cancelDelay, to cancel the attempt
// unless it has been resumed.
func (d *Dispatcher) cancelAfterDelay(target request.Target, req *wire.CancelRequest) {
	time.Sleep(cancelDelay)
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := d.backendClient(ctx, target.Address).Cancel(ctx, req); err != nil {
		logger.Warn(logging.Fields{"request_id": req.GetRequestId(), "error": err.Error()}, "cancelling attempt failed")
	}
}

// executeRequest returns the message for the request's current attempt.
func executeRequest(req *request.Request) *wire.ExecuteRequest {
	message := &wire.ExecuteRequest{
		RequestId:   req.ID,
		Attempt:     req.Attempt,
		Workspace:   req.Workspace,
		KeyId:       req.KeyID,
		Route:       req.Route.Name,
		Priority:    priority(req.Class),
		Revisions:   req.Snapshot.Revisions(),
		Draws:       req.Draws,
		PatienceMs:  req.MaxQueueWait.Milliseconds(),
		CreatedUnix: req.Received.Unix(),
		Call:        req.Call,
	}
	if req.Generation != nil {
		message.Generation = generation(req.Generation)
		message.MissingTokens = max(1, req.PrefillTokens)
	}
	return message
}

func priority(class config.Class) wire.Priority {
	if class == config.ClassDeferrable {
		return wire.Priority_PRIORITY_DEFERRABLE
	}
	return wire.Priority_PRIORITY_URGENT
}

func generation(g *request.Generation) *wire.Generation {
	return &wire.Generation{
		Model:          g.Model.Base,
		ServedName:     g.Model.Name,
		Adapter:        g.Model.Adapter,
		WeightsVersion: g.WeightsVersion,
		Prompt:         g.Prompt,
		Resume:         g.ResumeText,
		ResumeTokens:   uint32(g.ResumeTokens),
		MaxTokens:      uint32(g.MaxTokens),
		Seed:           g.Seed,
		Temperature:    g.Temperature,
		Stop:           g.Stop,
		Chat:           g.Chat,
		Streamed:       g.Streamed,
	}
}
