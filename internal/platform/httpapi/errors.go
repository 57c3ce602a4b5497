package httpapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// WatchHeartbeat is the interval of heartbeats on a watch without events.
const WatchHeartbeat = time.Second

// Code identifies the error in a response.
type Code string

// CodeInvalid is the code for a malformed request.
const CodeInvalid Code = "invalid"

// Failure is the body of a response whose status is not 200.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// remoteError is one of the platform's errors with the message of the service.
type remoteError struct {
	message string
	kind    error
}

func (e remoteError) Error() string { return e.message }
func (e remoteError) Unwrap() error { return e.kind }

// errorCodes are the errors that a response can contain. Each means that the call had no
// effect; ErrOutcomeUnknown is not among them, since it results from a missing response.
var errorCodes = []struct {
	err    error
	code   Code
	status int
}{
	{platform.ErrNotFound, "not_found", http.StatusNotFound},
	{platform.ErrConflict, "conflict", http.StatusConflict},
	{platform.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{platform.ErrThrottled, "throttled", http.StatusTooManyRequests},
	{platform.ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{platform.ErrCompacted, "compacted", http.StatusGone},
	{platform.ErrCorrupt, "corrupt", http.StatusUnprocessableEntity},
}

// FailureOf returns the HTTP status and the response body for err.
func FailureOf(err error) (int, Failure) {
	for _, known := range errorCodes {
		if errors.Is(err, known.err) {
			return known.status, Failure{Code: known.code, Message: err.Error()}
		}
	}
	return http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()}
}

// Err returns the error for the failure's code, or nil if the code is unknown.
func (f Failure) Err() error {
	for _, known := range errorCodes {
		if f.Code == known.code {
			return remoteError{message: f.Message, kind: known.err}
		}
	}
	if f.Code == CodeInvalid {
		return errors.Errorf("invalid request: %s", f.Message)
	}
	return nil
}
