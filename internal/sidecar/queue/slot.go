package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// slot is held by a request while it runs.
type slot struct {
	queue          *Queue
	waiter         *waiter
	started        time.Time
	charged        int64 // tokens charged to the flow's counter
	pendingPrefill int64 // prompt tokens still counted in the queue's backlog
	ran            bool  // the request ran, or may have run
}

func newSlot(q *Queue, w *waiter, now time.Time) *slot {
	return &slot{queue: q, waiter: w, started: now, charged: w.prompt, pendingPrefill: w.prefill}
}

// countingEmit returns an Emit that charges tokens as they are generated.
func (s *slot) countingEmit(emit func(*wire.Frame)) func(*wire.Frame) {
	return func(frame *wire.Frame) {
		if frame.Tokens != nil {
			s.addGenerated(int64(frame.Tokens.Count))
		}
		emit(frame)
	}
}

func (s *slot) addGenerated(count int64) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.chargeLocked(count)
	s.removeFromBacklogLocked()
}

func (s *slot) chargeLocked(count int64) {
	s.charged += count
	s.waiter.flow.charge(count)
}

// removeFromBacklogLocked removes the request's prompt tokens from the backlog. It is
// called when the first token is generated, since the prompt is computed by then,
// and at the end.
func (s *slot) removeFromBacklogLocked() {
	s.queue.backlogTokens[s.waiter.lane] -= s.pendingPrefill
	s.pendingPrefill = 0
}

// recordOutcome records whether the request ran. It corrects the charge to the
// tokens that the backend server reports, or to 0 if the request did not run.
func (s *slot) recordOutcome(outcome job.Outcome, failure error) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	if failure != nil {
		s.ran = verdict.From(failure).Verdict != verdict.NotRun
		if !s.ran {
			s.chargeLocked(-s.charged)
		}
		return
	}
	s.ran = true
	if outcome != nil && outcome.Tail != nil {
		used := int64(outcome.Tail.PromptTokens) + int64(outcome.Tail.CompletionTokens)
		s.chargeLocked(used - s.charged)
	}
}

// release frees the slot and starts waiting requests.
func (s *slot) release() {
	now := time.Now()
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.removeFromBacklogLocked()
	l := &q.lanes[s.waiter.lane]
	if s.ran {
		l.serviceTime.add(now.Sub(s.started))
	}
	s.waiter.flow.running--
	l.running--
	q.running--
	l.prune(s.waiter.flow)
	q.dispatchLocked(now)
}

// workspaceOf returns the workspace that a request is charged to.
func workspaceOf(j *job.Job) string {
	if j.Request.Workspace == "" && j.Route != nil {
		return j.Route.Workspace
	}
	return j.Request.Workspace
}

// rateOf returns the rate of the request's workspace, which is its weight; 1 if
// unknown.
func rateOf(j *job.Job) int64 {
	if j.Snapshot == nil || j.Snapshot.Config == nil {
		return 1
	}
	workspace := j.Snapshot.Config.Document.Workspace(workspaceOf(j))
	if workspace == nil {
		return 1
	}
	return workspace.Rate
}

// promptTokens returns the tokens that a request is charged when it starts.
func promptTokens(j *job.Job) int64 {
	if generation := j.Request.Generation; generation != nil {
		return int64(tokens.Count(len(generation.Prompt))) + int64(generation.ResumeTokens)
	}
	if j.Route != nil {
		return max(j.Route.Cost, 1)
	}
	return 1
}

// prefillTokens returns the prompt tokens that the backend server is expected to
// compute: those that the router expects not to be cached, or the whole prompt if
// the router gave no number.
func prefillTokens(j *job.Job) int64 {
	if prefill := j.Request.MissingTokens; prefill > 0 {
		return prefill
	}
	return promptTokens(j)
}
