package buffer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

type metrics struct {
	bytes   metric.Int64UpDownCounter
	resumed metric.Int64Counter
	dropped metric.Int64Counter
}

func newMetrics() metrics {
	meter := otel.Meter("wasabigate/buffer")
	var m metrics
	m.bytes, _ = meter.Int64UpDownCounter("wasabigate.buffer.size",
		metric.WithUnit("By"), metric.WithDescription("Bytes of the frames kept."))
	m.resumed, _ = meter.Int64Counter("wasabigate.buffer.resumed",
		metric.WithUnit("{stream}"), metric.WithDescription("Streams that were read again after a cut."))
	m.dropped, _ = meter.Int64Counter("wasabigate.buffer.dropped",
		metric.WithUnit("{stream}"), metric.WithDescription("Finished streams dropped early for their size."))
	return m
}

func (m metrics) addBytes(n int) { m.bytes.Add(context.Background(), int64(n)) }
func (m metrics) addResumed()    { m.resumed.Add(context.Background(), 1) }
func (m metrics) addDropped()    { m.dropped.Add(context.Background(), 1) }
