package queue

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// slot is a request's permission to run.
type slot struct {
	queue   *Queue
	waiter  *waiter
	started time.Time
	charged int64 // tokens on the flow's counter
	pending int64 // tokens in the backlog
	ran     bool
}

func newSlot(q *Queue, w *waiter, now time.Time) *slot {
	return &slot{queue: q, waiter: w, started: now, charged: w.prompt, pending: w.missing}
}

// counting returns an Emit that charges tokens as they are generated.
func (s *slot) counting(emit func(*wire.Frame)) func(*wire.Frame) {
	return func(frame *wire.Frame) {
		if frame.Tokens != nil {
			s.generated(int64(frame.Tokens.Count))
		}
		emit(frame)
	}
}

func (s *slot) generated(count int64) {
	s.queue.mu.Lock()
	defer s.queue.mu.Unlock()
	s.chargeLocked(count)
	s.clearBacklogLocked()
}

func (s *slot) chargeLocked(count int64) {
	s.charged += count
	s.waiter.flow.charge(count)
}

func (s *slot) clearBacklogLocked() {
	s.queue.backlog[s.waiter.lane] -= s.pending
	s.pending = 0
}

// settle replaces what was charged by what the backend server reports.
func (s *slot) settle(outcome job.Outcome, failure error) {
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

// release frees the slot.
func (s *slot) release() {
	now := time.Now()
	q := s.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	s.clearBacklogLocked()
	l := &q.lanes[s.waiter.lane]
	if s.ran {
		l.service.add(now.Sub(s.started))
	}
	s.waiter.flow.running--
	l.running--
	q.running--
	l.release(s.waiter.flow)
	q.dispatchLocked(now)
}

// workspaceOf returns whose share a request uses.
func workspaceOf(j *job.Job) string {
	if j.Request.Workspace == "" && j.Route != nil {
		return j.Route.Workspace
	}
	return j.Request.Workspace
}

// rateOf returns the weight of the request's workspace.
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

// promptTokens returns what a request is charged when it starts.
func promptTokens(j *job.Job) int64 {
	if generation := j.Request.Generation; generation != nil {
		return int64(tokens.Count(len(generation.Prompt))) + int64(generation.ResumeTokens)
	}
	if j.Route != nil {
		return max(j.Route.Cost, 1)
	}
	return 1
}

// missingTokens returns the prompt tokens that the backend server is expected
// to compute: what the router knows not to be cached, or else the prompt.
func missingTokens(j *job.Job) int64 {
	if missing := j.Request.MissingTokens; missing > 0 {
		return missing
	}
	return promptTokens(j)
}
