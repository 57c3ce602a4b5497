package once

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const routeTimeout = 10 * time.Second

// service counts executions and calls hook for each.
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

func newBadgeJob(requestID, body string) *job.Job {
	return &job.Job{
		Received: time.Now(),
		Route:    &config.Route{Name: "badge", AtMostOnce: true, Timeout: routeTimeout},
		Request: &wire.ExecuteRequest{
			RequestId: requestID, Workspace: "north", PatienceMs: 3000,
			Call: &wire.Call{Method: "POST", Path: "/badges", Body: []byte(body), IdempotencyKey: "order-1"},
		},
	}
}

// outcomeOf returns the body of a reply or the code and verdict of an error.
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
		name    string
		intent  kv.Faults // while the intent is written
		run     func(int) (job.Outcome, error)
		record  kv.Faults     // from the execution on
		wait    time.Duration // from the first attempt to the end of the faults
		first   string
		retry   string // a second attempt, after the faults
		calls   int
		noLease bool // no lease is granted yet
	}{
		{"no fault", kv.Faults{}, nil, kv.Faults{}, 0, "badge 1", "replayed badge 1", 1, false},
		{"down at intent", down, nil, kv.Faults{}, 0, "store_unavailable/not-run", "badge 1", 1, false},
		{"response lost at intent", lost, nil, kv.Faults{}, 0, "badge 1", "replayed badge 1", 1, false},
		{"response lost and stale at intent", kv.Faults{LoseAnswers: 1, StaleReads: 1}, nil, kv.Faults{}, 0, "store_unavailable/not-run", "badge 1", 1, false},
		{"slower than the deadline at intent", slow, nil, kv.Faults{}, 8 * time.Second, "store_unavailable/not-run", "badge 1", 1, false},
		{"throttled at intent", kv.Faults{WritesPerSecond: 1}, nil, kv.Faults{}, time.Second, "badge 1", "replayed badge 1", 1, false},
		{"refused by the service", kv.Faults{}, fails(refused), kv.Faults{}, 0, "no_backend_server/not-run", "badge 2", 2, false},
		{"refused, then down at removal", kv.Faults{}, fails(refused), down, 5 * time.Second, "no_backend_server/not-run", "badge 2", 2, false},
		{"refused, response lost at removal", kv.Faults{}, fails(refused), lost, 0, "no_backend_server/not-run", "badge 2", 2, false},
		{"response lost at intent, refused", lost, fails(refused), kv.Faults{}, 0, "no_backend_server/not-run", "badge 2", 2, false},
		{"broken while running", kv.Faults{}, fails(broken), kv.Faults{}, 0, "backend_failed/may-have-run", "request_in_progress/may-have-run", 1, false},
		{"broken, retried late", kv.Faults{}, fails(broken), kv.Faults{}, time.Minute, "backend_failed/may-have-run", "outcome_unknown/may-have-run", 1, false},
		{"broken and down", kv.Faults{}, fails(broken), down, time.Minute, "backend_failed/may-have-run", "outcome_unknown/may-have-run", 1, false},
		{"down at record", kv.Faults{}, nil, down, 30 * time.Second, "badge 1", "replayed badge 1", 1, false},
		{"down at record for longer than the time-out", kv.Faults{}, nil, down, 10 * time.Minute, "badge 1", "outcome_unknown/may-have-run", 1, false},
		{"response lost at record", kv.Faults{}, nil, lost, 0, "badge 1", "replayed badge 1", 1, false},
		{"response lost and stale at record", kv.Faults{}, nil, kv.Faults{LoseAnswers: 1, StaleReads: 1}, 0, "badge 1", "replayed badge 1", 1, false},
		{"slow at record", kv.Faults{}, nil, slow, 10 * time.Second, "badge 1", "replayed badge 1", 1, false},
		{"responses lost at both", lost, nil, lost, 0, "badge 1", "replayed badge 1", 1, false},
		{"reply of another request", kv.Faults{}, func(int) (job.Outcome, error) {
			return &wire.Frame{RequestId: "another", Reply: &wire.Reply{Status: 201}}, nil
		}, kv.Faults{}, 0, "backend_failed/may-have-run", "request_in_progress/may-have-run", 1, false},
		{"response lost at the lease", lost, nil, kv.Faults{}, 0, "store_unavailable/not-run", "badge 1", 1, true},
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
				f := New(Options{KV: store, Environment: "test"})
				if !c.noLease {
					_, _ = f.store.leases.current(t.Context())
				}
				time.Sleep(time.Second)
				store.SetFaults(c.intent)
				if got := outcomeOf(f.Handle(t.Context(), newBadgeJob("r1", "ann"), s)); got != c.first {
					t.Errorf("first: got %q, want %q", got, c.first)
				}
				time.Sleep(c.wait)
				store.SetFaults(kv.Faults{})
				time.Sleep(2 * time.Second)
				c.record = kv.Faults{}
				other := New(Options{KV: store, Environment: "test"})
				if got := outcomeOf(other.Handle(t.Context(), newBadgeJob("r2", "ann"), s)); got != c.retry {
					t.Errorf("retry: got %q, want %q", got, c.retry)
				}
				if s.calls != c.calls {
					t.Errorf("%d calls, want %d", s.calls, c.calls)
				}
				if err := f.Wait(t.Context()); err != nil {
					t.Error(err)
				}
				if err := other.Wait(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestReusedKeyIsRefused(t *testing.T) {
	store, s := kv.New(1), &service{}
	f := New(Options{KV: store, Environment: "test"})
	if _, err := f.Handle(t.Context(), newBadgeJob("r1", "ann"), s); err != nil {
		t.Fatal(err)
	}
	if got := outcomeOf(f.Handle(t.Context(), newBadgeJob("r2", "bob"), s)); got != "idempotency_key_reused/not-run" {
		t.Errorf("got %q", got)
	}
	neighbour := newBadgeJob("r3", "ann")
	neighbour.Request.Workspace = "south"
	if got := outcomeOf(f.Handle(t.Context(), neighbour, s)); got != "badge 2" {
		t.Errorf("another workspace with the same key: got %q", got)
	}
}

func TestReplyTooLargeToStore(t *testing.T) {
	store := kv.New(1)
	large := &service{hook: func(int) (job.Outcome, error) {
		return &wire.Frame{Reply: &wire.Reply{Status: 200, Body: make([]byte, 2<<20)}}, nil
	}}
	f := New(Options{KV: store, Environment: "test"})
	outcome, err := f.Handle(t.Context(), newBadgeJob("r1", "ann"), large)
	if err != nil || len(outcome.Reply.Body) != 2<<20 {
		t.Fatalf("first attempt: %v", err)
	}
	if got := outcomeOf(f.Handle(t.Context(), newBadgeJob("r2", "ann"), large)); got != "request_too_large/ran" {
		t.Errorf("got %q", got)
	}
}

// callModel models a call that runs at most once as its callers observe it. The
// state is true once the call has run; an output is a result of outcomeOf.
var callModel = porcupine.Model{
	Init: func() any { return false },
	Step: func(state, _, output any) (bool, any) {
		switch output {
		case "badge 1":
			return state == false, true
		case "replayed badge 1":
			return state == true, true
		default:
			refused := strings.HasSuffix(output.(string), "-run")
			return refused, state
		}
	},
}

// TestRacingDuplicates sends the same call through two sidecars concurrently
// while the key-value service loses responses and returns stale reads.
func TestRacingDuplicates(t *testing.T) {
	const attempts = 12
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			store, s := kv.New(seed), &service{hook: func(int) (job.Outcome, error) {
				time.Sleep(50 * time.Millisecond)
				return nil, nil
			}}
			store.SetFaults(kv.Faults{Delay: 5 * time.Millisecond, LoseAnswers: 0.4, StaleReads: 0.3})
			sidecars := []*Filter{New(Options{KV: store, Environment: "test"}), New(Options{KV: store, Environment: "test"})}
			history := make([]porcupine.Operation, attempts)
			var callers sync.WaitGroup
			for i := range attempts {
				callers.Go(func() {
					time.Sleep(time.Duration(i) * 10 * time.Millisecond)
					sent := time.Now().UnixNano()
					output := outcomeOf(sidecars[i%2].Handle(t.Context(), newBadgeJob(fmt.Sprint("r", i), "ann"), s))
					history[i] = porcupine.Operation{ClientId: i, Call: sent, Output: output, Return: time.Now().UnixNano()}
				})
			}
			callers.Wait()
			for _, f := range sidecars {
				if err := f.Wait(t.Context()); err != nil {
					t.Error(err)
				}
			}
			if s.calls > 1 || !porcupine.CheckOperations(callModel, history) {
				t.Errorf("seed %d: executed %d times, responses %v", seed, s.calls, history)
			}
		})
	}
}

// pausingKV simulates a sidecar that is paused directly after it wrote its
// intent.
type pausingKV struct {
	platform.KV
	pause time.Duration
}

func (p *pausingKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := p.KV.CompareAndSwap(ctx, key, value, expected, lease)
	if pause := p.pause; pause > 0 {
		p.pause = 0
		time.Sleep(pause)
	}
	return version, err
}

func TestPauses(t *testing.T) {
	cases := []struct {
		name                string
		afterIntent, inCall time.Duration
		first, during, last string
	}{
		{"after the intent", time.Minute, 0, "overloaded/not-run", "outcome_unknown/may-have-run", "badge 1"},
		{"just before the service", 0, time.Minute, "badge 1", "outcome_unknown/may-have-run", "replayed badge 1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, s := kv.New(1), &service{hook: func(int) (job.Outcome, error) {
					time.Sleep(c.inCall)
					return nil, nil
				}}
				paused := New(Options{KV: &pausingKV{store, c.afterIntent}, Environment: "test"})
				other := New(Options{KV: store, Environment: "test"})
				var first string
				var caller sync.WaitGroup
				caller.Go(func() { first = outcomeOf(paused.Handle(t.Context(), newBadgeJob("r1", "ann"), s)) })
				time.Sleep(30 * time.Second)
				if got := outcomeOf(other.Handle(t.Context(), newBadgeJob("r2", "ann"), s)); got != c.during {
					t.Errorf("during the pause: got %q, want %q", got, c.during)
				}
				caller.Wait()
				if first != c.first {
					t.Errorf("first attempt: got %q, want %q", first, c.first)
				}
				if err := paused.Wait(t.Context()); err != nil {
					t.Error(err)
				}
				if got := outcomeOf(other.Handle(t.Context(), newBadgeJob("r3", "ann"), s)); got != c.last {
					t.Errorf("after the pause: got %q, want %q", got, c.last)
				}
				if s.calls != 1 {
					t.Errorf("%d calls, want 1", s.calls)
				}
			})
		})
	}
}

// TestRetention checks that a record is stored for its retention, also when
// leases are rotated, and is deleted afterwards.
func TestRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := kv.New(1), &service{}
		f := New(Options{KV: store, Environment: "test"})
		results := []string{"badge 1", "replayed badge 1", "badge 2"}
		for i, pause := range []time.Duration{0, retention, leaseTTL - retention + time.Hour} {
			time.Sleep(pause)
			if got := outcomeOf(f.Handle(t.Context(), newBadgeJob(fmt.Sprint("r", i), "ann"), s)); got != results[i] {
				t.Errorf("call %d: got %q, want %q", i, got, results[i])
			}
		}
		entries, err := store.List(t.Context(), keyPrefix)
		if err != nil || len(entries) != 1 {
			t.Errorf("%d records, %v", len(entries), err)
		}
	})
}

// TestLateIntent checks that a caller can retry a call whose intent is written
// only after the call was refused as not run.
func TestLateIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := kv.New(1), &service{}
		f := New(Options{KV: store, Environment: "test"})
		if _, err := f.store.leases.current(t.Context()); err != nil {
			t.Fatal(err)
		}
		store.SetFaults(kv.Faults{Delay: 5 * time.Second})
		time.AfterFunc(time.Second, func() { store.SetFaults(kv.Faults{}) })
		if got := outcomeOf(f.Handle(t.Context(), newBadgeJob("r1", "ann"), s)); got != "store_unavailable/not-run" {
			t.Errorf("first attempt: got %q", got)
		}
		time.Sleep(10 * time.Second)
		if got := outcomeOf(f.Handle(t.Context(), newBadgeJob("r2", "ann"), s)); got != "badge 1" {
			t.Errorf("retry: got %q", got)
		}
		if err := f.Wait(t.Context()); err != nil {
			t.Error(err)
		}
	})
}
