package verify

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

type metrics struct {
	refused  metric.Int64Counter
	catchUps metric.Int64Counter
}

func newMetrics() metrics {
	meter := otel.Meter("wasabigate/verify")
	var m metrics
	m.refused, _ = meter.Int64Counter("wasabigate.verify.refused",
		metric.WithUnit("{request}"), metric.WithDescription("Requests refused by the sidecar's check."))
	m.catchUps, _ = meter.Int64Counter("wasabigate.verify.catch_ups",
		metric.WithUnit("{request}"), metric.WithDescription("Requests that waited for a newer document or shard table."))
	return m
}

func (m metrics) addRefused(code verdict.Code) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(attribute.String("code", string(code))))
}

func (m metrics) addCatchUp() { m.catchUps.Add(context.Background(), 1) }
