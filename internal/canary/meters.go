package canary

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// meters are the metrics of an Owner.
type meters struct {
	findings metric.Int64Counter
	phases   metric.Int64Counter
	invalid  metric.Int64Counter
}

func newMeters() meters {
	meter := otel.Meter("wasabigate/canary")
	counter := func(name, unit, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			otel.Handle(err)
		}
		return c
	}
	return meters{
		findings: counter("wasabigate.canary.findings", "{finding}", "Software versions that this gateway found bad, by service."),
		phases:   counter("wasabigate.canary.phases", "{phase}", "Phases of rollouts that this gateway wrote, by service and phase."),
		invalid:  counter("wasabigate.canary.unknown_services", "{order}", "Rollout orders for services that are not in the configuration."),
	}
}

func (m *meters) countFinding(service string) {
	m.findings.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service)))
}

func (m *meters) countPhase(service string, phase Phase) {
	m.phases.Add(context.Background(), 1, metric.WithAttributes(attribute.String("service", service), attribute.String("phase", phase.String())))
}
