package follower

import (
	"maps"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// The store may execute a write seconds after the writer got no answer to it, when it has written
// later entries. What a server said later, by its own count, stands then, also if it has left
// since. Operators' entries have versions, which decide in the same way.

// overtakenTime is how long entries with a smaller count are taken for late writes: longer than
// several of a server's writes. After that the count has started over.
const overtakenTime = 5 * time.Second

// isOvertaken reports whether a server wrote an entry before the last one that is known, also by
// other gateways. An entry without an incarnation or a count is not.
func (st *state) isOvertaken(server *deployment.Server, now time.Time) bool {
	known := st.lastEntry(server.ID)
	if known == nil || !writtenBefore(server, known) {
		delete(st.overtaken, server.ID)
		return false
	}
	first, ok := st.overtaken[server.ID]
	if ok && now.Sub(first) >= overtakenTime {
		delete(st.overtaken, server.ID)
		st.startedOver[server.ID] = now
		return false
	}
	if !ok {
		st.overtaken[server.ID] = now
	}
	logger.Info(fields{
		"server": server.ID, "incarnation": server.Incarnation, "sequence": server.Sequence, "draining": server.Draining,
		"known_incarnation": known.Incarnation, "known_sequence": known.Sequence, "known_draining": known.Draining,
	}, "late write of a backend server's entry ignored")
	return true
}

// writtenBefore reports whether entry a of a server was written before entry b, by what the
// server counts.
func writtenBefore(a, b *deployment.Server) bool {
	switch {
	case a.Incarnation == 0 || b.Incarnation == 0:
		return false
	case a.Incarnation != b.Incarnation:
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence > 0 && a.Sequence < b.Sequence
}

// forgetOvertaken forgets the late writes of long ago, and counts that started over then.
func (st *state) forgetOvertaken(now time.Time) {
	isOld := func(_ string, at time.Time) bool { return now.Sub(at) >= departureTTL }
	maps.DeleteFunc(st.overtaken, isOld)
	maps.DeleteFunc(st.startedOver, isOld)
}
