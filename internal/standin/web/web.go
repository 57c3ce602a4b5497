// Package web is the HTTP side that the stand-ins share.
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

// stopTimeout bounds the wait for running calls at a stop.
const stopTimeout = 2 * time.Second

// CutError is ErrUnsure for an answer that breaks in the middle.
type CutError struct{}

// Error implements error.
func (CutError) Error() string { return "answer cut: " + platform.ErrOutcomeUnknown.Error() }

// Unwrap returns platform.ErrUnsure.
func (CutError) Unwrap() error { return platform.ErrOutcomeUnknown }

// New returns an empty router that answers errors in the platform's form.
func New() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = answerError
	return e
}

// answerError answers an error. A call whose outcome must stay unknown to the
// caller gets no answer, or a part of one.
func answerError(err error, c echo.Context) {
	var cut CutError
	if errors.As(err, &cut) {
		cutAnswer(c)
	}
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		panic(http.ErrAbortHandler)
	}
	if c.Response().Committed {
		return
	}
	var refused *echo.HTTPError
	if errors.As(err, &refused) {
		_ = c.JSON(refused.Code, httpapi.Failure{Code: httpapi.CodeInvalid, Message: err.Error()})
		return
	}
	status, failure := httpapi.FailureOf(err)
	_ = c.JSON(status, failure)
}

// cutAnswer breaks the connection in the middle of an answer.
func cutAnswer(c echo.Context) {
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
func Serve(ctx context.Context, part, address string, handler http.Handler) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log := logging.For(part)
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

// shutdown lets running calls end, and cuts those that outlast the timeout.
func shutdown(ctx context.Context, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
