// Package httpapi serves the router's HTTP API: the OpenAI API, with and without
// streaming, and the routes of plain services.
package httpapi

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"github.com/wasabigate/wasabigate/internal/clientbody"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/credential"
	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Header names of the API.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderVerdict        = "Wasabigate-Verdict"
	HeaderClass          = "Wasabigate-Class"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderLastEventID    = "Last-Event-Id"
	HeaderReplayed       = "Idempotent-Replayed"
	headerShouldRetry    = "X-Should-Retry"
	headerRetryAfterMs   = "Retry-After-Ms"
)

// Paths of the OpenAI API.
const (
	pathChat        = config.PathChatCompletions
	pathCompletions = config.PathCompletions
	pathModels      = "/v1/models"
)

// Options are the dependencies of a Server.
type Options struct {
	Settings *config.Settings
	Source   control.Source
	Handler  request.Handler // the filter chain
	Inflight *inflight.Registry
	Metrics  http.Handler
	Memory   *clientmem.Account // of what is held for callers; nil: no limit
}

// Server serves callers' HTTP requests.
type Server struct {
	options Options
	echo    *echo.Echo
	metrics *metrics
	bodies  clientbody.Reader
}

// New returns a Server.
func New(options Options) *Server {
	s := &Server{options: options, echo: echo.New(), metrics: newMetrics(), bodies: clientbody.Reader{Listener: "callers", Account: options.Memory}}
	s.echo.HideBanner = true
	s.echo.HidePort = true
	s.echo.HTTPErrorHandler = s.handleError
	s.echo.Use(s.metrics.recordDuration, s.closeWhenDraining)
	s.echo.GET("/healthz", s.health, limitWrite)
	s.echo.GET("/readyz", s.ready, limitWrite)
	s.echo.GET("/metrics", echo.WrapHandler(options.Metrics), limitWrite)
	s.echo.GET(pathModels, s.models, limitWrite)
	for _, path := range []string{pathChat, pathCompletions} {
		s.echo.POST(path, s.generate)
		s.echo.GET(path, s.generate)
	}
	s.echo.Any("/*", s.call)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.echo.ServeHTTP(w, r) }

// closeWhenDraining asks callers to close their connections, so that no request
// is interrupted when the listener closes.
func (s *Server) closeWhenDraining(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if s.options.Source.Snapshot().Draining {
			c.Response().Header().Set("Connection", "close")
		}
		return next(c)
	}
}

// limitWrite bounds the writing of a response that is ready at once.
func limitWrite(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		clientbody.LimitWrite(c.Response())
		return next(c)
	}
}

func (s *Server) health(c echo.Context) error { return c.String(http.StatusOK, "ok\n") }

func (s *Server) ready(c echo.Context) error {
	snapshot := s.options.Source.Snapshot()
	switch {
	case snapshot.Draining:
		return c.String(http.StatusServiceUnavailable, "draining\n")
	case snapshot.Config == nil:
		return c.String(http.StatusServiceUnavailable, "no document yet\n")
	default:
		return c.String(http.StatusOK, "ready\n")
	}
}

// newRequest returns the internal request for a caller's HTTP request.
func (s *Server) newRequest(c echo.Context) (*request.Request, error) {
	req := &request.Request{
		ID:          uuid.NewString(),
		Received:    time.Now(),
		Snapshot:    s.options.Source.Snapshot(),
		Credential:  credential.From(c.Request().Header),
		ResumeToken: c.Request().Header.Get(HeaderLastEventID),
	}
	c.Response().Header().Set(HeaderRequestID, req.ID)
	if req.Snapshot.Config == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "the configuration is not known yet").
			WithRetryAfter(time.Second)
	}
	req.Route = findRoute(req.Snapshot.Config.Document, c.Request().Method, c.Request().URL.Path)
	if req.Route == nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "no route for %s %s", c.Request().Method, c.Request().URL.Path)
	}
	return req, setClass(req, c.Request().Header.Get(HeaderClass))
}

func setClass(req *request.Request, header string) error {
	switch class := config.Class(header); class {
	case "", config.ClassUrgent, config.ClassDeferrable:
		req.Class = class
		return nil
	default:
		return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "the header %s must be %q or %q",
			HeaderClass, config.ClassUrgent, config.ClassDeferrable)
	}
}

// findRoute returns the route for a method and path, or nil. A document's routes
// don't overlap.
func findRoute(document *config.Document, method, path string) *config.Route {
	for i := range document.Routes {
		route := &document.Routes[i]
		if route.IsGeneration() && route.Path == path || route.Matches(method, path) {
			return route
		}
	}
	return nil
}

// run passes the request through the filter chain, and calls write with the stream
// that the chain returns.
func (s *Server) run(c echo.Context, req *request.Request, write func(context.Context, request.Stream) error) error {
	ctx, entry := s.options.Inflight.Begin(c.Request().Context())
	defer entry.End()
	stream, err := s.options.Handler.Handle(withEntry(ctx, entry), req)
	if err != nil {
		return cancelCause(ctx, err)
	}
	err = write(ctx, stream)
	stream.Close(err != nil)
	return cancelCause(ctx, err)
}

// cancelCause returns the verdict with which ctx was cancelled, if any, instead of err.
func cancelCause(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	if cause, ok := context.Cause(ctx).(*verdict.Error); ok {
		return cause
	}
	return err
}
