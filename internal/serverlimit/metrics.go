package serverlimit

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/logging"
)

var logger = logging.For("serverlimit")

// meters are the metrics of Limits.
type meters struct {
	malformed metric.Int64Counter
}

func newMeters(l *Limits) meters {
	meter := otel.Meter("wasabigate/serverlimit")
	malformed, err := meter.Int64Counter("wasabigate.serverlimit.malformed", metric.WithUnit("{response}"),
		metric.WithDescription("Responses whose limit is no positive number."))
	if err != nil {
		otel.Handle(err)
	}
	_, err = meter.Int64ObservableGauge("wasabigate.serverlimit.servers", metric.WithUnit("{server}"), metric.WithDescription("Servers whose limit is in force."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(l.Limited(time.Now())))
			return nil
		}))
	if err != nil {
		otel.Handle(err)
	}
	return meters{malformed: malformed}
}

func (m *meters) countMalformed() { m.malformed.Add(context.Background(), 1) }

func logLimit(id string, limit float64, users int, share float64) {
	logger.Info(logging.Fields{"server": id, logging.FieldLimit: limit, "gateways": users, "share_per_s": share}, "server limits its requests")
}

func logEnd(id string) {
	logger.Info(logging.Fields{"server": id, logging.FieldLimit: 0}, "server's limit ended")
}
