package controller

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the metrics of the controller.
type metrics struct {
	orders metric.Int64Counter
	terms  metric.Int64Counter
}

func newMetrics(c *Controller) metrics {
	meter := otel.Meter("wasabigate/controller")
	var m metrics
	m.orders, _ = meter.Int64Counter("wasabigate.controller.orders",
		metric.WithUnit("{order}"), metric.WithDescription("Orders given to engines, by kind and outcome."))
	m.terms, _ = meter.Int64Counter("wasabigate.controller.terms",
		metric.WithUnit("{term}"), metric.WithDescription("Times that this router became the controller."))
	_, _ = meter.Int64ObservableGauge("wasabigate.controller.holding",
		metric.WithUnit("1"), metric.WithDescription("1 while this router is the controller."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(boolToInt64(c.HoldsLease()))
			return nil
		}))
	_, _ = meter.Int64ObservableGauge("wasabigate.controller.loads",
		metric.WithUnit("{load}"), metric.WithDescription("Weight loads that may be running."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(c.runningLoads.Load())
			return nil
		}))
	_, _ = meter.Int64ObservableGauge("wasabigate.controller.missing",
		metric.WithUnit("{weights}"), metric.WithDescription("Sets of weights that servers lack, as the controller knows it."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(c.missingWeights.Load())
			return nil
		}))
	return m
}

func boolToInt64(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m metrics) countOrder(kind, outcome string) {
	m.orders.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("kind", kind), attribute.String("outcome", outcome)))
}
