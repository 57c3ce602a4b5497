package httpapi

import (
	"context"
	"io"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/wasabigate/wasabigate/internal/clientbody"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// generate serves both generation paths, and resumes streams.
func (s *Server) generate(c echo.Context) error {
	req, err := s.newRequest(c)
	if err != nil {
		return err
	}
	if req.ResumeToken != "" {
		return s.resume(c, req)
	}
	body, held, err := s.bodies.Read(c.Response(), c.Request(), s.options.Settings.Router.MaxBodyBytes)
	if err != nil {
		return err
	}
	defer held.Release()
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
			builder := newResponseBuilder(req)
			builder.includeUsage = parsed.StreamOptions.IncludeUsage
			return s.writeStream(ctx, c, req, stream, builder)
		}
		return s.writeCompletion(ctx, c, req, stream)
	})
}

// serviceTierFlex is the service tier of the OpenAI API for requests that may wait.
const serviceTierFlex = "flex"

// resume continues a stream after the caller lost the connection.
func (s *Server) resume(c echo.Context, req *request.Request) error {
	return s.run(c, req, func(ctx context.Context, stream request.Stream) error {
		return s.writeStream(ctx, c, req, stream, newResponseBuilder(req))
	})
}

// writeCompletion writes the response to a request that did not ask for a stream.
func (s *Server) writeCompletion(ctx context.Context, c echo.Context, req *request.Request, stream request.Stream) error {
	builder := newResponseBuilder(req)
	recorder := &tokenRecorder{metrics: s.metrics, req: req}
	var text []byte
	for {
		frame, err := stream.Next(ctx)
		if err == io.EOF {
			return verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the answer ended early")
		}
		if err != nil {
			return err
		}
		builder.observe(frame)
		recorder.observe(frame)
		text = append(text, frame.GetTokens().GetText()...)
		if tail := frame.GetTail(); tail != nil {
			clientbody.LimitWrite(c.Response())
			return c.JSON(http.StatusOK, builder.fullCompletion(string(text), tail))
		}
	}
}

// writeStream writes the response as server-sent events. Each event's ID is a
// position from which another router can resume the stream.
func (s *Server) writeStream(ctx context.Context, c echo.Context, req *request.Request, stream request.Stream, builder *responseBuilder) error {
	events := newEventWriter(c.Response())
	recorder := &tokenRecorder{metrics: s.metrics, req: req}
	for {
		frame, err := stream.Next(ctx)
		if err == io.EOF && builder.ended {
			return events.finish()
		}
		if err != nil {
			return s.abortStream(ctx, events, req, err)
		}
		builder.observe(frame)
		recorder.observe(frame)
		if err := events.write(builder.position(req, frame).String(), builder.chunks(frame)); err != nil {
			return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCancelled, "the caller left")
		}
		if frame.GetTail() != nil {
			return events.finish()
		}
	}
}

// abortStream ends a stream that cannot be completed with an error event. Before
// the first event, the error is sent as an ordinary HTTP response.
func (s *Server) abortStream(ctx context.Context, events *eventWriter, req *request.Request, err error) error {
	if err == io.EOF {
		err = verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "the answer ended early")
	}
	err = cancelCause(ctx, err)
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
	if _, err := authenticate(snapshot.Config, c.Request().Header); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, newModelList(snapshot.Config.Document))
}
