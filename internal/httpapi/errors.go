package httpapi

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/clientbody"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("http")

// errorBody is an error response of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message   string  `json:"message"`
	Type      string  `json:"type"`
	Param     *string `json:"param"`
	Code      string  `json:"code"`
	Verdict   string  `json:"verdict"`
	RequestID string  `json:"request_id"`
	StatusURL string  `json:"status_url,omitempty"`
}

// errorType returns the OpenAI error type for a status.
func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func newErrorBody(e *verdict.Error, requestID string) errorBody {
	return errorBody{Error: errorDetail{
		Message:   e.Message,
		Type:      errorType(e.Status()),
		Code:      string(e.Code),
		Verdict:   e.Verdict.String(),
		RequestID: requestID,
	}}
}

// handleError implements echo.HTTPErrorHandler.
func (s *Server) handleError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := asVerdict(err)
	requestID := c.Response().Header().Get(HeaderRequestID)
	logger.Info(logging.Fields{
		"request_id": requestID,
		"code":       string(e.Code),
		"verdict":    e.Verdict.String(),
		"error":      e.Error(),
	}, "request refused or failed")
	s.metrics.errorCount.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("code", string(e.Code)), attribute.String("verdict", e.Verdict.String())))
	setErrorHeaders(c.Response().Header(), e)
	clientbody.LimitWrite(c.Response())
	if err := c.JSON(e.Status(), newErrorBody(e, requestID)); err != nil {
		logger.Debug(logging.Fields{"request_id": requestID, "error": err.Error()}, "error response not written")
	}
}

// asVerdict returns err as a verdict. Echo's own errors occur before the filter
// chain, so the request did not run.
func asVerdict(err error) *verdict.Error {
	var httpErr *echo.HTTPError
	if !errors.As(err, &httpErr) {
		return verdict.From(err)
	}
	code := verdict.CodeInvalidRequest
	if httpErr.Code == http.StatusNotFound || httpErr.Code == http.StatusMethodNotAllowed {
		code = verdict.CodeNotFound
	}
	return verdict.Wrap(err, verdict.NotRun, code, "%v", httpErr.Message)
}

func setErrorHeaders(header http.Header, e *verdict.Error) {
	header.Set(HeaderVerdict, e.Verdict.String())
	if e.Verdict != verdict.NotRun {
		header.Set(headerShouldRetry, "false")
	}
	if e.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
		header.Set(headerRetryAfterMs, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	} else if e.Status() == http.StatusTooManyRequests {
		header.Set("Retry-After", strconv.Itoa(int(defaultRetryAfter.Seconds())))
	}
}

// defaultRetryAfter is sent with status 429 if the time to wait is unknown.
const defaultRetryAfter = time.Second

// encode returns value as JSON. Encoding cannot fail for the types used here.
func encode(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		return []byte("{}")
	}
	return encoded
}
