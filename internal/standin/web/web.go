// Package web provides the HTTP server code that the stand-ins share.
package web

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// Paths of the admin endpoint of the stand-ins.
const (
	PathFaults = "/admin/faults" // GET, POST
	PathCounts = "/admin/counts" // GET
)

// stopTimeout is the maximum wait for running calls at shutdown, and for the
// header of a request.
const stopTimeout = 2 * time.Second

// CutError is ErrOutcomeUnknown for a response that breaks in the middle.
type CutError struct{}

// Error implements error.
func (CutError) Error() string { return "answer cut: " + platform.ErrOutcomeUnknown.Error() }

// Unwrap returns platform.ErrOutcomeUnknown.
func (CutError) Unwrap() error { return platform.ErrOutcomeUnknown }

// New returns an empty router that writes errors in the platform's format.
func New() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = writeError
	return e
}

// writeError writes the response for an error. A call whose outcome must stay
// unknown to the caller gets no response, or only a part of one.
func writeError(err error, c echo.Context) {
	var cut CutError
	if errors.As(err, &cut) {
		cutResponse(c)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if c.Response().Committed {
		return
	}
	var httpErr *echo.HTTPError
	if errors.As(err, &httpErr) {
		_ = c.JSON(httpErr.Code, httpapi.Failure{Code: httpapi.CodeInvalid, Message: err.Error()})
		return
	}
	status, failure := httpapi.FailureOf(err)
	_ = c.JSON(status, failure)
}

// cutResponse breaks the connection in the middle of a response.
func cutResponse(c echo.Context) {
	const head = `{"vers`
	c.Response().Header().Set(echo.HeaderContentType, echo.MIMEApplicationJSON)
	c.Response().Header().Set(echo.HeaderContentLength, "32")
	c.Response().WriteHeader(http.StatusOK)
	_, _ = io.WriteString(c.Response(), head)
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// Body reads the request's body, which must be a JSON document of at most limit
// bytes.
func Body[T any](c echo.Context, limit int64) (T, error) {
	var message T
	text, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return message, errors.Wrap(platform.ErrTooLarge, err.Error())
	}
	if err != nil {
		return message, errors.Wrap(err, "body")
	}
	return message, DecodeStrict(text, &message)
}

// DecodeStrict decodes a JSON document without unknown fields.
func DecodeStrict(text []byte, message any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	return errors.Wrap(decoder.Decode(message), "JSON document")
}

// Duration is a time.Duration written as text, such as "200ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return errors.Wrap(err, "duration")
}

// Serve listens on address and serves handler until ctx ends.
func Serve(ctx context.Context, name, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log := logging.For(name)
	log.Info(logging.Fields{"address": listener.Addr().String()}, "listening")
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: stopTimeout,
		BaseContext:       func(net.Listener) context.Context { return ctx }, // ends watches
	}
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		shutdown(ctx, server)
	})
	err = server.Serve(listener)
	if !stop() {
		<-stopped
	}
	if errors.Is(err, http.ErrServerClosed) {
		log.Info(nil, "stopped")
		return nil
	}
	return errors.Wrap(err, "serve")
}

// shutdown waits for running calls and closes those that exceed the time-out.
func shutdown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
