package httpapi

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// WatchHeartbeat is the longest silence of a healthy watch.
const WatchHeartbeat = time.Second

// Code names the error of an answer.
type Code string

// CodeInvalid is the code of a request that the service can't read.
const CodeInvalid Code = "invalid"

// Failure is the body of an answer that isn't 200.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// remoteError is one of the platform's errors with the service's own message.
type remoteError struct {
	message string
	kind    error
}

func (e remoteError) Error() string { return e.message }
func (e remoteError) Unwrap() error { return e.kind }

// known are the errors that an answer can carry. Each means that the call had
// no effect; an unsure outcome has no answer.
var known = []struct {
	err    error
	code   Code
	status int
}{
	{platform.ErrNotFound, "not_found", http.StatusNotFound},
	{platform.ErrConflict, "conflict", http.StatusConflict},
	{platform.ErrUnavailable, "unavailable", http.StatusServiceUnavailable},
	{platform.ErrThrottled, "throttled", http.StatusTooManyRequests},
	{platform.ErrTooLarge, "too_large", http.StatusRequestEntityTooLarge},
	{platform.ErrCorrupt, "corrupt", http.StatusUnprocessableEntity},
}

// FailureOf returns the status and body that carry err.
func FailureOf(err error) (int, Failure) {
	for _, k := range known {
		if errors.Is(err, k.err) {
			return k.status, Failure{Code: k.code, Message: err.Error()}
		}
	}
	return http.StatusBadRequest, Failure{Code: CodeInvalid, Message: err.Error()}
}

// Err returns the platform's error that a failure carries, or nil if its code
// is unknown.
func (f Failure) Err() error {
	for _, k := range known {
		if f.Code == k.code {
			return remoteError{message: f.Message, kind: k.err}
		}
	}
	if f.Code == CodeInvalid {
		return errors.Errorf("request refused: %s", f.Message)
	}
	return nil
}
