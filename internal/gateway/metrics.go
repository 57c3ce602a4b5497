package gateway

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
)

// durationBounds are the bounds of the histogram buckets, in seconds. Users' latency
// targets lie between 0.1 and 0.8 s, their deadlines between 0.6 and 15 s.
var durationBounds = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 3.5, 5, 8, 15}

// requestMetrics holds the metrics of clients' requests.
type requestMetrics struct {
	duration   metric.Float64Histogram
	firstEvent metric.Float64Histogram
}

func newRequestMetrics() requestMetrics {
	meter := otel.Meter("wasabigate/gateway")
	histogram := func(name, description string) metric.Float64Histogram {
		h, err := meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), metric.WithExplicitBucketBoundaries(durationBounds...))
		if err != nil {
			otel.Handle(err)
		}
		return h
	}
	return requestMetrics{
		duration:   histogram("http.server.request.duration", "Time of clients' requests."),
		firstEvent: histogram("wasabigate.gateway.time_to_first_event", "From a stream's arrival to its first event."),
	}
}

func routeName(req *forward.Request) string {
	if req.Route == nil {
		return ""
	}
	return req.Route.Name
}

func (m *requestMetrics) recordDuration(req *forward.Request, status int) {
	m.duration.Record(context.Background(), time.Since(req.Arrived).Seconds(), metric.WithAttributes(
		attribute.String("route", routeName(req)), attribute.String("status", strconv.Itoa(status))))
}

func (m *requestMetrics) recordFirstEvent(req *forward.Request) {
	m.firstEvent.Record(context.Background(), time.Since(req.Arrived).Seconds(), metric.WithAttributes(attribute.String("route", routeName(req))))
}

// registerStateGauges registers gauges of the gateway's cached state and its staleness.
func registerStateGauges(f *follower.Follower) {
	meter := otel.Meter("wasabigate/gateway")
	version, err := meter.Int64ObservableGauge("wasabigate.gateway.config_version", metric.WithDescription("Version of the configuration in force; 0: none."))
	if err != nil {
		otel.Handle(err)
	}
	staleness, err := meter.Float64ObservableGauge("wasabigate.gateway.store_silence", metric.WithUnit("s"), metric.WithDescription("Time since the store answered last."))
	if err != nil {
		otel.Handle(err)
	}
	servers, err := meter.Int64ObservableGauge("wasabigate.gateway.servers", metric.WithUnit("{server}"), metric.WithDescription("Backend servers that are listed."))
	if err != nil {
		otel.Handle(err)
	}
	era, err := meter.Int64ObservableGauge("wasabigate.gateway.store_era", metric.WithDescription("Restores of the store from an older copy, as in its last answer that was applied."))
	if err != nil {
		otel.Handle(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		snapshot := f.Snapshot()
		if snapshot.Config != nil {
			o.ObserveInt64(version, int64(snapshot.Config.Version))
		}
		o.ObserveFloat64(staleness, f.Staleness(time.Now()).Seconds())
		o.ObserveInt64(servers, int64(len(snapshot.Servers)))
		o.ObserveInt64(era, int64(snapshot.Position.Era()))
		return nil
	}, version, staleness, servers, era)
	if err != nil {
		otel.Handle(err)
	}
}
