package once

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Values of the metric attribute "result".
const (
	resultExecuted    = "executed"
	resultReplayed    = "replayed"
	resultRefused     = "refused"
	resultUnknown     = "outcome_unknown"
	resultUnrecorded  = "unrecorded"
	resultLateRecord  = "recorded_late"
	resultUnavailable = "store_unavailable"
)

type metrics struct {
	calls metric.Int64Counter
}

func newMetrics() metrics {
	calls, _ := otel.Meter("wasabigate/once").Int64Counter("wasabigate.once.calls",
		metric.WithUnit("{call}"), metric.WithDescription("Calls that run at most once, by result."))
	return metrics{calls: calls}
}

func (m metrics) count(result string) {
	m.calls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
