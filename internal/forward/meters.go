package forward

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/streamversion"
)

// meters are the metrics of the relay.
type meters struct {
	attempts metric.Int64Counter
	resumed  metric.Int64Counter
	retries  metric.Int64Counter
	takeUps  metric.Int64Counter
	admitted metric.Int64Counter
	rollout  metric.Int64Counter
	checks   metric.Int64Counter
}

var outcomeLabels = map[fleet.Outcome]metric.MeasurementOption{
	fleet.Succeeded:   outcomeLabel("succeeded"),
	fleet.Failed:      outcomeLabel("failed"),
	fleet.Unreachable: outcomeLabel("unreachable"),
	fleet.Refused:     outcomeLabel("refused"),
}

func outcomeLabel(outcome string) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", outcome)))
}

func newMeters() meters {
	meter := otel.Meter("wasabigate/forward")
	counter := func(name, unit, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			otel.Handle(err)
		}
		return c
	}
	return meters{
		attempts: counter("wasabigate.forward.attempts", "{attempt}", "Attempts at backend servers, by outcome."),
		resumed:  counter("wasabigate.forward.resumed", "{stream}", "Streams that went on at another backend server."),
		takeUps:  counter("wasabigate.forward.take_ups", "{request}", "Requests for the rest of a stream, by service and refusal."),
		admitted: counter("wasabigate.forward.admissions", "{request}", "Less urgent requests while servers are short of room, by service and decision."),
		rollout:  counter("wasabigate.forward.rollout_choices", "{attempt}", "Attempts in services whose software versions are rolled out by orders, by service and reason of the choice."),
		checks:   counter("wasabigate.forward.crash_checks", "{request}", "Requests whose connection broke, by whether the server's process was seen to end."),
		retries:  counter("wasabigate.forward.retries", "{retry}", "Retries that were asked for, by service and decision of the budget."),
	}
}

func (m *meters) countAttempt(outcome fleet.Outcome) {
	m.attempts.Add(context.Background(), 1, outcomeLabels[outcome])
}

func (m *meters) countRetry(service string, allowed bool) {
	decision := "denied"
	if allowed {
		decision = "allowed"
	}
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("decision", decision)))
}

// countCrashCheck counts a check whether a server's process has ended.
func (m *meters) countCrashCheck(ended bool) {
	m.checks.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("ended", ended)))
}

// countTakeUp counts a request for the rest of a stream.
func (m *meters) countTakeUp(service string, refusal streamversion.Refusal) {
	m.takeUps.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("refusal", refusal.String())))
}

// countAdmission counts a less urgent request for which there may be no room.
func (m *meters) countAdmission(service string, admitted bool) {
	decision := "refused"
	if admitted {
		decision = "admitted"
	}
	m.admitted.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("decision", decision)))
}

// countRollout counts an attempt by the reason for its software version.
func (m *meters) countRollout(service, reason string) {
	if reason == "" {
		reason = "stream"
	}
	m.rollout.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("reason", reason)))
}
