package limit

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// meters are the metrics of the limiter.
type meters struct {
	granted metric.Int64Counter
	refused metric.Int64Counter
	debits  metric.Int64Counter
	pulls   metric.Int64Counter
	lost    metric.Int64Counter
	unused  metric.Int64Counter
}

var (
	fromOwn   = metric.WithAttributeSet(attribute.NewSet(attribute.String("source", "own")))
	fromPeers = metric.WithAttributeSet(attribute.NewSet(attribute.String("source", "peers")))
)

func newMeters() meters {
	meter := otel.Meter("wasabigate/limit")
	counter := func(name, description, unit string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithDescription(description), metric.WithUnit(unit))
		if err != nil {
			otel.Handle(err)
		}
		return c
	}
	return meters{
		granted: counter("wasabigate.limit.granted", "Tokens reserved for requests.", "{token}"),
		refused: counter("wasabigate.limit.refused", "Requests refused.", "{request}"),
		debits:  counter("wasabigate.limit.debits", "Debits answered by peers.", "{call}"),
		pulls:   counter("wasabigate.limit.pulls", "Calls that even out levels.", "{call}"),
		unused:  counter("wasabigate.limit.unused", "Tokens debited from peers that no request needed.", "{token}"),
		lost:    counter("wasabigate.limit.lost", "Refunded tokens that no bucket could keep.", "{token}"),
	}
}

func (m *meters) grantOwn(ctx context.Context, tokens int64) { m.granted.Add(ctx, tokens, fromOwn) }

func (m *meters) grantPeers(ctx context.Context, tokens int64) { m.granted.Add(ctx, tokens, fromPeers) }

func (m *meters) refuse(ctx context.Context, err error) {
	code := string(verdict.From(err).Code)
	m.refused.Add(ctx, 1, metric.WithAttributes(attribute.String("code", code)))
}
