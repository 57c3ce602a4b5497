package execute

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

var (
	meter = otel.Meter("wasabigate/execute")

	outcomes, _ = meter.Int64Counter("wasabigate.execute.outcomes",
		metric.WithUnit("{request}"),
		metric.WithDescription("Requests given to the backend server, by verdict."))
	mismatchedReplies, _ = meter.Int64Counter("wasabigate.execute.crossed_answers",
		metric.WithUnit("{answer}"),
		metric.WithDescription("Answers of a plain service that were dropped because they carried another request's id."))
	firstToken, _ = meter.Float64Histogram("wasabigate.execute.time_to_first_token",
		metric.WithUnit("s"),
		metric.WithDescription("Time from giving a generation to the engine to its first chunk."))
)

func countOutcome(ctx context.Context, v verdict.Verdict) {
	outcomes.Add(ctx, 1, metric.WithAttributes(attribute.String("verdict", v.String())))
}

func countMismatched(ctx context.Context) { mismatchedReplies.Add(ctx, 1) }

func recordFirstToken(ctx context.Context, d time.Duration) { firstToken.Record(ctx, d.Seconds()) }
