package client

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
)

// Outcomes of calls in addition to the error codes of the protocol.
const (
	outcomeOK      = "ok"
	outcomeUnknown = "unsure"
)

// callTimes also counts the calls, each of which counts towards the service's rate
// limit.
var callTimes, _ = otel.Meter("wasabigate/platform").Float64Histogram("wasabigate.platform.calls",
	metric.WithUnit("s"),
	metric.WithDescription("Time of calls to the platform's services, by path and outcome."))

// recordCall records a call that started at start and returned err.
func recordCall(ctx context.Context, path string, start time.Time, err error) {
	callTimes.Record(context.WithoutCancel(ctx), time.Since(start).Seconds(), metric.WithAttributes(
		attribute.String("path", path),
		attribute.String("outcome", outcomeOf(err)),
	))
}

func outcomeOf(err error) string {
	switch {
	case err == nil:
		return outcomeOK
	case errors.Is(err, platform.ErrOutcomeUnknown):
		return outcomeUnknown
	default:
		_, failure := httpapi.FailureOf(err)
		return string(failure.Code)
	}
}
