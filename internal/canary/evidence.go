package canary

import (
	"math"
	"time"
)

const (
	// Buckets is the number of buckets of a Histogram, bucketsPerOctave those in which the
	// time doubles: from 1 ms to a minute.
	Buckets          = 48
	bucketsPerOctave = 3
	// maxCrashed bounds the servers of a side whose crashes are counted.
	maxCrashed = 32
	// maxCount bounds the counts in a report. One of more is malformed.
	maxCount = 1 << 40
)

// Histogram counts times in buckets of a constant ratio.
type Histogram [Buckets]uint32

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(Buckets-1, int(bucketsPerOctave*math.Log2(ms)))
}

// Add counts a time.
func (h *Histogram) Add(d time.Duration) { h[bucketOf(d)]++ }

func (h *Histogram) total() (n float64) {
	for _, count := range h {
		n += float64(count)
	}
	return n
}

// median returns the median as a position on the scale of the buckets.
func (h *Histogram) median() float64 {
	half, sum := h.total()/2, 0.0
	for i, count := range h {
		if next := sum + float64(count); next >= half && count > 0 {
			return float64(i) + (half-sum)/float64(count)
		}
		sum += float64(count)
	}
	return 0
}

// above returns the number of times above a position, with a part of the bucket it lies in.
func (h *Histogram) above(position float64) (n float64) {
	for i, count := range h {
		n += float64(count) * min(1, max(0, float64(i+1)-position))
	}
	return n
}

// Counts are the responses of one side on one route.
type Counts struct {
	Responses uint64    // failures included
	Failures  uint64    //
	First     Histogram // times to the first byte or event
	Gaps      Histogram // mean times between events
}

// Evidence is what one gateway, or all together, saw of an order.
type Evidence struct {
	Routes  map[string]*[2]Counts
	Crashed [2]map[uint64]struct{} // servers whose processes ended under requests
}

// NewEvidence returns an Evidence of nothing.
func NewEvidence() *Evidence {
	return &Evidence{Routes: make(map[string]*[2]Counts), Crashed: [2]map[uint64]struct{}{make(map[uint64]struct{}), make(map[uint64]struct{})}}
}

// Counts returns the counts of a route, those beyond maxRoutes together.
func (e *Evidence) Counts(route string) *[2]Counts {
	counts := e.Routes[route]
	if counts == nil {
		if len(e.Routes) >= maxRoutes {
			route = ""
		}
		if counts = e.Routes[route]; counts == nil {
			counts = &[2]Counts{}
			e.Routes[route] = counts
		}
	}
	return counts
}

// Crash counts the crash of a server once.
func (e *Evidence) Crash(side Side, server uint64) {
	if len(e.Crashed[side]) < maxCrashed {
		e.Crashed[side][server] = struct{}{}
	}
}

// valid reports whether the counts are possible.
func (c *Counts) valid() bool { return c.Responses <= maxCount && c.Failures <= c.Responses }

// before reports whether the counts are those of an earlier process than other.
func (c *Counts) before(other *Counts) bool {
	return c.Responses < other.Responses || c.Failures < other.Failures
}

// replace replaces, in the sum, the counts that a gateway reported before.
func (c *Counts) replace(last, next *Counts) {
	c.Responses += next.Responses - last.Responses
	c.Failures += next.Failures - last.Failures
	for i := range c.First {
		c.First[i] += next.First[i] - last.First[i]
		c.Gaps[i] += next.Gaps[i] - last.Gaps[i]
	}
}

// merge replaces, in the sum e, the evidence last of a gateway by next. Counts that fell are
// those of a new process, which are added to those of the former one.
func (e *Evidence) merge(last, next *Evidence) {
	for route, counts := range next.Routes {
		for side := range counts {
			c := &counts[side]
			if !c.valid() {
				continue
			}
			previous := &last.Counts(route)[side]
			if c.before(previous) {
				*previous = Counts{}
			}
			e.Counts(route)[side].replace(previous, c)
			*previous = *c
		}
	}
	for side, crashed := range next.Crashed {
		for server := range crashed {
			e.Crash(Side(side), server)
		}
	}
}

// faults finds failures that a fault of the network caused: at these moments several old
// servers fail most of their requests too. It keeps counts of short periods.
type faults struct {
	periods [16]faultPeriod
}

type faultPeriod struct {
	number    int64
	responses int
	failures  int
	servers   [2]uint64 // different old servers that failed
}

const (
	// faultPeriodTime is the length of a period.
	faultPeriodTime = 100 * time.Millisecond
	// faultSpan is how long before and after a failure those of old servers are counted:
	// connections that a fault breaks are noticed at different times.
	faultSpan = 3 * faultPeriodTime
)

func periodOf(now time.Time) int64 { return now.UnixMilli() / faultPeriodTime.Milliseconds() }

// record records a response of an old server.
func (f *faults) record(server uint64, failed bool, now time.Time) {
	number := periodOf(now)
	p := &f.periods[number%int64(len(f.periods))]
	if p.number != number {
		*p = faultPeriod{number: number}
	}
	p.responses++
	if !failed {
		return
	}
	p.failures++
	switch {
	case p.servers[0] == 0 || p.servers[0] == server:
		p.servers[0] = server
	default:
		p.servers[1] = server
	}
}

// at reports whether there was a fault of the network around a time.
func (f *faults) at(at time.Time) bool {
	var responses, failures int
	servers := make(map[uint64]struct{}, 4)
	for number := periodOf(at.Add(-faultSpan)); number <= periodOf(at.Add(faultSpan)); number++ {
		p := &f.periods[number%int64(len(f.periods))]
		if p.number != number {
			continue
		}
		responses += p.responses
		failures += p.failures
		for _, server := range p.servers {
			if server != 0 {
				servers[server] = struct{}{}
			}
		}
	}
	return len(servers) >= 2 && 2*failures >= responses
}
