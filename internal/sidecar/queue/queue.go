package queue

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("queue")

const (
	// startsPerAged is the number of starts per start of an aged request: while
	// urgent requests wait, one start of this many goes to a deferrable request
	// that has waited for longer than the ageing bound.
	startsPerAged = 4
	// minRetryAfter is the minimum Retry-After of a refusal.
	minRetryAfter = time.Second
)

// Reasons of refusals, in error messages, logs and metrics.
const (
	reasonExpectedWait = "expected wait"
	reasonFull         = "queue full"
	reasonDeadline     = "deadline"
	reasonCancelled    = "cancelled"
	reasonDraining     = "leaving"
	reasonLimit        = "limit of the backend server"
	reasonPause        = "the backend server wants none"
)

// Queue is a job.Filter that limits the number of running requests and orders
// those that wait. It is safe for concurrent use.
type Queue struct {
	slots       int
	reserved    int // slots that deferrable requests leave free
	maxWaiting  int
	ageingBound time.Duration // wait after which a deferrable request counts as aged
	metrics     metrics
	limits      *serverlimit.Limits     // of the backend server
	backoffs    *serverbackoff.Backoffs // of the backend server

	mu            sync.Mutex
	lanes         [laneCount]lane
	running       int
	urgentStarts  int              // starts from the urgent lane since the last aged request started
	backlogTokens [laneCount]int64 // prompt tokens still to be computed, by lane
	monitor       monitor
	wake          *time.Timer // set while requests wait for the backend server's limit
}

// Name implements job.Filter.
func (q *Queue) Name() string { return "queue" }

// Handle implements job.Filter. It waits for a slot, in fair order. Its refusals
// have verdict NotRun.
func (q *Queue) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	if err := q.pauseError(j, time.Now()); err != nil {
		return nil, err
	}
	slot, err := q.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	defer slot.release()
	sent := time.Now()
	trial, ok := q.backoffs.Begin(backendKey, sent)
	if !ok {
		return nil, q.pauseError(j, sent)
	}
	defer trial.End()
	emit := j.Emit
	j.Emit = slot.countingEmit(emit)
	defer func() { j.Emit = emit }()
	outcome, failure := next.Handle(ctx, j)
	slot.recordOutcome(outcome, failure)
	if failure == nil {
		q.backoffs.RecordAccepted(backendKey, sent)
	}
	return outcome, failure
}

func (q *Queue) acquire(ctx context.Context, j *job.Job) (*slot, *verdict.Error) {
	w, err := q.enqueue(j)
	if err != nil {
		return nil, err
	}
	reason := q.wait(ctx, j, w)
	now := time.Now()
	j.QueueWait = now.Sub(w.enqueued)
	if reason == "" && j.Expired(now) {
		q.abandon(w)
		reason = reasonDeadline
	}
	if reason != "" {
		return nil, q.refusalError(ctx, j, w, reason)
	}
	q.metrics.addWait(w.lane, j.QueueWait)
	logger.Info(decisionFields(j, w.lane), "request started")
	return newSlot(q, w, now), nil
}

// enqueue grants the request a slot, queues it, or refuses it.
func (q *Queue) enqueue(j *job.Job) (*waiter, *verdict.Error) {
	laneIndex := laneOf(j.Request.Priority)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	l := &q.lanes[laneIndex]
	f := l.flow(workspaceOf(j), rateOf(j))
	if wait := q.limitWaitLocked(now); wait > maxLimitWait {
		l.prune(f)
		return nil, q.overloadError(j, laneIndex, wait, reasonLimit)
	}
	expected := q.expectedWaitLocked(f, laneIndex)
	if deadline := j.Deadline(); !deadline.IsZero() && now.Add(expected).After(deadline) {
		l.prune(f)
		return nil, q.overloadError(j, laneIndex, expected, reasonExpectedWait)
	}
	if q.waitingLocked() >= q.maxWaiting && !q.makeRoomLocked(f, laneIndex) {
		l.prune(f)
		return nil, q.overloadError(j, laneIndex, expected, reasonFull)
	}
	w := &waiter{flow: f, lane: laneIndex, prompt: promptTokens(j), prefill: prefillTokens(j), enqueued: now, ready: make(chan struct{})}
	l.push(w)
	q.backlogTokens[w.lane] += w.prefill
	q.dispatchLocked(now)
	if !w.granted {
		q.startMonitorLocked()
	}
	return w, nil
}

// makeRoomLocked evicts the newest request of the flow with the greatest weighted
// length and reports whether it did. An urgent arrival evicts deferrable requests
// first. Within a class, a request is evicted only if its flow is longer than the
// arriving one would become, by weight.
func (q *Queue) makeRoomLocked(arriving *flow, laneIndex int) bool {
	if laneIndex == laneUrgent {
		if f := q.lanes[laneDeferrable].longest(); f != nil {
			q.evictNewestLocked(&q.lanes[laneDeferrable], f)
			return true
		}
	}
	f := q.lanes[laneIndex].longest()
	arrivingLength := float64(len(arriving.waiting)+1) / arriving.weight
	if f == nil || f == arriving || f.weightedLength() <= arrivingLength {
		return false
	}
	q.evictNewestLocked(&q.lanes[laneIndex], f)
	return true
}

func (q *Queue) evictNewestLocked(l *lane, f *flow) {
	q.evictLocked(l, f.waiting[len(f.waiting)-1], reasonFull)
}

// evictLocked removes a waiting request and wakes its caller with the reason.
func (q *Queue) evictLocked(l *lane, w *waiter, reason string) {
	l.removeWaiter(w)
	q.backlogTokens[w.lane] -= w.prefill
	w.evicted = reason
	close(w.ready)
	l.prune(w.flow)
}

// RefuseWaiting refuses all waiting requests because the backend server is
// draining, so that their routers send them to another one.
func (q *Queue) RefuseWaiting() { q.refuseWaiting(reasonDraining) }

func (q *Queue) refuseWaiting(reason string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.lanes {
		l := &q.lanes[i]
		for l.waiting > 0 {
			q.evictLocked(l, l.waitingFlows[0].head(), reason)
		}
	}
}

// dispatchLocked grants free slots to waiting requests.
func (q *Queue) dispatchLocked(now time.Time) {
	for q.running < q.slots {
		if q.waitingLocked() > 0 && q.limits.Wait(limitedServer, now) > 0 {
			q.wakeLocked(now)
			return
		}
		l, f := q.nextLocked(now)
		if f == nil {
			return
		}
		q.limits.Take(limitedServer, now)
		w := l.dequeue(f, now)
		f.running++
		f.charge(w.prompt)
		l.running++
		q.running++
		w.granted = true
		close(w.ready)
	}
}

// nextLocked selects the lane and flow to serve next. The flow is nil if no
// request may start.
func (q *Queue) nextLocked(now time.Time) (*lane, *flow) {
	urgent, deferrable := &q.lanes[laneUrgent], &q.lanes[laneDeferrable]
	deferrableReady := deferrable.waiting > 0 && deferrable.running < q.slots-q.reserved
	if deferrableReady && urgent.waiting == 0 {
		return deferrable, deferrable.leastServed(now)
	}
	if deferrableReady && q.urgentStarts >= startsPerAged-1 {
		if f := deferrable.leastServed(now.Add(-q.ageingBound)); f != nil {
			q.urgentStarts = 0
			return deferrable, f
		}
	}
	q.urgentStarts++
	return urgent, urgent.leastServed(now)
}

// wait blocks until the request is granted a slot, evicted, expired or cancelled.
// It returns the reason of a refusal, or "" if the request was granted.
func (q *Queue) wait(ctx context.Context, j *job.Job, w *waiter) string {
	deadline := j.Deadline()
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.ready:
		return w.evicted
	case <-expired:
		q.abandon(w)
		return reasonDeadline
	case <-ctx.Done():
		q.abandon(w)
		return reasonCancelled
	}
}

// abandon removes a request from the queue, or frees its slot if it was granted.
func (q *Queue) abandon(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := &q.lanes[w.lane]
	switch {
	case w.evicted != "":
		return
	case w.granted:
		w.flow.charge(-w.prompt)
		w.flow.running--
		l.running--
		q.running--
	default:
		l.removeWaiter(w)
	}
	q.backlogTokens[w.lane] -= w.prefill
	l.prune(w.flow)
	q.dispatchLocked(time.Now())
}

func (q *Queue) refusalError(ctx context.Context, j *job.Job, w *waiter, reason string) *verdict.Error {
	switch reason {
	case reasonCancelled:
		q.recordRefusal(j, w.lane, 0, reason)
		return verdict.Wrap(context.Cause(ctx), verdict.NotRun, verdict.CodeCancelled, "cancelled while waiting")
	case reasonPause:
		if err := q.pauseError(j, time.Now()); err != nil {
			return err
		}
	case reasonDraining:
		q.recordRefusal(j, w.lane, 0, reason)
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "the backend server is leaving")
	}
	q.mu.Lock()
	expected := q.expectedWaitLocked(w.flow, w.lane)
	q.mu.Unlock()
	return q.overloadError(j, w.lane, expected, reason)
}

func (q *Queue) overloadError(j *job.Job, laneIndex int, expected time.Duration, reason string) *verdict.Error {
	q.recordRefusal(j, laneIndex, expected, reason)
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend server is busy: %s", reason)
	return err.WithRetryAfter(max(expected, minRetryAfter))
}

func (q *Queue) recordRefusal(j *job.Job, laneIndex int, expected time.Duration, reason string) {
	q.metrics.addRefused(laneIndex, reason)
	fields := decisionFields(j, laneIndex)
	fields["expected"] = expected.String()
	fields["reason"] = reason
	logger.Info(fields, "request refused")
}

func decisionFields(j *job.Job, laneIndex int) logging.Fields {
	return logging.Fields{
		"request_id": j.Request.RequestId,
		"workspace":  workspaceOf(j),
		"class":      string(classOf(laneIndex)),
		"wait":       j.QueueWait.String(),
	}
}
