package fleet

import (
	"slices"
	"time"
)

const (
	// paceSmoothing is the least weight of a new interval in a server's pace. The last 17 or so
	// count, which a gateway sees within one to four seconds.
	paceSmoothing = 0.06
	// maxInterval bounds the interval that counts, so that one stream that stalls changes a
	// pace by a bounded step.
	maxInterval = time.Second
	// minIntervals is the number of intervals from which a pace is known.
	minIntervals = 5
	// minPacedServers is the number of servers with a known pace from which they are compared.
	minPacedServers = 5
	// paceTTL is the time without events after which a pace is forgotten. Placement may send a
	// server that was disrupted when its streams ended nothing more; a server that really is
	// slow gets a few requests and is found slow again.
	paceTTL = 30 * time.Second
	// speedInterval is the time between two comparisons of a service's servers.
	speedInterval = 100 * time.Millisecond
	// minSpeed and maxSpeed bound a relative speed.
	minSpeed, maxSpeed = 0.3, 2.0
	// unevenRatio is the ratio of the fastest fifth's speed to that of the slowest fifth from
	// which speeds are used. Below it the differences come from the servers' load.
	unevenRatio = 1.8
)

// pace is a moving average of the time between two events of a server's streams. It is
// averaged over events and not over time: a slow server gets few requests, and must not be
// forgotten for that.
type pace struct {
	ms        float64
	intervals int
	latest    time.Time // event
}

func (p *pace) add(interval time.Duration, events int, now time.Time) {
	if now.Sub(p.latest) >= paceTTL {
		*p = pace{}
	}
	p.latest = now
	ms := float64(min(interval, time.Duration(events)*maxInterval)) / float64(time.Millisecond) / float64(events)
	p.intervals++
	p.ms += (ms - p.ms) * max(paceSmoothing, 1/float64(p.intervals))
}

func (p *pace) known(now time.Time) bool {
	return p.intervals >= minIntervals && p.ms > 0 && now.Sub(p.latest) < paceTTL
}

// RecordInterval records that a server's stream brought a number of events, and the time
// since the ones before.
func (f *Fleet) RecordInterval(id string, interval time.Duration, events int, now time.Time) {
	if events <= 0 || interval < 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(id).pace.add(interval, events, now)
}

// speeds compares the paces of a service's servers.
type speeds struct {
	updated time.Time
	uneven  bool // the servers differ, so that their speeds are used
	scratch []float64
}

// update sets the speeds of the servers relative to the median pace. The caller holds the
// lock of the fleet.
//
// It answers the load in which servers of different speeds, some of them disrupted for half
// a second, get equal shares: most late responses then come from the slow ones.
func (v *speeds) update(servers []viewedServer, now time.Time) {
	if now.Sub(v.updated) < speedInterval {
		return
	}
	v.updated = now
	known := v.scratch[:0]
	for i := range servers {
		if p := &servers[i].state.pace; p.known(now) {
			known = append(known, p.ms)
		}
	}
	v.scratch = known
	if len(known) < minPacedServers {
		v.uneven = false
		return
	}
	slices.Sort(known)
	median, fifth := known[len(known)/2], len(known)/5
	v.uneven = known[len(known)-1-fifth] >= unevenRatio*known[fifth]
	for i := range servers {
		servers[i].state.setSpeed(median, now)
	}
}

func (s *serverState) setSpeed(medianMs float64, now time.Time) {
	s.speed = 0
	if s.pace.known(now) {
		s.speed = min(maxSpeed, max(minSpeed, medianMs/s.pace.ms))
	}
}
