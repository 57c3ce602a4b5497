package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// idleCredit is the service time that a workspace can save up while it is idle. It
// is above 0 because requests within a workspace's rate arrive in bursts.
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
	flows        map[string]*flow
	waitingFlows []*flow      // flows with waiting requests, unordered
	floor        float64      // highest counter at which a flow was served
	history      floorHistory // past values of floor
	waiting      int
	running      int
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
		l.waitingFlows = append(l.waitingFlows, f)
	}
	f.waiting = append(f.waiting, w)
	l.waiting++
}

// leastServed returns the flow with the lowest counter among those whose first
// request was enqueued by the given time, or nil if there is none.
func (l *lane) leastServed(enqueuedBy time.Time) *flow {
	var best *flow
	for _, f := range l.waitingFlows {
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
	l.updateAfterRemoval(f)
	return w
}

// removeWaiter removes a request that won't run and reports whether it was waiting.
func (l *lane) removeWaiter(w *waiter) bool {
	if !w.flow.remove(w) {
		return false
	}
	l.updateAfterRemoval(w.flow)
	return true
}

// updateAfterRemoval updates the lane after a waiting request of f was removed.
func (l *lane) updateAfterRemoval(f *flow) {
	l.waiting--
	if len(f.waiting) > 0 {
		return
	}
	for i, candidate := range l.waitingFlows {
		if candidate == f {
			last := len(l.waitingFlows) - 1
			l.waitingFlows[i] = l.waitingFlows[last]
			l.waitingFlows[last] = nil
			l.waitingFlows = l.waitingFlows[:last]
			return
		}
	}
}

// prune deletes the flow if it is idle and was not served more than the others.
// When nothing waits in the lane, past service no longer counts, and all idle
// flows are deleted.
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

// requestsAhead estimates how many waiting requests of the lane are served before
// a new one of the flow: of each other flow at most as many, by weight, as of its
// own.
func (l *lane) requestsAhead(own *flow) float64 {
	position := float64(len(own.waiting) + 1)
	total := float64(len(own.waiting))
	for _, f := range l.waitingFlows {
		if f != own {
			total += min(float64(len(f.waiting)), position*f.weight/own.weight)
		}
	}
	return total
}

// longest returns the flow with the greatest weighted length, or nil if no request
// waits.
func (l *lane) longest() *flow {
	var largest *flow
	for _, f := range l.waitingFlows {
		if largest == nil || f.weightedLength() > largest.weightedLength() {
			largest = f
		}
	}
	return largest
}

// weightedLength returns the number of waiting requests divided by the weight.
func (f *flow) weightedLength() float64 { return float64(len(f.waiting)) / f.weight }

// oldestEnqueued returns the time at which the oldest waiting request was enqueued,
// and false if none waits.
func (l *lane) oldestEnqueued() (time.Time, bool) {
	var first time.Time
	for _, f := range l.waitingFlows {
		if enqueued := f.head().enqueued; first.IsZero() || enqueued.Before(first) {
			first = enqueued
		}
	}
	return first, !first.IsZero()
}
