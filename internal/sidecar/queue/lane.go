package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// idleCredit bounds the advantage that a workspace gains while it is idle: a
// workspace that stays within its rate still sends requests in bursts.
const idleCredit = 500 * time.Millisecond

// Indexes of the lanes, one for each class.
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
	prefill  int64 // prompt tokens that the backend server is expected to compute
	enqueued time.Time
	ready    chan struct{} // closed when granted or evicted
	evicted  string        // reason, if evicted
	granted  bool
}

// flow holds the requests of one workspace in a lane.
type flow struct {
	workspace string
	weight    float64 // the workspace's rate, in tokens per second
	counter   float64 // tokens served, divided by weight
	waiting   []*waiter
	running   int
}

func (f *flow) head() *waiter { return f.waiting[0] }

// busy reports whether the flow has waiting or running requests.
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

// remove deletes w and reports whether it was waiting.
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
	backlog []*flow      // flows with waiting requests, unordered
	floor   float64      // highest counter at which a flow was served
	history floorHistory // past values of floor
	waiting int
	running int
	// idleRetained is set while there may be idle flows that were served more than
	// the others. They are kept so that their counters still count.
	idleRetained bool
	serviceTime  average // time for which a request occupies a slot
}

// floorHistory holds past values of a lane's floor. With frequent updates, older
// is the floor as it was one to two times idleCredit ago.
type floorHistory struct {
	updated time.Time
	recent  float64
	older   float64
}

func (h *floorHistory) update(now time.Time, floor float64) {
	if now.Sub(h.updated) < idleCredit {
		return
	}
	h.older = h.recent
	h.recent = floor
	h.updated = now
}

// flow returns the workspace's flow, creating it if needed.
func (l *lane) flow(workspace string, weight int64) *flow {
	f, ok := l.flows[workspace]
	if !ok {
		f = &flow{workspace: workspace}
		l.flows[workspace] = f
	}
	f.weight = float64(max(weight, 1))
	return f
}

// push adds a request. The counter of a flow that had none waiting is raised to
// slightly below those served now, so that idle time gives it little advantage.
func (l *lane) push(w *waiter) {
	f := w.flow
	if len(f.waiting) == 0 {
		l.history.update(w.enqueued, l.floor)
		f.counter = max(f.counter, l.history.older)
		l.backlog = append(l.backlog, f)
	}
	f.waiting = append(f.waiting, w)
	l.waiting++
}

// leastServed returns the flow with the lowest counter among those whose first
// request was enqueued by the given time, or nil if there is none.
func (l *lane) leastServed(enqueuedBy time.Time) *flow {
	var best *flow
	for _, f := range l.backlog {
		if f.head().enqueued.After(enqueuedBy) {
			continue
		}
		if best == nil || f.counter < best.counter {
			best = f
		}
	}
	return best
}

// dequeue removes and returns the first request of a flow.
func (l *lane) dequeue(f *flow, now time.Time) *waiter {
	w := f.pop()
	l.history.update(now, l.floor)
	l.floor = max(l.floor, f.counter)
	l.removed(f)
	return w
}

// removeWaiter removes a request that won't run and reports whether it was waiting.
func (l *lane) removeWaiter(w *waiter) bool {
	if !w.flow.remove(w) {
		return false
	}
	l.removed(w.flow)
	return true
}

func (l *lane) removed(f *flow) {
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

// prune deletes the flow if it is idle and its counter is not ahead. When nothing
// waits in the lane, no flow is behind, and all idle flows are deleted.
func (l *lane) prune(f *flow) {
	if f.busy() {
		return
	}
	switch {
	case l.waiting == 0 && l.idleRetained:
		l.deleteIdle()
	case l.waiting == 0 || f.counter <= l.history.older:
		delete(l.flows, f.workspace)
	default:
		l.idleRetained = true
	}
}

func (l *lane) deleteIdle() {
	l.idleRetained = false
	for workspace, f := range l.flows {
		if !f.busy() {
			delete(l.flows, workspace)
		}
	}
}

// ahead estimates how many waiting requests of the lane are served before a new
// one of the flow: of each other flow at most as many, by weight, as of its own.
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

// best returns the flow with the most waiting requests relative to its
// weight, or nil if none waits.
func (l *lane) best() *flow {
	var largest *flow
	for _, f := range l.backlog {
		if largest == nil || f.share() > largest.share() {
			largest = f
		}
	}
	return largest
}

// share returns the number of waiting requests relative to the flow's weight.
func (f *flow) share() float64 { return float64(len(f.waiting)) / f.weight }

// oldest returns the time at which the oldest waiting request was enqueued, and
// false if none waits.
func (l *lane) oldest() (time.Time, bool) {
	var first time.Time
	for _, f := range l.backlog {
		if enqueued := f.head().enqueued; first.IsZero() || enqueued.Before(first) {
			first = enqueued
		}
	}
	return first, !first.IsZero()
}
