package follower

import (
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	// leavingTTL is how long it is known that a server leaves after it is no longer listed:
	// a store that was away or is restored may list it again.
	leavingTTL = 10 * time.Minute
	// maxLeaving bounds the servers of which that is known, and maxLeavingID their ids.
	maxLeaving   = 1 << 14
	maxLeavingID = 200
	// maxLeavingTold bounds the servers of which other gateways are told at a time.
	maxLeavingTold = 256
)

// Leaving identifies the process of a backend server that has said that it leaves. That holds
// for as long as the process lives, whatever the store lists.
type Leaving struct {
	ID          string
	Incarnation int64
}

// leavingNote is what is known of a server that leaves.
type leavingNote struct {
	since    time.Time
	unlisted time.Time // since when it is not listed; zero: it is
}

// leavingServers holds the servers that have said that they leave. It is safe for concurrent
// use: answers are read by the goroutines of requests.
type leavingServers struct {
	changed chan struct{} // has an element after a change

	mu    sync.Mutex
	notes map[Leaving]*leavingNote
}

func newLeavingServers() *leavingServers {
	return &leavingServers{changed: make(chan struct{}, 1), notes: make(map[Leaving]*leavingNote)}
}

// add records that a server leaves, and reports whether that is new.
func (l *leavingServers) add(server Leaving, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notes[server] != nil || len(l.notes) >= maxLeaving || server.ID == "" || len(server.ID) > maxLeavingID {
		return false
	}
	l.notes[server] = &leavingNote{since: now, unlisted: now}
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return true
}

// mark returns the server's entry as draining if the server has said that it leaves.
func (l *leavingServers) mark(server *deployment.Server) *deployment.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	note := l.notes[Leaving{server.ID, server.Incarnation}]
	if note == nil || server.Draining && !server.LeavingSince.IsZero() {
		return server
	}
	marked := *server
	marked.Draining, marked.LeavingSince = true, note.since
	return &marked
}

// prune forgets the servers that have not been listed for leavingTTL.
func (l *leavingServers) prune(listed map[string]*deployment.Server, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, note := range l.notes {
		entry := listed[server.ID]
		switch {
		case entry != nil && entry.Incarnation == server.Incarnation:
			note.unlisted = time.Time{}
		case note.unlisted.IsZero():
			note.unlisted = now
		case now.Sub(note.unlisted) > leavingTTL:
			delete(l.notes, server)
		}
	}
}

// ReportLeaving records that a server has said that it leaves. source is the request that it
// answered, or the gateway that tells of it.
func (f *Follower) ReportLeaving(server Leaving, source string) {
	now := time.Now()
	if !f.state.leaving.add(server, now) {
		return
	}
	logger.Info(fields{
		"server": server.ID, "incarnation": server.Incarnation, "said_in": source,
		logging.FieldLeavingSince: now.UTC().Format(time.RFC3339Nano),
	}, "backend server says that it leaves")
}

// LeavingServers returns the listed servers that have said that they leave, for other gateways.
func (f *Follower) LeavingServers() []Leaving {
	var servers []Leaving
	leaving := f.state.leaving
	leaving.mu.Lock()
	defer leaving.mu.Unlock()
	for server, note := range leaving.notes {
		if note.unlisted.IsZero() && len(servers) < maxLeavingTold {
			servers = append(servers, server)
		}
	}
	return servers
}

// markLeaving marks the servers that have said that they leave. It reports whether the state
// changed.
func (st *state) markLeaving() bool {
	changed := false
	for id, server := range st.servers {
		if marked := st.leaving.mark(server); marked != server {
			st.servers[id] = marked
			changed = true
		}
	}
	return changed
}
