// Package serverbackoff decides when a backend server that refused requests gets the next
// ones from this process.
//
// A server that names a time in its refusal gets none until that time ends. One that names
// none is avoided for a short time, which doubles with each further refusal: it answers
// faster than those that serve, so it looks idle and would draw the requests of the others.
// Afterwards requests come back gradually.
package serverbackoff

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minAvoidance and maxAvoidance bound the time for which a server is avoided after a
	// refusal that names no time. The longest one bounds how late its recovery is noticed.
	minAvoidance = 300 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// fullTrials is the number of unanswered requests at once from which on a server that
	// comes back counts as recovered. It doubles with each request that the server accepts.
	fullTrials = 32
	// trialWait is when a request may be sent to a server that has all its trials.
	trialWait = 200 * time.Millisecond
	// expiry is how long a server that gets no requests is remembered after its times end.
	expiry = 30 * time.Second
	// maxServers bounds the servers that are remembered.
	maxServers = 1 << 14
)

// Key identifies a process of a backend server.
type Key struct {
	ID          string
	Incarnation int64
}

// server is a server that refused a request.
type server struct {
	askedUntil   time.Time // it wants nothing until then
	avoidedUntil time.Time
	refusedAt    time.Time // last
	refusals     int       // in a row
	asked        bool      // it named a time since it accepted requests
	trials       int       // requests that it has not answered
	maxTrials    int
}

// end returns when no time of the server runs any more.
func (s *server) end() time.Time {
	end := s.refusedAt
	for _, until := range []time.Time{s.askedUntil, s.avoidedUntil} {
		if until.After(end) {
			end = until
		}
	}
	return end
}

// Backoffs holds the servers that refused requests. It is safe for concurrent use.
type Backoffs struct {
	meters meters
	any    atomic.Bool // there is a server

	mu      sync.Mutex
	servers map[Key]*server
}

// New returns Backoffs without servers.
func New() *Backoffs {
	b := &Backoffs{servers: make(map[Key]*server)}
	b.meters = newMeters(b)
	return b
}

// RecordRefusal records that a server refused a request, and for how long it wants none. It
// returns the end of that time if this refusal made it later.
func (b *Backoffs) RecordRefusal(key Key, asked Asked, now time.Time) (until time.Time, extended bool) {
	if asked.Malformed {
		b.meters.countMalformed()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[key]
	if s == nil {
		b.makeRoom(now)
		s = &server{}
		b.servers[key] = s
		b.any.Store(true)
	}
	if !now.Before(s.avoidedUntil) {
		s.refusals++
		s.avoidedUntil = now.Add(avoidance(s.refusals))
	}
	s.refusedAt, s.maxTrials = now, 1
	if asked.Wait <= 0 {
		return s.askedUntil, false
	}
	s.asked = true
	if until := now.Add(asked.Wait); until.After(s.askedUntil) {
		s.askedUntil = until
		return until, true
	}
	return s.askedUntil, false
}

// avoidance returns the time for which a server is avoided after refusals in a row.
func avoidance(refusals int) time.Duration {
	d := minAvoidance
	for range refusals - 1 {
		d = min(2*d, maxAvoidance)
	}
	return d
}

// makeRoom removes the servers whose times ended long ago, and if there are still too many,
// any. The caller holds the lock.
func (b *Backoffs) makeRoom(now time.Time) {
	if len(b.servers) < maxServers {
		return
	}
	maps.DeleteFunc(b.servers, func(_ Key, s *server) bool { return now.Sub(s.end()) > 0 })
	for key := range b.servers {
		if len(b.servers) < maxServers {
			return
		}
		delete(b.servers, key)
	}
}

// RecordAccepted records that a server accepted a request that was sent at a time. It gets
// twice as many at once, and counts as recovered after some.
func (b *Backoffs) RecordAccepted(key Key, sent time.Time) {
	if !b.any.Load() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[key]
	if s == nil || !sent.After(s.refusedAt) || sent.Before(s.askedUntil) {
		return
	}
	s.refusals, s.avoidedUntil = 0, time.Time{}
	if s.maxTrials *= 2; s.maxTrials >= fullTrials {
		b.remove(key)
	}
}

// remove removes a server. The caller holds the lock.
func (b *Backoffs) remove(key Key) {
	delete(b.servers, key)
	b.any.Store(len(b.servers) > 0)
}

// State is whether a server may get a request now.
type State struct {
	Blocked bool      // it must not: it asked for that, or is coming back from it
	Avoided bool      // others are preferred
	Until   time.Time // when that may change
}

// Check returns the state of a server.
func (b *Backoffs) Check(key Key, now time.Time) State {
	if !b.any.Load() {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.check(key, now)
}

// check returns the state of a server. The caller holds the lock.
func (b *Backoffs) check(key Key, now time.Time) State {
	s := b.servers[key]
	switch {
	case s == nil:
		return State{}
	case now.Before(s.askedUntil):
		return State{Blocked: true, Until: s.askedUntil}
	case now.Sub(s.end()) > expiry && s.trials == 0:
		b.remove(key)
		return State{}
	case now.Before(s.avoidedUntil):
		return State{Avoided: true, Until: s.avoidedUntil}
	case s.trials >= s.maxTrials:
		return State{Blocked: s.asked, Avoided: !s.asked, Until: now.Add(trialWait)}
	}
	return State{}
}

// Trial is a request to a server that refused others and has not recovered.
type Trial struct {
	backoffs *Backoffs
	key      Key
}

// Begin takes a request to a server, and reports whether it may be sent. The trial is nil
// unless the server has refused others lately.
func (b *Backoffs) Begin(key Key, now time.Time) (*Trial, bool) {
	if !b.any.Load() {
		return nil, true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.check(key, now).Blocked {
		return nil, false
	}
	s := b.servers[key]
	if s == nil {
		return nil, true
	}
	s.trials++
	return &Trial{backoffs: b, key: key}, true
}

// End records that the server has answered the request, or that there will be no answer. Calls
// after the first have no effect. A nil trial has none.
func (t *Trial) End() {
	if t == nil || t.backoffs == nil {
		return
	}
	b := t.backoffs
	t.backoffs = nil
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[t.key]; s != nil && s.trials > 0 {
		s.trials--
	}
}

// Paused returns the number of servers that want no request now.
func (b *Backoffs) Paused(now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, s := range b.servers {
		if now.Before(s.askedUntil) {
			n++
		}
	}
	return n
}
