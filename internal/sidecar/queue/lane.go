package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// idleCredit is the service time that a workspace may save up while it is idle:
// requests that it sends inside its rate come in clumps.
const idleCredit = 500 * time.Millisecond

// lanes are indexed by class.
const (
	laneUrgent = iota
	laneDeferrable
	laneCount
)

func laneOf(priority wire.Priority) int {
	if priority == wire.Priority_PRIORITY_DEFERRABLE {
		return laneDeferrable
	}
	return laneUrgent
}

// waiter is a request in the queue.
type waiter struct {
	flow     *flow
	lane     int
	prompt   int64 // tokens of the prompt
	missing  int64 // of these, those expected to be computed
	enqueued time.Time
	ready    chan struct{} // closed when granted or evicted
	evicted  string        // reason, if taken out of the queue
	granted  bool
}

// flow is a workspace's share of a lane.
type flow struct {
	workspace string
	weight    float64 // the workspace's rate, in tokens per second
	counter   float64 // tokens served, divided by weight
	waiting   []*waiter
	running   int
}

func (f *flow) head() *waiter { return f.waiting[0] }

// busy says whether the flow has requests that wait or run.
func (f *flow) busy() bool { return f.running > 0 || len(f.waiting) > 0 }

func (f *flow) charge(tokens int64) { f.counter += float64(tokens) / f.weight }

func (f *flow) pop() *waiter {
	first := f.waiting[0]
	f.waiting[0] = nil
	f.waiting = f.waiting[1:]
	if len(f.waiting) == 0 {
		f.waiting = nil
	}
	return first
}

// remove takes w out and says whether it was there.
func (f *flow) remove(w *waiter) bool {
	for i, candidate := range f.waiting {
		if candidate == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// lane holds the flows of one class.
type lane struct {
	flows   map[string]*flow
	backlog []*flow // flows with waiting requests, in no order
	floor   float64 // counter of the flow served last; only grows
	marks   marks   // of floor
	waiting int
	running int
	// indebted says that idle flows are kept for the tokens that they were served
	// beyond the others.
	indebted bool
	service  average // time that a request occupies a slot
}

// marks remembers floor as it was one to two times idleCredit ago.
type marks struct {
	at     time.Time
	newer  float64
	former float64
}

func (m *marks) update(now time.Time, floor float64) {
	if now.Sub(m.at) < idleCredit {
		return
	}
	m.former = m.newer
	m.newer = floor
	m.at = now
}

// flow returns the workspace's flow.
func (l *lane) flow(workspace string, weight int64) *flow {
	f, ok := l.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace}
		l.flows[workspace] = f
	}
	f.weight = float64(max(weight, 1))
	return f
}

// push adds a request. A flow that was idle starts a little below the counter of
// those that are served now, so that little idle time can be saved up.
func (l *lane) push(w *waiter) {
	f := w.flow
	if len(f.waiting) == 0 {
		l.marks.update(w.enqueued, l.floor)
		f.counter = max(f.counter, l.marks.former)
		l.backlog = append(l.backlog, f)
	}
	f.waiting = append(f.waiting, w)
	l.waiting++
}

// fairest returns the flow that was served least among those whose first request
// was not enqueued after a time, or nil.
func (l *lane) fairest(until time.Time) *flow {
	var best *flow
	for _, f := range l.backlog {
		if f.head().enqueued.After(until) {
			continue
		}
		if best == nil || f.counter < best.counter {
			best = f
		}
	}
	return best
}

// take removes the first request of a flow.
func (l *lane) take(f *flow, now time.Time) *waiter {
	w := f.pop()
	l.marks.update(now, l.floor)
	l.floor = max(l.floor, f.counter)
	l.taken(f)
	return w
}

// drop removes a request that won't run.
func (l *lane) drop(w *waiter) bool {
	if !w.flow.remove(w) {
		return false
	}
	l.taken(w.flow)
	return true
}

func (l *lane) taken(f *flow) {
	l.waiting--
	if len(f.waiting) > 0 {
		return
	}
	for i, candidate := range l.backlog {
		if candidate == f {
			last := len(l.backlog) - 1
			l.backlog[i] = l.backlog[last]
			l.backlog[last] = nil
			l.backlog = l.backlog[:last]
			return
		}
	}
}

// release forgets a flow that is idle and owes nothing. When nothing waits in
// the lane, nobody is owed anything, and all idle flows are forgotten.
func (l *lane) release(f *flow) {
	if f.busy() {
		return
	}
	switch {
	case l.waiting == 0 && l.indebted:
		l.forgetIdle()
	case l.waiting == 0 || f.counter <= l.marks.former:
		delete(l.flows, f.workspace)
	default:
		l.indebted = true
	}
}

func (l *lane) forgetIdle() {
	l.indebted = false
	for workspace, f := range l.flows {
		if !f.busy() {
			delete(l.flows, workspace)
		}
	}
}

// ahead returns how many requests of the lane are served before a new one of
// the flow: from each other flow at most as many, by weight, as from its own.
func (l *lane) ahead(own *flow) float64 {
	position := float64(len(own.waiting) + 1)
	total := float64(len(own.waiting))
	for _, f := range l.backlog {
		if f != own {
			total += min(float64(len(f.waiting)), position*f.weight/own.weight)
		}
	}
	return total
}

// largest returns the flow with the most waiting requests for its weight.
func (l *lane) largest() *flow {
	var worst *flow
	for _, f := range l.backlog {
		if worst == nil || f.share() > worst.share() {
			worst = f
		}
	}
	return worst
}

// share is the number of waiting requests for the flow's weight.
func (f *flow) share() float64 { return float64(len(f.waiting)) / f.weight }

// oldest returns the time at which the oldest request was enqueued.
func (l *lane) oldest() (time.Time, bool) {
	var first time.Time
	for _, f := range l.backlog {
		if enqueued := f.head().enqueued; first.IsZero() || enqueued.Before(first) {
			first = enqueued
		}
	}
	return first, !first.IsZero()
}
