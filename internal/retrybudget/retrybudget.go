// Package retrybudget bounds the number of retries that a service gets from all daemons
// together: from all gateways, or from all routers.
//
// It prevents retries from keeping a service down that fails under load. In each
// window, a daemon may retry a fraction of its own requests plus its share of a fixed
// allowance. The shares add up to the operators' bound without communication between
// daemons, also while processes end and start and clients move between them.
package retrybudget

import (
	"slices"
	"sync"
	"time"
)

// Bound is the operators' bound on the retries of each service.
type Bound struct {
	Ratio  float64       // retries per request in a window
	Window time.Duration // length of the sliding window; 0: no bound
	Slack  float64       // additional retries in a window, over all daemons
}

const (
	// buckets is the number of buckets into which a window is divided.
	buckets = 20
	// keptBuckets is the number of buckets in which retries count. The newest one is not
	// complete, and a retry reaches its server later than it is counted, after a dial at
	// worst, so these span more than a window.
	keptBuckets = buckets + 2
)

const (
	// ratioShare is the fraction of the ratio that is used. The retries of one window may rest
	// on the requests of two: one process retries a burst for requests that it had before, then
	// ends or loses its clients, and another one retries for requests that come later. The
	// bound counts the requests of one window.
	ratioShare = 0.5
	// slackShare is the fraction of the slack that is used. The rest is a margin for
	// processes that start.
	slackShare = 0.8
	// startFraction is the fraction of its share of the slack that a process uses in its
	// first window. The margin bears five restarts of all daemons in a window.
	startFraction = 0.05
)

// absenceTime is how long a daemon that is no longer known keeps its share. It may still
// serve beyond a partition.
const absenceTime = 10 * time.Minute

// Budget is one daemon's share of the bound. It is safe for concurrent use.
type Budget struct {
	bound Bound
	start time.Time

	mu sync.Mutex
	// slackFrom is when the whole share of the slack may be used. A former process at this
	// daemon's address may have spent it within the window before.
	slackFrom time.Time
	daemons   []daemonCount // falling in number, rising in time; not empty
	listed    bool          // the others have known of this daemon
	alone     bool          // SetDaemons was never called
	services  map[string]*window
}

// daemonCount is a number of daemons that were known at a time.
type daemonCount struct {
	number int
	at     time.Time
}

// window is a ring of counters by bucket.
type window struct {
	bucket   int64 // number of the newest bucket since the start
	requests [keptBuckets]float64
	retries  [keptBuckets]float64
}

// New returns the Budget of a process that has just started. It is the only daemon until
// SetDaemons is called.
func New(bound Bound, now time.Time) *Budget {
	return &Budget{
		bound: bound, start: now, slackFrom: now.Add(bound.Window),
		daemons: []daemonCount{{1, now}}, alone: true, services: make(map[string]*window),
	}
}

// SetBound changes the bound. If the length of the window changes, the counts start anew,
// as after a start of the process.
func (b *Budget) SetBound(bound Bound, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bound.Window != b.bound.Window {
		clear(b.services)
		b.slackFrom = now.Add(max(bound.Window, b.bound.Window))
	}
	b.bound = bound
}

// SetDaemons sets the number of known daemons, which share the slack. If it falls, the
// shares grow only after absenceTime. listed says whether the others know of this daemon.
// Until they do, there may be any number like it, and none of them has a share.
func (b *Budget) SetDaemons(n int, listed bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.alone = false
	if listed && !b.listed {
		// Others that are listed after this one may still be missing in n.
		b.listed, b.slackFrom = true, later(b.slackFrom, now.Add(b.bound.Window))
	}
	n = max(1, n)
	b.daemons = slices.DeleteFunc(b.daemons, func(c daemonCount) bool { return c.number <= n || now.Sub(c.at) > absenceTime })
	b.daemons = append(b.daemons, daemonCount{n, now})
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// slack returns this daemon's share of the slack. The caller holds the lock.
func (b *Budget) slack(now time.Time) float64 {
	for len(b.daemons) > 1 && now.Sub(b.daemons[0].at) > absenceTime {
		b.daemons = b.daemons[1:]
	}
	if !b.listed && !b.alone {
		return 0
	}
	share := b.bound.Slack / float64(b.daemons[0].number)
	if now.Before(b.slackFrom) {
		return startFraction * share
	}
	return share
}

// RecordRequest counts a client's request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.index()]++
}

// AllowRetry reports whether a retry is within the budget, and counts it if so.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound.Window <= 0 {
		return true
	}
	w := b.window(service, now)
	allowed := ratioShare*b.bound.Ratio*w.sum(&w.requests, buckets) + slackShare*b.slack(now)
	if w.sum(&w.retries, keptBuckets)+1 > allowed {
		return false
	}
	w.retries[w.index()]++
	return true
}

// window returns the counters of a service, advanced to now. The caller holds the
// lock.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	if b.bound.Window <= 0 {
		return w
	}
	newest := int64(now.Sub(b.start) * buckets / b.bound.Window)
	for ; w.bucket < newest; w.bucket++ {
		next := (w.bucket + 1) % keptBuckets
		w.requests[next], w.retries[next] = 0, 0
		if newest-w.bucket > 2*keptBuckets {
			w.bucket = newest - keptBuckets - 1
		}
	}
	return w
}

// index returns the position of the newest bucket in the ring.
func (w *window) index() int64 { return w.bucket % keptBuckets }

// sum returns the sum of the counts in the newest n buckets.
func (w *window) sum(counts *[keptBuckets]float64, n int64) float64 {
	total := 0.0
	for age := range n {
		total += counts[(w.bucket-age+keptBuckets)%keptBuckets]
	}
	return total
}
