package forward

import (
	"context"
	"io"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/eventstream"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// stream delivers the events of a response. When the connection breaks, it resumes at
// another server if the route allows it.
type stream struct {
	active   *activeRequest
	attempt  *fleet.Attempt
	call     *backend.Call
	watchdog *watchdog
	body     io.Closer
	reader   *eventstream.Reader
	first    *eventstream.Batch        // read ahead
	follows  *eventstream.Continuation // nil: this is the first server whose events the client gets
	started  time.Time                 // when the server sent the first event
	latest   time.Time                 // when it sent the latest events
	ended    bool
}

// Next implements Events.
func (s *stream) Next(ctx context.Context) ([]byte, error) {
	for {
		batch, err := s.next()
		if err == nil {
			s.recordProgress(&batch)
			s.active.delivered = true
			if batch.Count > 0 {
				s.active.recordEvents()
			}
			if batch.LastID != "" {
				s.active.lastID = batch.LastID
			}
			return batch.Raw, nil
		}
		if err == io.EOF { // not errors.Is: a failure may wrap the EOF of a connection
			s.end(fleet.Succeeded)
			s.active.relay.Quarantine.RecordSuccess(s.active.parts, time.Now())
			return nil, io.EOF
		}
		if err := s.resume(ctx, err); err != nil {
			return nil, err
		}
	}
}

// recordProgress restarts the watchdog if the batch has events. The first of them shows
// that the server has prefilled the prompt.
func (s *stream) recordProgress(batch *eventstream.Batch) {
	if batch.Count == 0 {
		return
	}
	s.watchdog.reset()
	now := time.Now()
	if !s.latest.IsZero() {
		s.active.relay.Fleet.RecordInterval(s.call.ServerID, now.Sub(s.latest), batch.Count, now)
	}
	s.latest = now
	s.active.rollout.attempt.Events(batch.Count, now)
	if !s.started.IsZero() {
		return
	}
	s.started = now
	s.attempt.PrefillDone()
	if len(s.active.req.Shared()) == 0 {
		return
	}
	s.active.relay.Cache.RecordUse(&kvcache.Use{
		Salt: s.call.CacheSalt, Parts: newPrompt(s.active.req, "").Parts, Saved: s.call.SaveTo != "",
		Holder: kvcache.Holder{ID: s.call.ServerID, Address: s.call.Address},
	}, time.Now())
}

func (s *stream) next() (eventstream.Batch, error) {
	if first := s.first; first != nil {
		s.first = nil
		return *first, nil
	}
	return s.read()
}

// read reads from the server. A stream that ends without an event is incomplete. Of a server
// that continues a stream, only events are passed on.
func (s *stream) read() (eventstream.Batch, error) {
	for {
		batch, err := s.reader.Next()
		if err == io.EOF && s.started.IsZero() {
			return batch, io.ErrUnexpectedEOF
		}
		if err == nil && s.follows != nil {
			err = s.follows.Check(&batch)
		}
		if err != nil || batch.Count > 0 || s.follows == nil {
			return batch, err
		}
	}
}

// resume continues the stream at another server after the last event that the client
// has received.
func (s *stream) resume(ctx context.Context, cause error) error {
	s.active.setRolloutOutcome(brokenOutcome(ctx, cause))
	if ctx.Err() != nil {
		s.end(fleet.Refused)
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeCancelled, "the client left, or its time is up: %v", context.Cause(ctx))
	}
	s.active.checkCrash(ctx, s.started)
	s.end(fleet.Failed)
	broken := verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeStreamLost, "%s broke off the stream", s.active.req.Log.Server)
	if !s.active.req.MayRetry() || !s.active.allowRetry(ctx, broken) {
		return broken
	}
	resp, err := s.active.serve(ctx)
	if err != nil {
		return err
	}
	next, ok := resp.Events.(*stream)
	if !ok {
		return broken
	}
	*s = *next
	s.active.relay.meters.resumed.Add(ctx, 1)
	logger.Info(fields{logging.FieldRequest: s.active.req.ID, "server": s.active.req.Log.Server, "after": s.active.lastID}, "stream resumed")
	return nil
}

// Close implements Events.
func (s *stream) Close() { s.end(fleet.Refused) }

func (s *stream) end(outcome fleet.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.watchdog.stop()
	_ = s.body.Close() // the rest of the stream is not needed
	s.active.endAttempt(s.attempt, outcome)
}
