package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Changes are changes of the store that a gateway passes on to another one.
type Changes struct {
	Events   []platform.Event
	Position platform.Version // up to which they are known
	Reached  platform.Version // up to which all but operators' entries are known, if above Position
	Complete bool             // Events are the whole content of the store
	Age      time.Duration    // since the store confirmed them
	Grace    time.Duration    // how much longer servers that disappeared in an outage are kept
}

// known is what a gateway can pass on of the store's content. It is immutable.
type known struct {
	events     []platform.Event // the last one of each key, which may be a deletion
	operators  []platform.Event // those of operators
	position   platform.Version // events include all changes up to it
	reached    platform.Version // events include all changes up to it but operators'
	since      platform.Version // events include all removals after it
	graceUntil time.Time        // servers that disappeared in an outage may be kept until then
	retired    map[string]Retired
}

func (st *state) known(fromOperator func(key string) bool) *known {
	events := slices.Collect(maps.Values(st.latest))
	var operators []platform.Event
	for i := range events {
		if fromOperator(events[i].Key) {
			operators = append(operators, events[i])
		}
	}
	return &known{events: events, operators: operators, position: st.position, reached: st.reached, since: st.since, graceUntil: st.graceUntil, retired: maps.Clone(st.retired)}
}

// ChangesAfter returns the changes after a position for another gateway. If this one may not
// know of a removal after the position, they are the whole content of the store.
func (f *Follower) ChangesAfter(after platform.Version) Changes {
	now := time.Now()
	known := f.known.Load()
	if known == nil {
		return Changes{}
	}
	changes := Changes{
		Position: known.position, Reached: known.reached, Complete: after < known.since,
		Age: f.Staleness(now), Grace: max(0, known.graceUntil.Sub(now)),
	}
	for _, event := range known.events {
		if event.Version > after || changes.Complete {
			changes.Events = append(changes.Events, event)
		}
	}
	return changes
}

// Merge merges another gateway's changes after this one's position.
func (f *Follower) Merge(ctx context.Context, c Changes) {
	grace := max(f.failures.graceAfter(f.Staleness(time.Now())), min(c.Grace, relistGrace))
	select {
	case f.batches <- batch{events: c.Events, position: c.Position, reached: c.Reached, complete: c.Complete, grace: grace}:
		f.Confirm(c.Age)
	case <-ctx.Done():
	}
}
