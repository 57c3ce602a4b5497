package relay

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// repairs counts the resumed and retried attempts.
var repairs, _ = otel.Meter("wasabigate/relay").Int64Counter("wasabigate.relay.repairs",
	metric.WithUnit("{request}"),
	metric.WithDescription("Attempts that were resumed, followed by another attempt, or not followed by one for lack of budget, by kind."))

// Kinds of repairs.
const (
	repairResumed = "resumed"
	repairRetried = "repeated"
	repairDenied  = "denied"
)

func countRepair(kind string) {
	repairs.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}
