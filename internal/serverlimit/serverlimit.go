// Package serverlimit keeps to the limits that backend servers name in their responses:
// the requests a second that a server takes from all gateways together.
//
// The gateways divide a limit without a call for each request. All of them know the same
// gateways, so a hash chooses the ones that use a limited server, at most a few more than
// its limit, and each of these has an equal share. The shares and what each may save up
// for a burst add up to no more than the operators' bound.
package serverlimit

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxLimit is the highest limit that counts, in requests a second. A higher value is
	// malformed.
	maxLimit = 1_000_000
	// maxText bounds the text of a limit.
	maxText = 24
	// endAfter is the time after a limit was named before responses without one end it, and
	// endResponses the number of these in a row. A single response may lack it.
	endAfter     = 3 * time.Second
	endResponses = 2
	// expiry is how long a limit holds that neither is named again nor ends.
	expiry = time.Minute
	// extraUsers and extraBurst are the gateways beyond twice the limit that may use a
	// server, and the requests beyond the limit that all of them may save up.
	extraUsers = 3
	extraBurst = 3
	// tellTime is how long a change is told to the other gateways, and tellInterval the time
	// until a limit that is still named is told again.
	tellTime     = time.Second
	tellInterval = 10 * time.Second
	// maxTold bounds the limits in one message.
	maxTold = 256
)

// Parse returns the limit in a header's text, in requests a second: a positive decimal
// number.
func Parse(text string) (limit float64, ok bool) {
	if len(text) > maxText || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !valid(limit) {
		return 0, false
	}
	return limit, true
}

func valid(limit float64) bool { return limit > 0 && limit <= maxLimit }

// server is a server that has named a limit.
type server struct {
	incarnation int64
	limit       float64   // 0: ended
	named       time.Time // last
	ended       time.Time
	unnamed     int // responses in a row without a limit

	users    int     // gateways that use it
	share    float64 // of this gateway, requests a second; 0: it does not use the server
	saved    float64 // requests that this gateway may send now
	savedAt  time.Time
	toldFrom time.Time // the others are told from then for tellTime
}

// Limits holds the limits of the servers, and this gateway's shares. It is safe for
// concurrent use.
type Limits struct {
	self   string
	meters meters
	any    atomic.Bool // a server is known that has named a limit

	mu       sync.Mutex
	gateways []string
	servers  map[string]*server // by id
}

// New returns the Limits of the gateway at address self.
func New(self string) *Limits {
	l := &Limits{self: self, servers: make(map[string]*server)}
	l.meters = newMeters(l)
	return l
}

// SetGateways sets the addresses of the other gateways that share the limits.
func (l *Limits) SetGateways(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.gateways, addresses) {
		return
	}
	l.gateways = addresses
	for id, s := range l.servers {
		l.divide(id, s)
	}
}

// Prune removes the servers for which listed returns another incarnation or none.
func (l *Limits) Prune(listed func(id string) (incarnation int64, ok bool)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, s := range l.servers {
		if incarnation, ok := listed(id); !ok || incarnation != s.incarnation {
			delete(l.servers, id)
		}
	}
	l.any.Store(len(l.servers) > 0)
}

// RecordNamed records that a server has named a limit in a response.
func (l *Limits) RecordNamed(id string, incarnation int64, limit float64, now time.Time) {
	if !valid(limit) {
		l.RecordMalformed()
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.name(id, incarnation, limit, now, now)
	if s := l.servers[id]; now.Sub(s.toldFrom) > tellInterval {
		s.toldFrom = now
	}
}

// Observe records the limit in the values of a response's header. Without a value the
// response names none.
func (l *Limits) Observe(id string, incarnation int64, values []string, now time.Time) {
	if len(values) == 0 {
		l.RecordUnnamed(id, incarnation, now)
		return
	}
	limit, _ := Parse(values[0]) // 0 if malformed
	l.RecordNamed(id, incarnation, limit, now)
}

// Rate returns the limit of a server in requests a second, or 0 if it has none.
func (l *Limits) Rate(id string, now time.Time) float64 {
	if !l.any.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.servers[id]; s != nil && s.holds(now) {
		return s.limit
	}
	return 0
}

// RecordMalformed counts a limit that is no positive number. It changes no limit.
func (l *Limits) RecordMalformed() { l.meters.countMalformed() }

// RecordUnnamed records a response without a limit.
func (l *Limits) RecordUnnamed(id string, incarnation int64, now time.Time) {
	if !l.any.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || s.incarnation != incarnation || s.limit == 0 {
		return
	}
	s.unnamed++
	if s.unnamed >= endResponses && now.Sub(s.named) > endAfter {
		l.end(id, s, now)
		s.toldFrom = now
	}
}

// name records a limit that was named at a time. The caller holds the lock.
func (l *Limits) name(id string, incarnation int64, limit float64, named, now time.Time) {
	s := l.servers[id]
	if s == nil || s.incarnation != incarnation {
		s = &server{incarnation: incarnation, savedAt: now}
		l.servers[id] = s
		l.any.Store(true)
	}
	if !named.After(s.named) || !named.After(s.ended) {
		return
	}
	s.named, s.unnamed = named, 0
	if s.limit != limit {
		s.limit, s.toldFrom = limit, now
		l.divide(id, s)
		logLimit(id, limit, s.users, s.share)
	}
}

// end ends a limit. The caller holds the lock.
func (l *Limits) end(id string, s *server, at time.Time) {
	s.limit, s.ended, s.unnamed, s.saved = 0, at, 0, 0
	logEnd(id)
}

// divide sets this gateway's share of a server's limit. The caller holds the lock.
func (l *Limits) divide(id string, s *server) {
	s.users, s.share = 1, 0
	before, others := 0, 0
	own := xxhash.Sum64String(l.self + "/" + id)
	for _, address := range l.gateways {
		if address == l.self {
			continue
		}
		others++
		if xxhash.Sum64String(address+"/"+id) < own {
			before++
		}
	}
	s.users = min(1+others, int(2*s.limit)+extraUsers)
	if before < s.users {
		s.share = s.limit / float64(s.users)
	}
}

// Wait returns the time until this gateway may send a request to a server. A gateway that
// does not use the server gets the time in which others may.
func (l *Limits) Wait(id string, now time.Time) time.Duration {
	if !l.any.Load() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.holds(now) {
		return 0
	}
	if s.share == 0 {
		return seconds(1 / s.limit)
	}
	s.refill(now)
	if s.saved >= 1 {
		return 0
	}
	return seconds((1 - s.saved) / s.share)
}

func seconds(n float64) time.Duration {
	return time.Duration(min(n, expiry.Seconds()) * float64(time.Second))
}

// Take takes a request from this gateway's share, and reports whether there was one.
func (l *Limits) Take(id string, now time.Time) bool {
	if l.Wait(id, now) > 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[id]
	if s == nil || !s.holds(now) {
		return true
	}
	if s.saved < 1 {
		return false // another request took it meanwhile
	}
	s.saved--
	return true
}

// holds reports whether the limit is in force.
func (s *server) holds(now time.Time) bool { return s.limit > 0 && now.Sub(s.named) < expiry }

// refill adds what this gateway's share has allowed since the last call.
func (s *server) refill(now time.Time) {
	if elapsed := now.Sub(s.savedAt); elapsed > 0 {
		most := max(1, (s.limit+extraBurst)/float64(s.users))
		s.saved = math.Min(most, s.saved+elapsed.Seconds()*s.share)
	}
	s.savedAt = now
}

// Limited returns the number of limits in force.
func (l *Limits) Limited(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	limited := 0
	for _, s := range l.servers {
		if s.holds(now) {
			limited++
		}
	}
	return limited
}
