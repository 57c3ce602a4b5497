// Package verdict defines the error type of the request path. Every error records
// whether the request may have run on a backend server, because only a request
// that has not run may be retried without the caller's consent.
package verdict

import (
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Verdict specifies whether a request may have run on a backend server.
type Verdict uint8

// MayHaveRun is the zero value, so that an error without an explicit verdict does not
// lead to a retry.
const (
	// MayHaveRun means that it is unknown whether the request was executed.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and will not be.
	NotRun
	// Ran means that the request was executed.
	Ran
)

// String returns the name used in headers, bodies and log lines.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Code classifies an error for callers, logs and metrics.
type Code string

// Codes that callers can receive.
const (
	CodeInvalidRequest   Code = "invalid_request"
	CodeUnauthenticated  Code = "invalid_api_key"
	CodeKeyWithdrawn     Code = "key_withdrawn"
	CodeForbidden        Code = "forbidden"
	CodeNotFound         Code = "not_found"
	CodeModelNotFound    Code = "model_not_found"
	CodeTooLarge         Code = "request_too_large"
	CodeSlowRequest      Code = "request_too_slow"
	CodeCostAboveBurst   Code = "cost_above_burst"
	CodeRateLimited      Code = "rate_limit_exceeded"
	CodeOverloaded       Code = "overloaded"
	CodeNoRoom           Code = "no_room" // for less urgent requests
	CodeNoBackendServer  Code = "no_backend_server"
	CodeWeightsMismatch  Code = "weights_not_loaded"
	CodeStaleShardEpoch  Code = "stale_shard_epoch"
	CodeStaleDocument    Code = "stale_document"
	CodeDraining         Code = "draining"
	CodeKeyMismatch      Code = "idempotency_key_reused"
	CodeInProgress       Code = "request_in_progress"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeQuarantined      Code = "prompt_quarantined"
	CodeOriginUnknown    Code = "stream_origin_unknown"
	CodeSoftwareGone     Code = "software_version_gone"
	CodeBackendFailed    Code = "backend_failed"
	CodeStreamLost       Code = "stream_lost"
	CodeCancelled        Code = "cancelled"
	CodeTimeout          Code = "timeout"
	CodeInternal         Code = "internal_error"
)

var statusByCode = map[Code]int{
	CodeInvalidRequest:   http.StatusBadRequest,
	CodeUnauthenticated:  http.StatusUnauthorized,
	CodeKeyWithdrawn:     http.StatusUnauthorized,
	CodeForbidden:        http.StatusForbidden,
	CodeNotFound:         http.StatusNotFound,
	CodeModelNotFound:    http.StatusNotFound,
	CodeTooLarge:         http.StatusRequestEntityTooLarge,
	CodeSlowRequest:      http.StatusRequestTimeout,
	CodeCostAboveBurst:   http.StatusBadRequest,
	CodeRateLimited:      http.StatusTooManyRequests,
	CodeOverloaded:       http.StatusServiceUnavailable,
	CodeNoRoom:           http.StatusServiceUnavailable,
	CodeNoBackendServer:  http.StatusServiceUnavailable,
	CodeWeightsMismatch:  http.StatusServiceUnavailable,
	CodeStaleShardEpoch:  http.StatusServiceUnavailable,
	CodeStaleDocument:    http.StatusServiceUnavailable,
	CodeDraining:         http.StatusServiceUnavailable,
	CodeKeyMismatch:      http.StatusUnprocessableEntity,
	CodeInProgress:       http.StatusConflict,
	CodeOutcomeUnknown:   http.StatusConflict,
	CodeStoreUnavailable: http.StatusServiceUnavailable,
	CodeQuarantined:      http.StatusServiceUnavailable,
	CodeOriginUnknown:    http.StatusServiceUnavailable,
	CodeSoftwareGone:     http.StatusServiceUnavailable,
	CodeBackendFailed:    http.StatusBadGateway,
	CodeStreamLost:       http.StatusBadGateway,
	CodeCancelled:        statusClientClosedRequest,
	CodeTimeout:          http.StatusGatewayTimeout,
}

// statusClientClosedRequest is the non-standard status, as used by nginx, for a caller
// that closed its connection.
const statusClientClosedRequest = 499

func (c Code) status() int {
	if status, ok := statusByCode[c]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// PromisesNotRun reports whether a status tells callers that the request has not run and
// never will.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// IsFinalStatus reports whether a final response can have a status. Others can't be passed on:
// net/http panics on those below 100, takes 1xx for a response before the final one, and callers
// can't interpret those above 599.
func IsFinalStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

const maxStatus = 599

// Error is the error type of the request path.
type Error struct {
	Verdict    Verdict
	Code       Code
	Message    string
	RetryAfter time.Duration // zero if unknown
	Crashed    uint64        // incarnation of the engine that crashed under the request; 0: none did
	Sent       bool          // the request was sent to a backend server, also if it was refused there
	Cause      error
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with a cause, which is for logs and not shown to callers.
func Wrap(cause error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.Cause = cause
	return e
}

// WithRetryAfter sets the time after which a retry may succeed.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Status returns the HTTP status of a response with the error. The verdict decides whether it
// promises that the request has not run, whatever the code.
func (e *Error) Status() int {
	status := e.Code.status()
	switch {
	case e.Verdict == NotRun && status >= http.StatusInternalServerError:
		return http.StatusServiceUnavailable
	case e.Verdict != NotRun && PromisesNotRun(status):
		return http.StatusBadGateway
	}
	return status
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s (%s)", e.Code, e.Message, e.Verdict)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// From returns the *Error in err's chain. An error without one is wrapped as an
// internal error with verdict MayHaveRun. From returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, CodeInternal, "unexpected error")
}
