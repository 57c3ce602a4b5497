package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// The store may hold an entry that a server wrote before the last one, if it executed a write late.
// A gateway that reads it then, as at its start, can't tell. So gateways tell each other what the
// last entries were of servers that have said lately that they leave, or were removed.

// Retired is the last entry that a process of a backend server is known to have written. It said
// that the server leaves, or has been removed since.
type Retired struct {
	ID          string
	Incarnation int64
	Sequence    int64
	Removed     bool
	At          time.Time // when that became known to a gateway
}

// retiredOf returns what is known of a server whose entry says that it leaves, or was removed.
func retiredOf(server *deployment.Server, removed bool, now time.Time) Retired {
	return Retired{ID: server.ID, Incarnation: server.Incarnation, Sequence: server.Sequence, Removed: removed, At: now}
}

// isUsable reports whether entries of the server can be ordered by its count.
func (r *Retired) isUsable() bool {
	return r.ID != "" && len(r.ID) <= maxLeavingID && r.Incarnation > 0 && r.Sequence > 0
}

// entry returns the entry as far as it is known.
func (r *Retired) entry() *deployment.Server {
	return &deployment.Server{ID: r.ID, Incarnation: r.Incarnation, Sequence: r.Sequence, Draining: true}
}

// follows reports whether r is later than what is known, if anything is.
func (r *Retired) follows(known Retired) bool {
	switch {
	case r.Incarnation != known.Incarnation:
		return r.Incarnation > known.Incarnation
	case r.Sequence != known.Sequence:
		return r.Sequence > known.Sequence
	}
	return r.Removed && !known.Removed
}

// retire records the last entry of a server, and reports whether that is news.
func (st *state) retire(r Retired) bool {
	if known, ok := st.retired[r.ID]; !r.isUsable() || ok && !r.follows(known) || !ok && len(st.retired) >= maxLeaving {
		return false
	}
	st.retired[r.ID] = r
	return true
}

// applyRetired applies the last entries of servers that another gateway knows. It reports whether
// the state changed.
func (st *state) applyRetired(list []Retired, now time.Time) bool {
	changed := false
	for i := range list {
		r := &list[i]
		if !r.isUsable() {
			logger.Warn(fields{"server": r.ID, "incarnation": r.Incarnation, "sequence": r.Sequence}, "count of a backend server's last entry not usable")
			continue
		}
		listed := st.servers[r.ID]
		if _, ok := st.startedOver[r.ID]; ok {
			continue
		}
		if now.Sub(r.At) >= departureTTL || listed != nil && !writtenBefore(listed, r.entry()) || !st.retire(*r) {
			continue
		}
		logger.Info(fields{
			"server": r.ID, "incarnation": r.Incarnation, "sequence": r.Sequence, "removed": r.Removed, "age_ms": now.Sub(r.At).Milliseconds(),
		}, "another gateway knows a backend server's last entry")
		switch {
		case listed == nil && r.Removed:
			st.departed[r.ID] = departure{server: r.entry(), at: r.At}
		case listed != nil && r.Removed:
			changed = st.removeServer(r.ID, 0, now) || changed
		case listed != nil:
			last := *listed
			last.Incarnation, last.Sequence, last.Draining = r.Incarnation, r.Sequence, true
			st.servers[r.ID] = &last
			changed = true
		}
	}
	return changed
}

// lastEntry returns the last entry that a server is known to have written, or nil.
func (st *state) lastEntry(id string) *deployment.Server {
	last := st.servers[id]
	if last == nil {
		last = st.departed[id].server
	}
	if r, ok := st.retired[id]; ok && (last == nil || writtenBefore(last, r.entry())) {
		last = r.entry()
	}
	return last
}

// forgetRetired forgets the last entries of long ago: the store has executed earlier ones by then.
func (st *state) forgetRetired(now time.Time) {
	maps.DeleteFunc(st.retired, func(_ string, r Retired) bool { return now.Sub(r.At) >= departureTTL })
}

// Retired returns the last entries of servers that have retired lately, the latest first, for other
// gateways.
func (f *Follower) Retired() []Retired {
	known := f.known.Load()
	if known == nil {
		return nil
	}
	list := slices.SortedFunc(maps.Values(known.retired), func(a, b Retired) int { return b.At.Compare(a.At) })
	return list[:min(len(list), maxLeavingTold)]
}

// MergeRetired merges the last entries of servers that another gateway knows.
func (f *Follower) MergeRetired(ctx context.Context, list []Retired) {
	if known := f.known.Load(); known != nil {
		list = slices.DeleteFunc(list, func(r Retired) bool {
			told, ok := known.retired[r.ID]
			return ok && !r.follows(told)
		})
	}
	if len(list) == 0 {
		return
	}
	select {
	case f.batches <- batch{retired: list}:
	case <-ctx.Done():
	}
}
