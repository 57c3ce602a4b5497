package forward

import (
	"context"
	"io"

	"github.com/wasabigate/wasabigate/internal/eventstream"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// stream passes events on, and goes on at another server when one breaks off and
// the route allows it.
type stream struct {
	run    *run
	flight *fleet.Attempt
	dog    *watchdog
	body   io.Closer
	reader *eventstream.Reader
	first  *eventstream.Batch // read ahead
	ended  bool
}

// Next implements Events.
func (s *stream) Next(ctx context.Context) ([]byte, error) {
	for {
		batch, err := s.next()
		if err == nil {
			s.dog.fed()
			if batch.LastID != "" {
				s.run.lastID = batch.LastID
			}
			return batch.Raw, nil
		}
		if err == io.EOF { // not errors.Is: a failure may wrap the EOF of a connection
			s.end(fleet.Succeeded)
			return nil, io.EOF
		}
		if err := s.resume(ctx, err); err != nil {
			return nil, err
		}
	}
}

func (s *stream) next() (eventstream.Batch, error) {
	if first := s.first; first != nil {
		s.first = nil
		return *first, nil
	}
	return s.reader.Next()
}

// resume goes on at another server after the last event that the client has.
func (s *stream) resume(ctx context.Context, cause error) error {
	if ctx.Err() != nil {
		s.end(fleet.Refused)
		return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeCancelled, "the client left, or its time is up: %v", context.Cause(ctx))
	}
	s.end(fleet.Failed)
	broken := verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeStreamLost, "%s broke off the stream", s.run.req.Log.Server)
	if !s.run.req.MayRepeat() || !s.run.mayTryAgain(ctx, broken) {
		return broken
	}
	answer, err := s.run.answer(ctx)
	if err != nil {
		return err
	}
	next, ok := answer.Events.(*stream)
	if !ok {
		return broken
	}
	*s = *next
	s.run.relay.meters.resumed.Add(ctx, 1)
	logger.Info(fields{logging.FieldRequest: s.run.req.ID, "server": s.run.req.Log.Server, "after": s.run.lastID}, "stream resumed")
	return nil
}

// Close implements Events.
func (s *stream) Close() { s.end(fleet.Refused) }

func (s *stream) end(outcome fleet.Outcome) {
	if s.ended {
		return
	}
	s.ended = true
	s.dog.end()
	_ = s.body.Close() // what is left of a stream that ends here is not used
	s.run.end(s.flight, outcome)
}
