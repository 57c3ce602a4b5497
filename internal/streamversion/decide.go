package streamversion

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// maxOrigins bounds the streams whose versions a process remembers.
	maxOrigins = 1 << 14
	// otherGatewayDelay is sent to clients whose stream another gateway may know, and
	// absentDelay to those that wait for a server or for a move of slots.
	otherGatewayDelay = 50 * time.Millisecond
	absentDelay       = 300 * time.Millisecond
)

// Stream is a request for a stream that can be resumed, or for the rest of one.
type Stream struct {
	Service   string
	ID        string  // of the attempt
	Continues bool    // the client, or this process, has events of it
	Origin    string  // id of the attempt that brought the first event; empty: unknown
	Version   *string // at which this process got its events in this attempt; nil: it got none
}

// Pool is the state of a service at the moment of sending.
type Pool struct {
	Assignment *Assignment    // nil: none is known
	Era        platform.Era   // of the store
	Versions   map[string]int // servers that take requests, by software version
	Confirmed  bool           // Assignment was read from the store after the request arrived
	Outdated   bool           // Assignment may have been replaced longer than ViewMargin ago
	// Allowed reports whether a version may get requests now, Barred whether it never will
	// again; nil: all may.
	Allowed func(version string) bool
	Barred  func(version string) bool
}

// allows reports whether a version may get requests now.
func (p *Pool) allows(version string) bool { return p.Allowed == nil || p.Allowed(version) }

// bars reports whether a version never gets requests again.
func (p *Pool) bars(version string) bool { return p.Barred != nil && p.Barred(version) }

// beginVersion returns the version at which a stream of a slot begins: that of the slot, or
// while that one may get no requests, a former one. Until the slot is settled no gateway takes
// the origin of its streams for known.
func (p *Pool) beginVersion(s *slot) string {
	if p.allows(s.version) {
		return s.version
	}
	for _, version := range s.former {
		if p.Versions[version] > 0 && p.allows(version) {
			return version
		}
	}
	return s.version
}

// Refusal is why a stream may not begin or go on now.
type Refusal uint8

// The refusals.
const (
	NotRefused    Refusal = iota
	NotConfirmed          // a confirmed assignment may tell the version of the stream
	UnknownOrigin         // it is not known which version began the stream
	VersionAbsent         // no server of its version takes requests now
	VersionGone           // its version is not in service any more
)

// String returns the name used in logs and metrics.
func (r Refusal) String() string {
	switch r {
	case NotConfirmed:
		return "not_confirmed"
	case UnknownOrigin:
		return "origin_unknown"
	case VersionAbsent:
		return "version_absent"
	case VersionGone:
		return "version_gone"
	default:
		return "none"
	}
}

// Decision says at which servers a stream may begin or go on.
type Decision struct {
	Any        bool   // at those of any version
	Version    string // else at those of this one
	Refusal    Refusal
	RetryAfter time.Duration // of a refusal; 0: another try can't succeed
}

// Allows reports whether a server of a version may be sent the stream.
func (d *Decision) Allows(version string) bool {
	return d.Refusal == NotRefused && (d.Any || d.Version == version)
}

// Decider decides for the streams of one process. It is safe for concurrent use.
type Decider struct {
	origins *lru.Cache[originKey, origin]
}

type originKey struct{ service, id string }

type origin struct {
	version string
	at      time.Time
}

// NewDecider returns a Decider that knows no streams.
func NewDecider() *Decider {
	origins, err := lru.New[originKey, origin](maxOrigins)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return &Decider{origins: origins}
}

// RecordBegin records the version at which a stream began, when its first event has come.
func (d *Decider) RecordBegin(service, id, version string, now time.Time) {
	if id != "" {
		d.origins.Add(originKey{service, id}, origin{version, now})
	}
}

// Origin returns the version at which a stream began, by the id of the attempt that began it,
// if this process knows it.
func (d *Decider) Origin(service, id string) (version string, known bool) {
	recorded, known := d.origins.Get(originKey{service, id})
	return recorded.version, known && id != ""
}

// Decide decides where a stream may be sent now.
func (d *Decider) Decide(s *Stream, pool *Pool) Decision {
	if s.Version != nil {
		return pin(*s.Version, pool)
	}
	if !s.Continues {
		return begin(s.ID, pool)
	}
	if version, known := d.Origin(s.Service, s.Origin); known {
		decision := pin(version, pool)
		if decision.Refusal == VersionGone && !pool.Confirmed && !pool.bars(version) { // it may have come since the assignment
			decision.Refusal, decision.RetryAfter = NotConfirmed, absentDelay
		}
		return decision
	}
	version, ok := assignedOrigin(s.Origin, pool)
	switch {
	case !ok:
		return Decision{Refusal: UnknownOrigin, RetryAfter: otherGatewayDelay}
	case !pool.Confirmed:
		return Decision{Refusal: NotConfirmed, RetryAfter: absentDelay}
	}
	return pin(version, pool)
}

// assignedOrigin returns the version at which a stream of any gateway began, by the id of
// the attempt that began it.
func assignedOrigin(id string, pool *Pool) (version string, ok bool) {
	a := pool.Assignment
	switch {
	case a == nil || a.Era != pool.Era:
		return "", false
	case id == "":
		return a.slots[0].version, a.Uniform()
	}
	s := &a.slots[slotOf(id)]
	return s.version, s.settled()
}

// begin returns the decision on a stream that begins.
func begin(id string, pool *Pool) Decision {
	if pool.Outdated {
		return Decision{Refusal: NotConfirmed, RetryAfter: absentDelay}
	}
	if pool.Assignment == nil {
		return Decision{Any: true}
	}
	version := pool.beginVersion(&pool.Assignment.slots[slotOf(id)])
	if pool.Versions[version] == 0 || !pool.allows(version) {
		return Decision{Version: version, Refusal: VersionAbsent, RetryAfter: absentDelay}
	}
	return Decision{Version: version}
}

// pin returns the decision on a stream that began at a version.
func pin(version string, pool *Pool) Decision {
	switch {
	case pool.bars(version):
		return Decision{Version: version, Refusal: VersionGone}
	case pool.Versions[version] > 0 && pool.allows(version):
		return Decision{Version: version}
	case pool.Assignment != nil && pool.Assignment.Shares()[version] == 0:
		return Decision{Version: version, Refusal: VersionGone}
	}
	return Decision{Version: version, Refusal: VersionAbsent, RetryAfter: absentDelay}
}
