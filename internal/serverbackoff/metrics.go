package serverbackoff

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// meters are the metrics of Backoffs.
type meters struct {
	malformed metric.Int64Counter
}

func newMeters(b *Backoffs) meters {
	meter := otel.Meter("wasabigate/serverbackoff")
	malformed, err := meter.Int64Counter("wasabigate.serverbackoff.malformed", metric.WithUnit("{response}"),
		metric.WithDescription("Refusals whose time is malformed, repeated or too long."))
	if err != nil {
		otel.Handle(err)
	}
	_, err = meter.Int64ObservableGauge("wasabigate.serverbackoff.servers", metric.WithUnit("{server}"),
		metric.WithDescription("Servers that want no request now."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(b.Paused(time.Now())))
			return nil
		}))
	if err != nil {
		otel.Handle(err)
	}
	return meters{malformed: malformed}
}

func (m meters) countMalformed() { m.malformed.Add(context.Background(), 1) }
