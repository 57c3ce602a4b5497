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

// meters are the router's measures of what callers get.
type meters struct {
	duration   metric.Float64Histogram
	firstToken metric.Float64Histogram
	prompt     metric.Int64Counter
	refused    metric.Int64Counter
}

func newMeters() *meters {
	meter := otel.Meter("wasabigate/http")
	m := &meters{}
	m.duration, _ = meter.Float64Histogram("http.server.request.duration",
		metric.WithUnit("s"), metric.WithDescription("Time of callers' requests, by route and status."))
	m.firstToken, _ = meter.Float64Histogram("wasabigate.http.time_to_first_token",
		metric.WithUnit("s"), metric.WithDescription("Time from a generation's arrival to its first token, by class."))
	m.prompt, _ = meter.Int64Counter("wasabigate.http.prompt_tokens",
		metric.WithUnit("{token}"), metric.WithDescription("Prompt tokens of finished generations, cached and computed."))
	m.refused, _ = meter.Int64Counter("wasabigate.http.errors",
		metric.WithUnit("{request}"), metric.WithDescription("Errors answered to callers, by code and verdict."))
	return m
}

// measure is the middleware that records each request's time.
func (m *meters) measure(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		began := time.Now()
		err := next(c)
		status := c.Response().Status
		if err != nil && !c.Response().Committed {
			status = asVerdict(err).Code.Status()
		}
		m.duration.Record(context.Background(), time.Since(began).Seconds(), metric.WithAttributes(
			attribute.String("http.request.method", c.Request().Method),
			attribute.String("http.route", c.Path()),
			attribute.Int("http.response.status_code", status),
		))
		return err
	}
}

// timer records a generation's first token and its prompt tokens.
type timer struct {
	meters *meters
	req    *request.Request
	seen   bool
}

func (t *timer) observe(frame *wire.Frame) {
	if frame.GetTokens() != nil && !t.seen {
		t.seen = true
		t.meters.firstToken.Record(context.Background(), time.Since(t.req.Received).Seconds(),
			metric.WithAttributes(attribute.String("class", string(t.req.Class))))
	}
	if tail := frame.GetTail(); tail != nil {
		t.count("cached", tail.GetCachedTokens())
		t.count("computed", tail.GetPromptTokens()-min(tail.GetPromptTokens(), tail.GetCachedTokens()))
	}
}

func (t *timer) count(kind string, tokens uint32) {
	t.meters.prompt.Add(context.Background(), int64(tokens), metric.WithAttributes(attribute.String("kind", kind)))
}
