package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// FillLoad sets the queue's fields of a load report.
func (q *Queue) FillLoad(load *wire.Load) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	load.Queued = uint32(q.waitingLocked())
	load.Running = uint32(q.running)
	load.BacklogTokens = q.backlogTokens[laneUrgent] + q.backlogTokens[laneDeferrable]
	load.UrgentBacklogTokens = q.backlogTokens[laneUrgent]
	load.OldestWaitMs = q.maxAgeLocked(now).Milliseconds()
	load.DrainMs = q.drainTimeLocked().Milliseconds()
}

// Status returns the state of the queue for operators.
func (q *Queue) Status() *wire.QueueStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &wire.QueueStatus{
		Urgent:     uint32(q.lanes[laneUrgent].waiting),
		Deferrable: uint32(q.lanes[laneDeferrable].waiting),
		OldestMs:   q.maxAgeLocked(time.Now()).Milliseconds(),
		DrainMs:    q.drainTimeLocked().Milliseconds(),
		PileUp:     q.monitor.piledUp,
	}
}

// Slots returns the maximum number of running requests.
func (q *Queue) Slots() int { return q.slots }

func (q *Queue) waitingLocked() int {
	return q.lanes[laneUrgent].waiting + q.lanes[laneDeferrable].waiting
}

func (q *Queue) maxAgeLocked(now time.Time) time.Duration {
	var age time.Duration
	for i := range q.lanes {
		age = max(age, q.lanes[i].age(now))
	}
	return age
}

// age returns how long the oldest request of the lane has waited.
func (l *lane) age(now time.Time) time.Duration {
	first, ok := l.oldestEnqueued()
	if !ok {
		return 0
	}
	return now.Sub(first)
}

// drainTimeLocked estimates the time until all waiting requests have started.
func (q *Queue) drainTimeLocked() time.Duration {
	var work time.Duration
	for i := range q.lanes {
		l := &q.lanes[i]
		work += l.serviceTime.total(float64(l.waiting))
	}
	return work / time.Duration(q.slots)
}

// expectedWaitLocked estimates the wait of a new request of a flow.
func (q *Queue) expectedWaitLocked(own *flow, laneIndex int) time.Duration {
	l := &q.lanes[laneIndex]
	if q.hasSlotLocked(laneIndex) && l.waiting == 0 {
		return 0
	}
	work := l.serviceTime.total(l.requestsAhead(own))
	if laneIndex == laneDeferrable {
		urgent := &q.lanes[laneUrgent]
		work += urgent.serviceTime.total(float64(urgent.waiting))
	}
	return work/time.Duration(q.slots) + q.nextReleaseLocked()
}

// hasSlotLocked reports whether a slot is free for a request of the lane.
func (q *Queue) hasSlotLocked(laneIndex int) bool {
	if laneIndex == laneDeferrable && q.lanes[laneIndex].running >= q.slots-q.reserved {
		return false
	}
	return q.running < q.slots
}

// nextReleaseLocked estimates the time until a slot becomes free from the running
// requests. It returns 0 if a lane has running requests but no completed one.
func (q *Queue) nextReleaseLocked() time.Duration {
	var perSecond float64
	for i := range q.lanes {
		l := &q.lanes[i]
		if l.running > 0 && l.serviceTime.seconds == 0 {
			return 0
		}
		if l.running > 0 {
			perSecond += float64(l.running) / l.serviceTime.seconds
		}
	}
	if perSecond == 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / perSecond)
}
