package httpapi

import (
	"context"
	"time"

	"github.com/labstack/echo/v4"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// metrics are the instruments that measure callers' requests.
type metrics struct {
	duration     metric.Float64Histogram
	firstToken   metric.Float64Histogram
	promptTokens metric.Int64Counter
	errorCount   metric.Int64Counter
}

func newMetrics() *metrics {
	meter := otel.Meter("wasabigate/http")
	m := &metrics{}
	m.duration, _ = meter.Float64Histogram("http.server.request.duration",
		metric.WithUnit("s"), metric.WithDescription("Time of callers' requests, by route and status."))
	m.firstToken, _ = meter.Float64Histogram("wasabigate.http.time_to_first_token",
		metric.WithUnit("s"), metric.WithDescription("Time from a generation's arrival to its first token, by class."))
	m.promptTokens, _ = meter.Int64Counter("wasabigate.http.prompt_tokens",
		metric.WithUnit("{token}"), metric.WithDescription("Prompt tokens of finished generations, cached and computed."))
	m.errorCount, _ = meter.Int64Counter("wasabigate.http.errors",
		metric.WithUnit("{request}"), metric.WithDescription("Errors answered to callers, by code and verdict."))
	return m
}

// recordDuration is the middleware that records the duration of each request.
func (m *metrics) recordDuration(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		start := time.Now()
		err := next(c)
		status := c.Response().Status
		if err != nil && !c.Response().Committed {
			status = asVerdict(err).Status()
		}
		m.duration.Record(context.Background(), time.Since(start).Seconds(), metric.WithAttributes(
			attribute.String("http.request.method", c.Request().Method),
			attribute.String("http.route", c.Path()),
			attribute.Int("http.response.status_code", status),
		))
		return err
	}
}

// tokenRecorder records a generation's time to the first token and its prompt tokens.
type tokenRecorder struct {
	metrics *metrics
	req     *request.Request
	started bool
}

func (r *tokenRecorder) observe(frame *wire.Frame) {
	if frame.GetTokens() != nil && !r.started {
		r.started = true
		r.metrics.firstToken.Record(context.Background(), time.Since(r.req.Received).Seconds(),
			metric.WithAttributes(attribute.String("class", string(r.req.Class))))
	}
	if tail := frame.GetTail(); tail != nil {
		r.count("cached", tail.GetCachedTokens())
		r.count("computed", tail.GetPromptTokens()-min(tail.GetPromptTokens(), tail.GetCachedTokens()))
	}
}

func (r *tokenRecorder) count(kind string, tokens uint32) {
	r.metrics.promptTokens.Add(context.Background(), int64(tokens), metric.WithAttributes(attribute.String("kind", kind)))
}
