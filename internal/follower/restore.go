package follower

import (
	"maps"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// A restored store has entries as they were when the copy was made. Until operators and
// backend servers have written theirs again, the state keeps what it knew to be newer: of
// an operators' entry the one with the higher version, and of a backend server's entry the
// one of the later process or with the higher sequence number.

const (
	// departureTTL is how long a removed server is remembered, in case a restore brings
	// its entry back.
	departureTTL = time.Minute
	// heldTime is how long a removed server whose entry came back is held: longer than
	// the store keeps the entry of a server that has ended.
	heldTime = 5 * time.Second
)

// departure is the last state of a server that was removed.
type departure struct {
	server *deployment.Server
	at     time.Time
}

// heldServer is a removed server whose entry came back in a restored store. It is listed
// at listAt unless its entry is removed again.
type heldServer struct {
	server *deployment.Server
	listAt time.Time
}

// startEra prepares the state for the first batch after a restore of the store.
func (st *state) startEra(position platform.Version) {
	var configVersion uint64
	if st.config != nil {
		configVersion = st.config.Version
	}
	logger.Warn(fields{
		logging.FieldConfigVersion: configVersion,
		"era":                      uint64(position.Era()), "position": position.Revision(),
		"former_era": uint64(st.position.Era()), "former_position": st.position.Revision(),
	}, "store restored from an older copy")
	st.restored = true
	maps.DeleteFunc(st.latest, func(_ string, event platform.Event) bool { return event.Deleted })
}

// applyRestoredServer applies a server's entry in the first batch of an era. It reports
// whether the state changed.
func (st *state) applyRestoredServer(server *deployment.Server, now time.Time) bool {
	if known := st.servers[server.ID]; known != nil {
		if isOlder(server, known) {
			delete(st.removeAt, server.ID)
			logger.Info(fields{"server": server.ID, "sequence": server.Sequence, "known": known.Sequence}, "restored entry of a backend server is older than the known one")
			return false
		}
		if known.SameProcess(server) && server.ColdUntil.After(known.ColdUntil) {
			server.ColdUntil = known.ColdUntil
		}
		return st.applyServer(server, now)
	}
	gone, ok := st.departed[server.ID]
	if ok && now.Sub(gone.at) < departureTTL && !isOlder(gone.server, server) {
		st.held[server.ID] = heldServer{server: server, listAt: now.Add(heldTime)}
		logger.Info(fields{"server": server.ID}, "restored entry of a backend server that is gone")
		return false
	}
	return st.applyServer(server, now)
}

// isOlder reports whether entry a of a server was written before entry b.
func isOlder(a, b *deployment.Server) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Sequence < b.Sequence || !a.Draining && b.Draining
}

// listHeld lists the servers that were held long enough, and forgets old departures. It
// reports whether the state changed.
func (st *state) listHeld(now time.Time) bool {
	maps.DeleteFunc(st.departed, func(_ string, d departure) bool { return now.Sub(d.at) >= departureTTL })
	changed := false
	for _, h := range st.held {
		if !now.Before(h.listAt) {
			changed = st.applyServer(h.server, now) || changed
		}
	}
	return changed
}
