package peering

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

// behindWarning is how long others may have a newer configuration before that is logged: the
// shortest time in which a change must be in force. It is logged again as often.
const behindWarning = 2 * time.Second

// behind tells for how long others have had a newer configuration. It is safe for concurrent use.
type behind struct {
	mu     sync.Mutex
	newest uint64 // version that any other gateway reported
	by     string // its address
	since  time.Time
	logged time.Time
}

// note records the version that another gateway reported at a time, and this one's.
func (b *behind) note(address string, theirs, mine uint64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if theirs > b.newest {
		b.newest, b.by = theirs, address
	}
	switch {
	case b.newest <= mine:
		b.since = time.Time{}
	case b.since.IsZero():
		b.since, b.logged = now, now
	}
	if !b.since.IsZero() && now.Sub(b.logged) >= behindWarning {
		b.logged = now
		logger.Warn(fields{"config_version": mine, "newest": b.newest, "peer": b.by, "behind_ms": now.Sub(b.since).Milliseconds()}, "other gateways have a newer configuration")
	}
}

// behindFor returns for how long others have had a newer configuration than mine, and by how much
// its version is higher; 0, 0 if they don't.
func (b *behind) behindFor(mine uint64, now time.Time) (time.Duration, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.since.IsZero() || b.newest <= mine {
		return 0, 0
	}
	return now.Sub(b.since), b.newest - mine
}

// registerGauges registers gauges of how far this gateway is behind others.
func (x *Exchange) registerGauges() {
	meter := otel.Meter("wasabigate/peering")
	seconds, err := meter.Float64ObservableGauge("wasabigate.peering.config_behind", metric.WithUnit("s"), metric.WithDescription("For how long other gateways have had a newer configuration; 0: they don't."))
	if err != nil {
		otel.Handle(err)
	}
	versions, err := meter.Int64ObservableGauge("wasabigate.peering.config_versions_behind", metric.WithDescription("By how much the version of the newest configuration that others reported is higher."))
	if err != nil {
		otel.Handle(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		lag, difference := x.behind.behindFor(configVersion(x.opts.Follower.Snapshot()), time.Now())
		o.ObserveFloat64(seconds, lag.Seconds())
		o.ObserveInt64(versions, int64(difference))
		return nil
	}, seconds, versions)
	if err != nil {
		otel.Handle(err)
	}
}
