// Package retrybudget bounds how many attempts beyond the first a service gets,
// over all gateways together.
//
// The load pattern it answers: a service that fails under load and is failed by
// the repeats of its callers. Each gateway may repeat a share of its own requests,
// and its part of a fixed allowance, in each window; so the parts add up to the
// operators' bound without a word between gateways.
package retrybudget

import (
	"sync"
	"time"
)

// Bound is the operators' bound for each service.
type Bound struct {
	Ratio  float64       // of the requests in a window
	Window time.Duration // sliding
	Slack  float64       // attempts in a window, over all gateways
}

// slices is the number of parts that a window is counted in.
const slices = 10

// caution is the part of the bound that is used: requests are counted where they
// arrive, repeats where they are sent, and a window of the operators' may hold one
// slice more than one of ours.
const caution = 0.8

// Budget is one gateway's part. It is safe for concurrent use.
type Budget struct {
	bound Bound
	start time.Time

	mu       sync.Mutex
	gateways int
	services map[string]*window
}

// window counts by slices of time.
type window struct {
	slice    int64 // number of the newest one
	requests [slices]float64
	repeats  [slices]float64
}

// New returns a Budget for one gateway.
func New(bound Bound, now time.Time) *Budget {
	return &Budget{bound: bound, start: now, gateways: 1, services: make(map[string]*window)}
}

// SetBound changes the bound. A new window starts the counts anew.
func (b *Budget) SetBound(bound Bound) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bound.Window != b.bound.Window {
		clear(b.services)
	}
	b.bound = bound
}

// SetGateways sets the number of gateways that share the fixed allowance.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.gateways = max(1, n)
}

// Request notes a client's request to a service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	w.requests[w.index()]++
}

// Repeat spends one attempt beyond the first, or says that none is left.
func (b *Budget) Repeat(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bound.Window <= 0 {
		return true
	}
	w := b.window(service, now)
	allowed := caution * (b.bound.Ratio*sum(&w.requests) + b.bound.Slack/float64(b.gateways))
	if sum(&w.repeats)+1 > allowed {
		return false
	}
	w.repeats[w.index()]++
	return true
}

// window returns the counters of a service, moved on to now. The caller holds
// the lock.
func (b *Budget) window(service string, now time.Time) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	if b.bound.Window <= 0 {
		return w
	}
	newest := int64(now.Sub(b.start) * slices / b.bound.Window)
	for ; w.slice < newest; w.slice++ {
		next := (w.slice + 1) % slices
		w.requests[next], w.repeats[next] = 0, 0
		if newest-w.slice > 2*slices {
			w.slice = newest - slices - 1
		}
	}
	return w
}

func (w *window) index() int64 { return w.slice % slices }

func sum(counts *[slices]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
