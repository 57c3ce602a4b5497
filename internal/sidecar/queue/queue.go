package queue

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("queue")

const (
	// agedTurn: of this many starts, one goes to a request beyond the ageing
	// bound while urgent requests wait.
	agedTurn = 4
	// minRetryAfter is the shortest retry time given with a refusal.
	minRetryAfter = time.Second
)

// The reasons of refusals, for logs and metrics.
const (
	reasonExpected  = "expected wait"
	reasonFull      = "queue full"
	reasonDeadline  = "deadline"
	reasonCancelled = "cancelled"
	reasonLeaving   = "leaving"
)

// Queue is the filter. It is safe for concurrent use.
type Queue struct {
	slots    int
	reserved int // slots that deferrable requests leave free
	limit    int
	ageing   time.Duration
	metrics  metrics

	mu      sync.Mutex
	lanes   [laneCount]lane
	running int
	starts  int              // urgent starts since an aged request had its turn
	backlog [laneCount]int64 // prompt tokens to be computed before a first answer
	watch   watch
}

// Name implements job.Filter.
func (q *Queue) Name() string { return "queue" }

// Handle implements job.Filter. It waits for a slot, in fair order. A refusal
// is NotRun.
func (q *Queue) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	slot, err := q.acquire(ctx, j)
	if err != nil {
		return nil, err
	}
	defer slot.release()
	emit := j.Emit
	j.Emit = slot.counting(emit)
	defer func() { j.Emit = emit }()
	outcome, failure := next.Handle(ctx, j)
	slot.settle(outcome, failure)
	return outcome, failure
}

func (q *Queue) acquire(ctx context.Context, j *job.Job) (*slot, *verdict.Error) {
	w, err := q.enqueue(j)
	if err != nil {
		return nil, err
	}
	reason := q.wait(ctx, j, w)
	now := time.Now()
	j.Queued = now.Sub(w.enqueued)
	if reason == "" && j.Expired(now) {
		q.abandon(w)
		reason = reasonDeadline
	}
	if reason != "" {
		return nil, q.refused(ctx, j, w, reason)
	}
	q.metrics.addWait(w.lane, j.Queued)
	logger.Info(decisionFields(j, w.lane), "request started")
	return newSlot(q, w, now), nil
}

// enqueue starts the request, lets it wait, or refuses it on arrival.
func (q *Queue) enqueue(j *job.Job) (*waiter, *verdict.Error) {
	laneIndex := laneOf(j.Request.Priority)
	now := time.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	l := &q.lanes[laneIndex]
	f := l.flow(workspaceOf(j), rateOf(j))
	expected := q.expectedLocked(f, laneIndex)
	if deadline := j.Deadline(); !deadline.IsZero() && now.Add(expected).After(deadline) {
		l.release(f)
		return nil, q.overloaded(j, laneIndex, expected, reasonExpected)
	}
	if q.waitingLocked() >= q.limit && !q.makeRoomLocked(f, laneIndex) {
		l.release(f)
		return nil, q.overloaded(j, laneIndex, expected, reasonFull)
	}
	w := &waiter{flow: f, lane: laneIndex, prompt: promptTokens(j), missing: missingTokens(j), enqueued: now, ready: make(chan struct{})}
	l.push(w)
	q.backlog[w.lane] += w.missing
	q.dispatchLocked(now)
	if !w.granted {
		q.watchLocked()
	}
	return w, nil
}

// makeRoomLocked evicts the newest request of the flow that has most waiting for
// its weight, deferrable ones first, unless that is the arriving flow itself.
func (q *Queue) makeRoomLocked(arriving *flow, laneIndex int) bool {
	if laneIndex == laneUrgent {
		if f := q.lanes[laneDeferrable].largest(); f != nil {
			q.evictLocked(&q.lanes[laneDeferrable], f)
			return true
		}
	}
	f := q.lanes[laneIndex].largest()
	arrivingShare := float64(len(arriving.waiting)+1) / arriving.weight
	if f == nil || f == arriving || f.share() <= arrivingShare {
		return false
	}
	q.evictLocked(&q.lanes[laneIndex], f)
	return true
}

func (q *Queue) evictLocked(l *lane, f *flow) {
	q.giveUpLocked(l, f.waiting[len(f.waiting)-1], reasonFull)
}

// giveUpLocked takes a waiting request out of the queue and tells it why.
func (q *Queue) giveUpLocked(l *lane, w *waiter, reason string) {
	l.drop(w)
	q.backlog[w.lane] -= w.missing
	w.evicted = reason
	close(w.ready)
	l.release(w.flow)
}

// HandBack refuses all requests that wait, because the backend server is
// leaving, so that their routers send them elsewhere.
func (q *Queue) HandBack() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.lanes {
		l := &q.lanes[i]
		for l.waiting > 0 {
			q.giveUpLocked(l, l.backlog[0].head(), reasonLeaving)
		}
	}
}

// dispatchLocked starts requests while there are free slots.
func (q *Queue) dispatchLocked(now time.Time) {
	for q.running < q.slots {
		l, f := q.nextLocked(now)
		if f == nil {
			return
		}
		w := l.take(f, now)
		f.running++
		f.charge(w.prompt)
		l.running++
		q.running++
		w.granted = true
		close(w.ready)
	}
}

// nextLocked chooses the lane and flow that are served next. The flow is nil if
// none may start.
func (q *Queue) nextLocked(now time.Time) (*lane, *flow) {
	urgent, deferrable := &q.lanes[laneUrgent], &q.lanes[laneDeferrable]
	mayDefer := deferrable.waiting > 0 && deferrable.running < q.slots-q.reserved
	if mayDefer && urgent.waiting == 0 {
		return deferrable, deferrable.fairest(now)
	}
	if mayDefer && q.starts >= agedTurn-1 {
		if f := deferrable.fairest(now.Add(-q.ageing)); f != nil {
			q.starts = 0
			return deferrable, f
		}
	}
	q.starts++
	return urgent, urgent.fairest(now)
}

// wait returns when the request is granted (empty reason) or given up.
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

// abandon takes a request out of the queue, or gives its slot back.
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
		l.drop(w)
	}
	q.backlog[w.lane] -= w.missing
	l.release(w.flow)
	q.dispatchLocked(time.Now())
}

func (q *Queue) refused(ctx context.Context, j *job.Job, w *waiter, reason string) *verdict.Error {
	switch reason {
	case reasonCancelled:
		q.countRefusal(j, w.lane, 0, reason)
		return verdict.Wrap(context.Cause(ctx), verdict.NotRun, verdict.CodeCancelled, "cancelled while waiting")
	case reasonLeaving:
		q.countRefusal(j, w.lane, 0, reason)
		return verdict.New(verdict.NotRun, verdict.CodeDraining, "the backend server is leaving")
	}
	q.mu.Lock()
	expected := q.expectedLocked(w.flow, w.lane)
	q.mu.Unlock()
	return q.overloaded(j, w.lane, expected, reason)
}

func (q *Queue) overloaded(j *job.Job, laneIndex int, expected time.Duration, reason string) *verdict.Error {
	q.countRefusal(j, laneIndex, expected, reason)
	err := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "the backend server is busy: %s", reason)
	return err.WithRetryAfter(max(expected, minRetryAfter))
}

func (q *Queue) countRefusal(j *job.Job, laneIndex int, expected time.Duration, reason string) {
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
		"wait":       j.Queued.String(),
	}
}
