package forward

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/quarantine"
)

const (
	// maxWaitingForEnd bounds the requests that wait to learn whether one process ended.
	maxWaitingForEnd = 32
	// crashCheckTimeout bounds one check whether a server's process has ended.
	crashCheckTimeout = time.Second
)

// endWatches learn whether processes of servers end after connections to them broke. All who
// wait for the same process share the checks. It is safe for concurrent use.
type endWatches struct {
	ended  func(ctx context.Context, address string) bool // refuses the address connections?
	source func() *deployment.Snapshot

	mu      sync.Mutex
	watches map[processKey]*endWatch
}

// endWatch is a watch for the end of a process.
type endWatch struct {
	waiting []waitingForEnd
	checks  int         // since the newest one waits
	timer   *time.Timer // of the next check; nil: none was made yet
}

type waitingForEnd struct {
	until  time.Time
	report func(ended bool)
}

func newEndWatches(ended func(ctx context.Context, address string) bool, source func() *deployment.Snapshot) *endWatches {
	return &endWatches{ended: ended, source: source, watches: make(map[processKey]*endWatch)}
}

// watch calls report, in another goroutine, once a process is seen to have ended or
// quarantine.CrashTime has passed. It reports false at once if too many wait.
func (e *endWatches) watch(server *deployment.Server, report func(ended bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := keyOfProcess(server)
	w := e.watches[key]
	if w == nil {
		w = &endWatch{}
		e.watches[key] = w
	}
	if len(w.waiting) >= maxWaitingForEnd {
		go report(false)
		return
	}
	w.waiting = append(w.waiting, waitingForEnd{until: time.Now().Add(quarantine.CrashTime), report: report})
	w.checks = 0
	if w.timer == nil || w.timer.Stop() { // else a check is being made, and schedules the next
		e.scheduleCheck(key, server, w)
	}
}

// scheduleCheck schedules the next check. The caller holds the lock.
func (e *endWatches) scheduleCheck(key processKey, server *deployment.Server, w *endWatch) {
	pause := quarantine.CrashChecks[min(w.checks, len(quarantine.CrashChecks)-1)]
	w.checks++
	w.timer = time.AfterFunc(pause, func() { e.check(key, server, w) })
}

// check checks whether a process has ended.
func (e *endWatches) check(key processKey, server *deployment.Server, w *endWatch) {
	ended, known := e.hasEnded(server)
	for _, report := range e.endCheck(key, server, w, known) {
		report(ended)
	}
}

// endCheck returns those to tell: all if it is known what became of the process, else those
// whose time is up. The watch ends if nobody waits any more.
func (e *endWatches) endCheck(key processKey, server *deployment.Server, w *endWatch, known bool) (told []func(bool)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	last := known || w.checks >= len(quarantine.CrashChecks)
	w.waiting = slices.DeleteFunc(w.waiting, func(waiting waitingForEnd) bool {
		if !last && now.Before(waiting.until) {
			return false
		}
		told = append(told, waiting.report)
		return true
	})
	if len(w.waiting) > 0 {
		e.scheduleCheck(key, server, w)
	} else {
		delete(e.watches, key)
	}
	return told
}

// hasEnded reports whether a process has ended: its address refuses connections, or the store
// lists a later process under its ID or at its address, as after a quick restart. known is
// false as long as it may still end because of a request; a server that is asked to leave ends
// for that reason.
func (e *endWatches) hasEnded(server *deployment.Server) (ended, known bool) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	if e.ended(ctx, server.Address) {
		return true, true
	}
	snapshot := e.source()
	if listed := snapshot.Servers[server.ID]; listed != nil && listed.Incarnation == server.Incarnation && listed.Draining {
		return false, true
	}
	for _, other := range snapshot.Servers {
		if (other.ID == server.ID || other.Address == server.Address) && other.Incarnation > server.Incarnation && server.Incarnation != 0 {
			return true, true
		}
	}
	return false, false
}
