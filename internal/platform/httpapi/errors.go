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
			return errors.WithMessage(k.err, f.Message)
		}
	}
	if f.Code == CodeInvalid {
		return errors.Errorf("request refused: %s", f.Message)
	}
	return nil
}
