package control

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// registerMetrics registers gauges for the control state.
func (l *Loop) registerMetrics() {
	meter := otel.Meter("wasabigate/control")
	observe := func(name, unit, description string, value func(*Snapshot) int64) {
		callback := func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(value(l.Snapshot()))
			return nil
		}
		_, _ = meter.Int64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description), metric.WithInt64Callback(callback))
	}
	observe("wasabigate.control.document_revision", "1", "Revision of the document in force.", func(s *Snapshot) int64 {
		return int64(s.Revisions().GetDocument())
	})
	observe("wasabigate.control.shard_epoch", "1", "Epoch of the shard table.", func(s *Snapshot) int64 {
		return int64(s.Revisions().GetShardEpoch())
	})
	observe("wasabigate.control.servers", "{server}", "Backend servers in the VM list.", func(s *Snapshot) int64 {
		return int64(len(s.View.Servers))
	})
	observe("wasabigate.control.routers", "{router}", "Routers in the VM list.", func(s *Snapshot) int64 {
		return int64(len(s.View.Routers))
	})
	observe("wasabigate.control.listed", "1", "1 while this daemon's VM is listed as live.", func(s *Snapshot) int64 {
		if s.Listed {
			return 1
		}
		return 0
	})
}
