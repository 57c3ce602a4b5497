package httpapi

import (
	"context"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// generate serves both generation paths, and reconnects to running streams.
func (s *Server) generate(c echo.Context) error {
	req, err := s.begin(c)
	if err != nil {
		return err
	}
	if req.ResumeToken != "" {
		return s.reconnect(c, req)
	}
	body, err := readBody(c.Response(), c.Request(), s.options.Settings.Router.MaxBodyBytes)
	if err != nil {
		return err
	}
	chat := c.Request().URL.Path == pathChat
	parsed, err := parseCompletion(body, chat)
	if err != nil {
		return err
	}
	if parsed.ServiceTier == serviceTierFlex && req.Class == "" {
		req.Class = config.ClassDeferrable
	}
	req.Generation = parsed.generation(chat, req.ID)
	return s.run(c, req, func(ctx context.Context, stream request.Stream) error {
		if parsed.Stream {
			answer := newAnswer(req)
			answer.usage = parsed.StreamOptions.IncludeUsage
			return s.writeStream(ctx, c, req, stream, answer)
		}
		return s.writeWhole(ctx, c, req, stream)
	})
}

// serviceTierFlex is the OpenAI interface's word for requests that may wait.
const serviceTierFlex = "flex"

// reconnect goes on with a stream that the caller lost.
func (s *Server) reconnect(c echo.Context, req *request.Request) error {
	return s.run(c, req, func(ctx context.Context, stream request.Stream) error {
		return s.writeStream(ctx, c, req, stream, newAnswer(req))
	})
}

// writeWhole answers a request that did not ask for a stream.
func (s *Server) writeWhole(ctx context.Context, c echo.Context, req *request.Request, stream request.Stream) error {
	answer := newAnswer(req)
	timer := &timer{meters: s.meters, req: req}
	var text []byte
	for {
		frame, err := stream.Next(ctx)
		if err == io.EOF {
			return verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the answer ended early")
		}
		if err != nil {
			return err
		}
		answer.observe(frame)
		timer.observe(frame)
		text = append(text, frame.GetTokens().GetText()...)
		if tail := frame.GetTail(); tail != nil {
			return c.JSON(http.StatusOK, answer.whole(string(text), tail))
		}
	}
}

// writeStream answers with server-sent events. Each event's id is a position
// from which another router can go on.
func (s *Server) writeStream(ctx context.Context, c echo.Context, req *request.Request, stream request.Stream, answer *answer) error {
	events := newEventWriter(c.Response())
	timer := &timer{meters: s.meters, req: req}
	for {
		frame, err := stream.Next(ctx)
		if err == io.EOF && answer.ended {
			return events.done()
		}
		if err != nil {
			return s.endBroken(ctx, events, req, err)
		}
		answer.observe(frame)
		timer.observe(frame)
		if err := events.write(answer.position(req, frame).String(), answer.chunks(frame)); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCancelled, "the caller left")
		}
		if frame.GetTail() != nil {
			return events.done()
		}
	}
}

// endBroken ends a stream that can't be completed with an explicit error event.
// Before the first event the error is an ordinary HTTP answer.
func (s *Server) endBroken(ctx context.Context, events *eventWriter, req *request.Request, err error) error {
	if err == io.EOF {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the answer ended early")
	}
	err = endCause(ctx, err)
	if events.started {
		events.writeError(newErrorBody(verdict.From(err), req.ID))
	}
	return err
}

func (s *Server) models(c echo.Context) error {
	snapshot := s.options.Source.Snapshot()
	if snapshot.Config == nil {
		return verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "the configuration is not known yet")
	}
	if _, err := checkKey(snapshot.Config, c.Request().Header); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, newModelList(snapshot.Config.Document))
}
