package quarantine

import (
	"context"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/logging"
)

var logger = logging.For("quarantine")

// meters are the metrics of a Quarantine.
type meters struct {
	held    metric.Int64Counter
	probes  metric.Int64Counter
	crashes metric.Int64Counter
}

func newMeters(q *Quarantine) meters {
	meter := otel.Meter("wasabigate/quarantine")
	counter := func(name, unit, description string) metric.Int64Counter {
		c, err := meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(description))
		if err != nil {
			otel.Handle(err)
		}
		return c
	}
	m := meters{
		held:    counter("wasabigate.quarantine.held", "{request}", "Requests that were not sent to a server because of a blamed part."),
		probes:  counter("wasabigate.quarantine.probes", "{request}", "Requests with a blamed part that were sent to see whether it still crashes servers."),
		crashes: counter("wasabigate.quarantine.crashes", "{request}", "Requests under which a server's process ended before their first event."),
	}
	_, err := meter.Int64ObservableGauge("wasabigate.quarantine.parts", metric.WithUnit("{part}"), metric.WithDescription("Blamed parts of prompts."),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			o.Observe(int64(q.Len()))
			return nil
		}))
	if err != nil {
		otel.Handle(err)
	}
	return m
}

func (meters) count(c metric.Int64Counter) { c.Add(context.Background(), 1) }

// Len returns the number of blamed parts.
func (q *Quarantine) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.blamed)
}

// String returns the part as logs show it.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

func logBlamed(part Part, b *blame) {
	logger.Warn(logging.Fields{logging.FieldQuarantined: part.String(), "servers": b.servers, "last_server": b.last().Server, "parts_in_common": len(b.common), "explained": b.explained}, part.describe()+" blamed for crashes")
}

// Describe returns what the part is, for a client's error.
func (p Part) Describe() string {
	if p.IsRequest() {
		return "this request"
	}
	return "part " + p.String() + " of the prompt"
}

// describe returns what the part is, for log lines.
func (p Part) describe() string {
	if p.IsRequest() {
		return "request"
	}
	return "part of a prompt"
}

func logCleared(part Part) {
	logger.Info(logging.Fields{logging.FieldQuarantined: part.String()}, part.describe()+" no longer blamed")
}

func logProbe(part Part, b *blame, now time.Time) {
	logger.Info(logging.Fields{
		logging.FieldQuarantined: part.String(), "servers": b.servers, "last_server": b.last().Server,
		"due_age_ms": now.Sub(b.until).Milliseconds(), "turn": turnOf(b, now),
	}, "probe of a blamed "+part.describe())
}

// logProbeEnd logs that a probe has ended without an outcome.
func logProbeEnd(part Part, end ProbeEnd) {
	logger.Info(logging.Fields{
		logging.FieldQuarantined: part.String(), "connection_broke": end == ProbeBroke, "claimed_by_another": end == ProbeClaimed,
	}, "probe of a blamed "+part.describe()+" without an outcome")
}
