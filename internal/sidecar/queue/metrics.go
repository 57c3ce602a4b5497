package queue

import (
	"context"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/config"
)

type metrics struct {
	waits   metric.Float64Histogram
	refused metric.Int64Counter
	classes [laneCount]metric.MeasurementOption
}

func classOf(lane int) config.Class {
	if lane == laneDeferrable {
		return config.ClassDeferrable
	}
	return config.ClassUrgent
}

func newMetrics(q *Queue) metrics {
	meter := otel.Meter("wasabigate/queue")
	var m metrics
	m.waits, _ = meter.Float64Histogram("wasabigate.queue.wait",
		metric.WithUnit("s"), metric.WithDescription("Time that started requests had waited."))
	m.refused, _ = meter.Int64Counter("wasabigate.queue.refused",
		metric.WithUnit("{request}"), metric.WithDescription("Requests refused or given up while waiting."))
	for i := range m.classes {
		m.classes[i] = classAttribute(i)
	}
	observe(meter, q)
	return m
}

func classAttribute(lane int) metric.MeasurementOption {
	return metric.WithAttributeSet(attribute.NewSet(attribute.String("class", string(classOf(lane)))))
}

// observe registers the gauges that are computed when metrics are collected.
func observe(meter metric.Meter, q *Queue) {
	length, _ := meter.Int64ObservableGauge("wasabigate.queue.length",
		metric.WithUnit("{request}"), metric.WithDescription("Requests waiting."))
	oldest, _ := meter.Float64ObservableGauge("wasabigate.queue.oldest_age",
		metric.WithUnit("s"), metric.WithDescription("Age of the oldest waiting request."))
	expected, _ := meter.Float64ObservableGauge("wasabigate.queue.expected_wait",
		metric.WithUnit("s"), metric.WithDescription("Wait projected for a request at the end of the queue."))
	drain, _ := meter.Float64ObservableGauge("wasabigate.queue.drain_time",
		metric.WithUnit("s"), metric.WithDescription("Projected time until the queue is empty."))
	growth, _ := meter.Float64ObservableGauge("wasabigate.queue.growth",
		metric.WithUnit("{request}/s"), metric.WithDescription("Growth of the queue over the last seconds."))
	pileUp, _ := meter.Int64ObservableGauge("wasabigate.queue.pile_up",
		metric.WithDescription("1 while a pile-up lasts."))
	_, _ = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		q.mu.Lock()
		defer q.mu.Unlock()
		now := time.Now()
		for i := range q.lanes {
			class := classAttribute(i)
			o.ObserveInt64(length, int64(q.lanes[i].waiting), class)
			o.ObserveFloat64(oldest, q.lanes[i].age(now).Seconds(), class)
			o.ObserveFloat64(expected, q.tailWaitLocked(i).Seconds(), class)
		}
		o.ObserveFloat64(drain, q.drainTimeLocked().Seconds())
		o.ObserveFloat64(growth, q.monitor.growth)
		o.ObserveInt64(pileUp, boolToInt(q.monitor.piledUp))
		return nil
	}, length, oldest, expected, drain, growth, pileUp)
}

// tailWaitLocked estimates the wait of the last request of a lane.
func (q *Queue) tailWaitLocked(laneIndex int) time.Duration {
	if q.hasSlotLocked(laneIndex) {
		return 0
	}
	var work time.Duration
	for i := 0; i <= laneIndex; i++ {
		l := &q.lanes[i]
		work += l.serviceTime.total(float64(l.waiting))
	}
	return work/time.Duration(q.slots) + q.nextReleaseLocked()
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (m metrics) addWait(lane int, wait time.Duration) {
	m.waits.Record(context.Background(), wait.Seconds(), m.classes[lane])
}

func (m metrics) addRefused(lane int, reason string) {
	m.refused.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("class", string(classOf(lane))), attribute.String("reason", reason)))
}
