package once

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const routeTimeout = 10 * time.Second

// service counts executions and runs a hook at each.
type service struct {
	mu    sync.Mutex
	calls int
	hook  func(call int) (job.Outcome, error)
}

func (s *service) Handle(_ context.Context, j *job.Job) (job.Outcome, error) {
	s.mu.Lock()
	s.calls++
	call := s.calls
	s.mu.Unlock()
	if s.hook != nil {
		if outcome, err := s.hook(call); outcome != nil || err != nil {
			return outcome, err
		}
	}
	return &wire.Frame{RequestId: j.Request.RequestId, Reply: &wire.Reply{Status: 201, Body: fmt.Appendf(nil, "badge %d", call)}}, nil
}

func badge(requestID, body string) *job.Job {
	return &job.Job{
		Received: time.Now(),
		Route:    &config.Route{Name: "badge", Once: true, Timeout: routeTimeout},
		Request: &wire.ExecuteRequest{
			RequestId: requestID, Workspace: "north", PatienceMs: 3000,
			Call: &wire.Call{Method: "POST", Path: "/badges", Body: []byte(body), IdempotencyKey: "order-1"},
		},
	}
}

// outcomeOf describes the result of a call.
func outcomeOf(outcome job.Outcome, err error) string {
	switch {
	case err != nil:
		e := verdict.From(err)
		return fmt.Sprintf("%s/%s", e.Code, e.Verdict)
	case outcome.Reply.Replayed:
		return "replayed " + string(outcome.Reply.Body)
	default:
		return string(outcome.Reply.Body)
	}
}

func TestFaultsAtEachStep(t *testing.T) {
	broken := verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "broke")
	refused := verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "refused")
	fails := func(err error) func(int) (job.Outcome, error) {
		return func(call int) (job.Outcome, error) {
			if call == 1 {
				return nil, err
			}
			return nil, nil
		}
	}
	lost := kv.Faults{LoseAnswers: 1}
	down := kv.Faults{Down: true}
	slow := kv.Faults{Delay: 5 * time.Second}
	cases := []struct {
		name   string
		intent kv.Faults // while the intent is written
		run    func(int) (job.Outcome, error)
		record kv.Faults     // from the execution on
		heal   time.Duration // after the first answer
		first  string
		retry  string // a second attempt after the faults
		calls  int
	}{
		{"no fault", kv.Faults{}, nil, kv.Faults{}, 0, "badge 1", "replayed badge 1", 1},
		{"down at intent", down, nil, kv.Faults{}, 0, "store_unavailable/not-run", "badge 1", 1},
		{"answer lost at intent", lost, nil, kv.Faults{}, 0, "badge 1", "replayed badge 1", 1},
		{"answer lost and stale at intent", kv.Faults{LoseAnswers: 1, StaleReads: 1}, nil, kv.Faults{}, 0, "store_unavailable/not-run", "badge 1", 1},
		{"slower than patience at intent", slow, nil, kv.Faults{}, 8 * time.Second, "store_unavailable/not-run", "badge 1", 1},
		{"throttled at intent", kv.Faults{WritesPerSecond: 1}, nil, kv.Faults{}, time.Second, "badge 1", "replayed badge 1", 1},
		{"refused by the service", kv.Faults{}, fails(refused), kv.Faults{}, 0, "no_backend_server/not-run", "badge 2", 2},
		{"refused, then down at removal", kv.Faults{}, fails(refused), down, 5 * time.Second, "no_backend_server/not-run", "badge 2", 2},
		{"refused, answer lost at removal", kv.Faults{}, fails(refused), lost, 0, "no_backend_server/not-run", "badge 2", 2},
		{"answer lost at intent, refused", lost, fails(refused), kv.Faults{}, 0, "no_backend_server/not-run", "badge 2", 2},
		{"broken while running", kv.Faults{}, fails(broken), kv.Faults{}, 0, "backend_failed/may-have-run", "request_in_progress/may-have-run", 1},
		{"broken, retried late", kv.Faults{}, fails(broken), kv.Faults{}, time.Minute, "backend_failed/may-have-run", "outcome_unknown/may-have-run", 1},
		{"broken and down", kv.Faults{}, fails(broken), down, time.Minute, "backend_failed/may-have-run", "outcome_unknown/may-have-run", 1},
		{"down at record", kv.Faults{}, nil, down, 30 * time.Second, "badge 1", "replayed badge 1", 1},
		{"down at record beyond the bound", kv.Faults{}, nil, down, 10 * time.Minute, "badge 1", "outcome_unknown/may-have-run", 1},
		{"answer lost at record", kv.Faults{}, nil, lost, 0, "badge 1", "replayed badge 1", 1},
		{"answer lost and stale at record", kv.Faults{}, nil, kv.Faults{LoseAnswers: 1, StaleReads: 1}, 0, "badge 1", "replayed badge 1", 1},
		{"slow at record", kv.Faults{}, nil, slow, 10 * time.Second, "badge 1", "replayed badge 1", 1},
		{"answers lost at both", lost, nil, lost, 0, "badge 1", "replayed badge 1", 1},
		{"crossed answer", kv.Faults{}, func(int) (job.Outcome, error) {
			return &wire.Frame{RequestId: "another", Reply: &wire.Reply{Status: 201}}, nil
		}, kv.Faults{}, 0, "backend_failed/may-have-run", "request_in_progress/may-have-run", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kv.New(1)
				s := &service{hook: func(call int) (job.Outcome, error) {
					store.SetFaults(c.record)
					if c.run == nil {
						return nil, nil
					}
					return c.run(call)
				}}
				store.SetFaults(c.intent)
				o := New(Options{KV: store, Environment: "test"})
				if got := outcomeOf(o.Handle(t.Context(), badge("r1", "ann"), s)); got != c.first {
					t.Errorf("first: got %q, want %q", got, c.first)
				}
				time.Sleep(c.heal)
				store.SetFaults(kv.Faults{})
				time.Sleep(2 * time.Second)
				c.record = kv.Faults{}
				other := New(Options{KV: store, Environment: "test"})
				if got := outcomeOf(other.Handle(t.Context(), badge("r2", "ann"), s)); got != c.retry {
					t.Errorf("retry: got %q, want %q", got, c.retry)
				}
				if s.calls != c.calls {
					t.Errorf("%d calls, want %d", s.calls, c.calls)
				}
				o.Wait()
				other.Wait()
			})
		})
	}
}

func TestReusedKeyIsRefused(t *testing.T) {
	store, s := kv.New(1), &service{}
	o := New(Options{KV: store, Environment: "test"})
	if _, err := o.Handle(t.Context(), badge("r1", "ann"), s); err != nil {
		t.Fatal(err)
	}
	if got := outcomeOf(o.Handle(t.Context(), badge("r2", "bob"), s)); got != "idempotency_key_reused/not-run" {
		t.Errorf("got %q", got)
	}
	neighbour := badge("r3", "ann")
	neighbour.Request.Workspace = "south"
	if got := outcomeOf(o.Handle(t.Context(), neighbour, s)); got != "badge 2" {
		t.Errorf("another workspace with the same key: got %q", got)
	}
}

func TestReplyTooLargeToKeep(t *testing.T) {
	store := kv.New(1)
	large := &service{hook: func(int) (job.Outcome, error) {
		return &wire.Frame{Reply: &wire.Reply{Status: 200, Body: make([]byte, 2<<20)}}, nil
	}}
	o := New(Options{KV: store, Environment: "test"})
	outcome, err := o.Handle(t.Context(), badge("r1", "ann"), large)
	if err != nil || len(outcome.Reply.Body) != 2<<20 {
		t.Fatalf("first answer: %v", err)
	}
	if got := outcomeOf(o.Handle(t.Context(), badge("r2", "ann"), large)); got != "request_too_large/ran" {
		t.Errorf("got %q", got)
	}
}

// TestRacingDuplicates sends the same call through two sidecars at once while
// the service loses answers and shows stale reads.
func TestRacingDuplicates(t *testing.T) {
	const attempts = 12
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			store, s := kv.New(seed), &service{hook: func(int) (job.Outcome, error) {
				time.Sleep(50 * time.Millisecond)
				return nil, nil
			}}
			store.SetFaults(kv.Faults{Delay: 5 * time.Millisecond, LoseAnswers: 0.4, StaleReads: 0.3})
			sidecars := []*Once{New(Options{KV: store, Environment: "test"}), New(Options{KV: store, Environment: "test"})}
			var callers sync.WaitGroup
			for i := range attempts {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					outcome, err := sidecars[i%2].Handle(t.Context(), badge(fmt.Sprint("r", i), "ann"), s)
					if err == nil && string(outcome.Reply.Body) != "badge 1" {
						t.Errorf("seed %d: answer %q", seed, outcome.Reply.Body)
					}
				})
			}
			callers.Wait()
			for _, o := range sidecars {
				o.Wait()
			}
			if s.calls > 1 {
				t.Errorf("seed %d: executed %d times", seed, s.calls)
			}
		})
	}
}

// TestSlowIntentDoesNotBegin covers a sidecar that is paused, or a slow service,
// between the arrival of a call and its execution.
func TestSlowIntentDoesNotBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := kv.New(1), &service{}
		o := New(Options{KV: store, Environment: "test"})
		late := badge("r1", "ann")
		late.Received = time.Now().Add(-2990 * time.Millisecond)
		store.SetFaults(kv.Faults{Delay: 9 * time.Millisecond})
		paused := pipeline.HandlerFunc[*job.Job, job.Outcome](s.Handle)
		time.Sleep(2 * time.Millisecond)
		if got := outcomeOf(o.Handle(t.Context(), late, paused)); got != "store_unavailable/not-run" && got != "overloaded/not-run" {
			t.Errorf("got %q", got)
		}
		if s.calls != 0 {
			t.Errorf("%d calls", s.calls)
		}
		o.Wait()
	})
}
