package sidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/buffer"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/once"
	"github.com/wasabigate/wasabigate/internal/sidecar/queue"
	"github.com/wasabigate/wasabigate/internal/sidecar/verify"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("sidecar")

// Sidecar serves the Backend rpc beside one backend server. It is safe for
// concurrent use.
type Sidecar struct {
	source   control.Source
	executor Executor
	blocks   BlockSource // nil for plain services
	chain    Handler
	verify   *verify.Filter
	queue    *queue.Queue
	once     *once.Filter
	buffers  *buffer.Table
	engine   *engineState
	orders   *orders
	usage    *weightsUsage
	draining atomic.Bool
	leaving  *leaving
	arrivals atomic.Uint64 // Execute calls so far
}

var _ wire.DRPCBackendServer = (*Sidecar)(nil)

// Execute implements wire.DRPCBackendServer. An attempt that was received before
// is not run again: its buffered frames are sent.
func (s *Sidecar) Execute(req *wire.ExecuteRequest, stream wire.DRPCBackend_ExecuteStream) error {
	s.arrivals.Add(1)
	opened := s.buffers.Open(req)
	if opened.Context != nil {
		s.start(opened, req)
	}
	if req.Workspace != opened.Buffer.Workspace() || req.KeyId != opened.Buffer.KeyID() {
		return stream.Send(s.refusalFrame(opened.Buffer.Key(), 0, verdict.New(verdict.NotRun, verdict.CodeForbidden, "the request id is in use")))
	}
	return opened.Buffer.Read(stream.Context(), 0, stream.Send)
}

// start runs the chain for a new attempt. The job continues if the connection
// that it was received on breaks.
func (s *Sidecar) start(opened buffer.OpenResult, req *wire.ExecuteRequest) {
	j := &Job{Request: req, Received: time.Now(), Snapshot: s.source.Snapshot()}
	j.Emit = s.emitter(opened.Buffer)
	stop := context.AfterFunc(opened.Context, func() { s.endCancelled(opened, j) })
	go func() {
		defer opened.Buffer.MarkReturned()
		outcome, err := s.run(opened, j)
		stop()
		opened.Buffer.Finish(s.finalFrame(opened, outcome, err))
	}()
}

func (s *Sidecar) run(opened buffer.OpenResult, j *job.Job) (job.Outcome, error) {
	if opened.Cancelled {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "cancelled before it arrived")
	}
	if generation := j.Request.Generation; generation != nil {
		weights := weightsOf(&wire.Weights{Model: generation.Model, Adapter: generation.Adapter, Version: generation.WeightsVersion})
		if !s.usage.acquire(*weights) {
			return nil, verdict.New(verdict.NotRun, verdict.CodeWeightsMismatch, "weights %q of model %q are being unloaded", weights.Version, weights.Model)
		}
		defer s.usage.release(*weights)
	}
	return s.chain.Handle(opened.Context, j)
}

// emitter returns a Job.Emit that adds the load to head frames.
func (s *Sidecar) emitter(b *buffer.Buffer) func(*wire.Frame) {
	return func(frame *wire.Frame) {
		if frame.Head != nil {
			frame.Head.Load = s.updatedLoad(frame.Head.Load)
		}
		b.Append(frame)
	}
}

// execute is the last handler of the chain. It checks again what may have changed while the job
// was queued: the key, and whether the backend server leaves. Then it marks the job as started.
func (s *Sidecar) execute(ctx context.Context, j *job.Job) (job.Outcome, error) {
	revision := s.source.Snapshot().Config
	if j.Request.KeyId != "" && revision != nil && revision.KeyWithdrawn(j.Request.KeyId) {
		return nil, keyWithdrawnError(verdict.NotRun, j.Request.KeyId)
	}
	if s.leaving.is() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeDraining, "the backend server is leaving")
	}
	if !j.TryStart() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeCancelled, "cancelled before execution")
	}
	return s.executor.Handle(ctx, j)
}

// endCancelled ends the stream of a job whose context was cancelled, without
// waiting for the backend server.
func (s *Sidecar) endCancelled(opened buffer.OpenResult, j *job.Job) {
	cause := verdict.From(context.Cause(opened.Context))
	opened.Buffer.Finish(s.failureFrame(abort(cause, j)))
}

// abort prevents the job from starting if it has not started yet. It returns err
// with verdict NotRun if that succeeded, and with MayHaveRun otherwise.
func abort(err *verdict.Error, j *job.Job) *verdict.Error {
	aborted := *err
	aborted.Verdict = verdict.MayHaveRun
	if j.TryAbort() {
		aborted.Verdict = verdict.NotRun
	}
	return &aborted
}

// withCause returns the cancellation cause of ctx with the verdict of err, or err
// if the cause is no *verdict.Error.
func withCause(ctx context.Context, err *verdict.Error) *verdict.Error {
	var cause *verdict.Error
	if !errors.As(context.Cause(ctx), &cause) {
		return err
	}
	cancelled := *cause
	cancelled.Verdict = err.Verdict
	return &cancelled
}

// finalFrame returns the frame that ends the stream of an outcome or error.
func (s *Sidecar) finalFrame(opened buffer.OpenResult, outcome job.Outcome, err error) *wire.Frame {
	key := opened.Buffer.Key()
	switch {
	case err != nil:
		return s.failureFrame(withCause(opened.Context, verdict.From(err)))
	case outcome == nil:
		return s.failureFrame(verdict.New(verdict.MayHaveRun, verdict.CodeInternal, "no outcome"))
	case outcome.RequestId != "" && outcome.RequestId != key.RequestID:
		return s.failureFrame(verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the answer belongs to another request"))
	}
	if outcome.Tail != nil {
		outcome.Tail.Load = s.updatedLoad(outcome.Tail.Load)
	}
	if outcome.Reply != nil {
		outcome.Reply.Load = s.Load()
	}
	if outcome.Failure != nil {
		outcome.Failure.Load = s.Load()
	}
	return outcome
}

// ObserveResponse records what the backend server says of itself in an answer.
func (s *Sidecar) ObserveResponse(answer engine.Answer) {
	s.leaving.observe(answer.Header)
	s.queue.ObserveResponse(answer)
}

func (s *Sidecar) failureFrame(err *verdict.Error) *wire.Frame {
	return &wire.Frame{Revisions: s.revisions(), Failure: &wire.Failure{
		Verdict:      uint32(err.Verdict),
		Code:         string(err.Code),
		Message:      err.Message,
		RetryAfterMs: err.RetryAfter.Milliseconds(),
		Load:         s.Load(),
		Crashed:      err.Crashed,
		Sent:         err.Sent,
	}}
}

// refusalFrame returns a failure frame that is sent without a buffer, as the frame
// following sequence number after.
func (s *Sidecar) refusalFrame(key buffer.Key, after uint64, err *verdict.Error) *wire.Frame {
	frame := s.failureFrame(err)
	frame.RequestId = key.RequestID
	frame.Attempt = key.Attempt
	frame.Sequence = after + 1
	return frame
}

func (s *Sidecar) revisions() *wire.Revisions { return s.source.Snapshot().Revisions() }

// Resume implements wire.DRPCBackendServer. Its refusals have verdict
// MayHaveRun, since the attempt may run or have run.
func (s *Sidecar) Resume(req *wire.ResumeRequest, stream wire.DRPCBackend_ResumeStream) error {
	found, err := s.findResumable(stream.Context(), req)
	if err != nil {
		key := buffer.Key{RequestID: req.RequestId, Attempt: req.Attempt}
		return stream.Send(s.refusalFrame(key, req.AfterSequence, err))
	}
	s.buffers.CountResume()
	return found.Read(stream.Context(), req.AfterSequence, stream.Send)
}

func (s *Sidecar) findResumable(ctx context.Context, req *wire.ResumeRequest) (*buffer.Buffer, *verdict.Error) {
	if err := s.verify.CheckCaller(ctx, req.Revisions, req.Workspace, req.KeyId); err != nil {
		return nil, verdict.Wrap(err, verdict.MayHaveRun, err.Code, "%s", err.Message)
	}
	found := s.buffers.Find(buffer.Key{RequestID: req.RequestId, Attempt: req.Attempt})
	if found == nil || found.Workspace() != req.Workspace || (found.KeyID() == "") != (req.KeyId == "") {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the stream is not known here")
	}
	if req.AfterSequence > found.Length() {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the stream has no frame %d", req.AfterSequence)
	}
	return found, nil
}

// Cancel implements wire.DRPCBackendServer. An unknown attempt is refused if it
// arrives later, since a cancellation can overtake its request.
func (s *Sidecar) Cancel(_ context.Context, req *wire.CancelRequest) (*wire.CancelReply, error) {
	key := buffer.Key{RequestID: req.RequestId, Attempt: req.Attempt}
	found := s.buffers.FindOrCancel(key)
	if found == nil || found.Workspace() != req.Workspace {
		return &wire.CancelReply{}, nil
	}
	found.Cancel(verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled by the caller"))
	return &wire.CancelReply{Found: true}, nil
}

// GetLoad implements wire.DRPCBackendServer.
func (s *Sidecar) GetLoad(_ context.Context, req *wire.LoadRequest) (*wire.Load, error) {
	s.verify.NotifyIfNewer(req.Revisions)
	return s.Load(), nil
}

// Digest implements wire.DRPCBackendServer.
func (s *Sidecar) Digest(_ context.Context, req *wire.DigestRequest) (*wire.DigestReply, error) {
	reply := &wire.DigestReply{}
	if s.blocks != nil {
		reply = s.blocks.Digest(int(req.MaxBlocks))
	}
	reply.Load = s.Load()
	return reply, nil
}

// Load returns the load report that is part of each response.
func (s *Sidecar) Load() *wire.Load {
	load := &wire.Load{MaxRunning: uint32(s.queue.Slots())}
	s.engine.fillLoad(load)
	load.Loaded = s.usage.withoutRetired(load.Loaded)
	s.queue.FillLoad(load)
	load.Draining = s.isDraining()
	load.PauseMs = s.queue.Pause(time.Now()).Milliseconds()
	return load
}

// updatedLoad records the incarnation that the executor saw in the engine's
// response, which is newer than the cached engine state, and returns the load
// report for the frame.
func (s *Sidecar) updatedLoad(seen *wire.Load) *wire.Load {
	s.engine.observeIncarnation(seen.GetIncarnation())
	return s.Load()
}

// QueueStatus returns the state of the queue for operators.
func (s *Sidecar) QueueStatus() *wire.QueueStatus { return s.queue.Status() }

// SnapshotChanged cancels the running attempts of withdrawn keys. The control loop
// calls it after publishing a snapshot.
func (s *Sidecar) SnapshotChanged() {
	revision := s.source.Snapshot().Config
	if revision == nil {
		return
	}
	for _, running := range s.buffers.Running() {
		if !revision.KeyWithdrawn(running.KeyID()) {
			continue
		}
		logger.Info(logging.Fields{"request_id": running.Key().RequestID, "key_id": running.KeyID()},
			"stream cancelled because its key was withdrawn")
		running.Cancel(keyWithdrawnError(verdict.MayHaveRun, running.KeyID()))
	}
}

func keyWithdrawnError(v verdict.Verdict, keyID string) *verdict.Error {
	return verdict.New(v, verdict.CodeKeyWithdrawn, "key %q is withdrawn", keyID)
}
