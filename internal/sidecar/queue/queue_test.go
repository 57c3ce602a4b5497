package queue

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// arrival describes a request of a simulated load.
type arrival struct {
	at        time.Duration
	workspace string
	class     wire.Priority
	maxWait   time.Duration
	service   time.Duration
	tokens    uint32 // completion tokens that the backend server reports
	err       error  // returned by the execution
}

// result is the result of an arrival.
type result struct {
	arrival
	order   int // position among the started requests, from 1; 0 if not started
	wait    time.Duration
	refusal *verdict.Error
}

// simulate sends the arrivals to the queue and waits for their results. It runs
// within a synctest bubble.
func simulate(ctx context.Context, q *Queue, rates map[string]int64, arrivals []arrival) []result {
	document := &config.Document{}
	for name, rate := range rates {
		document.Workspaces = append(document.Workspaces, config.Workspace{Name: name, Rate: rate})
	}
	document.BuildIndex()
	snapshot := &control.Snapshot{Config: &config.Revision{Document: document}}
	results := make([]result, len(arrivals))
	var mu sync.Mutex
	started := 0
	var callers sync.WaitGroup
	for i, a := range arrivals {
		callers.Go(func() {
			time.Sleep(a.at)
			r := result{arrival: a}
			j := &job.Job{Received: time.Now(), Snapshot: snapshot, Emit: func(*wire.Frame) {}, Request: &wire.ExecuteRequest{
				RequestId: fmt.Sprint("r", i), Workspace: a.workspace, Priority: a.class, PatienceMs: a.maxWait.Milliseconds(),
				Generation: &wire.Generation{Prompt: "four"},
			}}
			_, err := q.Handle(ctx, j, pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
				mu.Lock()
				started++
				r.order = started
				mu.Unlock()
				time.Sleep(a.service)
				return &wire.Frame{Tail: &wire.Tail{PromptTokens: 1, CompletionTokens: a.tokens}}, a.err
			}))
			r.wait = j.QueueWait
			r.refusal = verdict.From(err)
			results[i] = r
		})
	}
	callers.Wait()
	return results
}

// newQueue returns a queue with the given number of slots.
func newQueue(slots int) *Queue {
	return New(&config.SidecarSettings{MaxConcurrent: slots, QueueLimit: 500, AgeingBound: time.Minute})
}

// checkEmpty fails the test unless all of the queue's state is empty, as it must be
// once all requests have ended.
func checkEmpty(t *testing.T, q *Queue) {
	t.Helper()
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running != 0 || q.waitingLocked() != 0 || q.backlogTokens[laneUrgent]+q.backlogTokens[laneDeferrable] != 0 {
		t.Errorf("not empty: %d running, %d waiting, %d backlog tokens", q.running, q.waitingLocked(), q.backlogTokens[laneUrgent]+q.backlogTokens[laneDeferrable])
	}
	for i := range q.lanes {
		l := &q.lanes[i]
		if len(l.flows) != 0 || len(l.waitingFlows) != 0 || l.running != 0 {
			t.Errorf("lane %d not empty: %d flows, %d running", i, len(l.flows), l.running)
		}
	}
}

// repeat returns count copies of an arrival, one per period.
func repeat(count int, period time.Duration, a arrival) []arrival {
	list := make([]arrival, count)
	for i := range list {
		list[i] = a
		list[i].at += time.Duration(i) * period
	}
	return list
}

// countStarts counts the first starts by workspace.
func countStarts(results []result, starts int) map[string]int {
	counts := make(map[string]int)
	for _, r := range results {
		if r.order > 0 && r.order <= starts {
			counts[r.workspace]++
		}
	}
	return counts
}

func TestFairShares(t *testing.T) {
	urgent, deferrable := wire.Priority_PRIORITY_URGENT, wire.Priority_PRIORITY_DEFERRABLE
	base := arrival{service: time.Second, tokens: 100}
	newArrival := func(workspace string, at time.Duration, class wire.Priority, tokens uint32) arrival {
		a := base
		a.workspace, a.at, a.class, a.tokens = workspace, at, class, tokens
		return a
	}
	flood := repeat(60, 0, newArrival("big", 0, urgent, 100))
	cases := []struct {
		name     string
		rates    map[string]int64
		arrivals []arrival
		starts   int
		want     map[string]int // minimum among the first starts
	}{
		{"a flood does not starve other workspaces", nil, append(flood, repeat(10, 0, newArrival("small", time.Millisecond, urgent, 100))...), 21, map[string]int{"small": 10}},
		{"shares follow the rates", map[string]int64{"big": 300, "small": 100}, append(flood, repeat(30, 0, newArrival("small", time.Millisecond, urgent, 100))...), 41, map[string]int{"big": 29, "small": 9}},
		{"shares count tokens", nil, append(repeat(60, 0, newArrival("big", 0, urgent, 300)), repeat(40, 0, newArrival("small", time.Millisecond, urgent, 100))...), 41, map[string]int{"big": 9, "small": 29}},
		{"idle time earns no credit", nil, append(repeat(80, 0, newArrival("big", 0, urgent, 100)), repeat(40, 0, newArrival("small", 30*time.Second, urgent, 100))...), 51, map[string]int{"big": 40, "small": 9}},
		{"urgent goes first", nil, append(repeat(30, 0, newArrival("night", 0, deferrable, 100)), repeat(20, 0, newArrival("door", time.Millisecond, urgent, 100))...), 21, map[string]int{"door": 20}},
		{"one aged request in four", nil, append(repeat(30, 0, newArrival("night", 0, deferrable, 100)), repeat(200, 0, newArrival("door", time.Millisecond, urgent, 100))...), 101, map[string]int{"night": 10, "door": 89}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQueue(1)
				got := countStarts(simulate(t.Context(), q, c.rates, c.arrivals), c.starts)
				for workspace, want := range c.want {
					if got[workspace] < want {
						t.Errorf("%s: %d of the first %d starts, want %d", workspace, got[workspace], c.starts, want)
					}
				}
				checkEmpty(t, q)
			})
		})
	}
}

func TestRefusals(t *testing.T) {
	longWait := arrival{workspace: "a", maxWait: time.Hour, service: time.Second}
	shortWait := arrival{workspace: "b", at: 5500 * time.Millisecond, maxWait: 300 * time.Millisecond, service: time.Second}
	beforeSample := shortWait
	beforeSample.at = 10 * time.Millisecond
	failing := longWait
	failing.err = verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "refused")
	cases := []struct {
		name     string
		limit    int
		arrivals []arrival // the last one is checked
		code     verdict.Code
		within   time.Duration // longest wait before the refusal
		started  int
	}{
		{"expected wait, at arrival", 50, append(repeat(20, 0, longWait), shortWait), verdict.CodeOverloaded, 0, 20},
		{"no service time known, at the deadline", 50, append(repeat(20, 0, longWait), beforeSample), verdict.CodeOverloaded, 300 * time.Millisecond, 20},
		{"slot becomes free at the deadline", 50, []arrival{longWait, {workspace: "a", at: time.Millisecond, maxWait: 999 * time.Millisecond}}, verdict.CodeOverloaded, time.Second, 1},
		{"another workspace's flood counts only in part", 50, append(repeat(30, 0, longWait), arrival{workspace: "b", at: 5500 * time.Millisecond, maxWait: 3 * time.Second}), "", 0, 31},
		{"queue full of the workspace's own requests", 5, append(repeat(6, 0, longWait), arrival{workspace: "a", at: time.Millisecond, maxWait: time.Hour}), verdict.CodeOverloaded, 0, 6},
		{"another workspace's flood is evicted", 5, append(repeat(6, 0, longWait), arrival{workspace: "b", at: time.Millisecond, maxWait: time.Hour}), "", 0, 6},
		{"slots of refused executions are free again", 50, append(repeat(20, 0, failing), arrival{workspace: "b", at: time.Millisecond, maxWait: time.Hour}), "", 0, 21},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := New(&config.SidecarSettings{MaxConcurrent: 1, QueueLimit: c.limit})
				results := simulate(t.Context(), q, nil, c.arrivals)
				started := 0
				for _, r := range results {
					if r.order > 0 {
						started++
						continue
					}
					if r.refusal == nil || r.refusal.Verdict != verdict.NotRun || r.refusal.RetryAfter < minRetryAfter {
						t.Errorf("not started: got %v, want NotRun with a retry time", r.refusal)
					}
				}
				checked := results[len(results)-1]
				switch {
				case c.code == "" && checked.refusal != nil:
					t.Errorf("refused: %v, want it not refused", checked.refusal)
				case c.code != "" && (checked.refusal == nil || checked.refusal.Code != c.code || checked.wait > c.within):
					t.Errorf("got refusal %v after a wait of %v", checked.refusal, checked.wait)
				}
				if started != c.started {
					t.Errorf("%d started, want %d", started, c.started)
				}
				checkEmpty(t, q)
			})
		})
	}
}

// TestNeighbourBurst checks that workspaces within their rates are not refused,
// and that their p99 latency grows at most 1.5 times, while another workspace
// sends five times its rate.
func TestNeighbourBurst(t *testing.T) {
	const perSecond = 6 // requests of each of five workspaces; the four slots serve 40 per second
	latency := func(t *testing.T, seed uint64, burst int) time.Duration {
		rng := rand.New(rand.NewPCG(seed, 7))
		var arrivals []arrival
		rates := make(map[string]int64)
		for w := range 5 {
			rates[fmt.Sprint("w", w)] = perSecond * 100
			rate := float64(perSecond)
			if w == 0 {
				rate *= float64(burst)
			}
			for at := 0.0; at < 60; at += rng.ExpFloat64() / rate {
				arrivals = append(arrivals, arrival{workspace: fmt.Sprint("w", w), at: time.Duration(at * float64(time.Second)),
					maxWait: 10 * time.Second, service: 100 * time.Millisecond, tokens: 100})
			}
		}
		var took []time.Duration
		for _, r := range simulate(t.Context(), newQueue(4), rates, arrivals) {
			if r.workspace == "w0" {
				continue
			}
			if r.refusal != nil {
				t.Errorf("%s is within its rate but was refused: %v", r.workspace, r.refusal)
			}
			took = append(took, r.wait+r.service)
		}
		slices.SortFunc(took, cmp.Compare[time.Duration])
		return took[len(took)*99/100]
	}
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			calm, burst := latency(t, seed, 1), latency(t, seed, 5)
			if burst > calm*3/2 {
				t.Errorf("seed %d: p99 %v without and %v with another workspace's burst", seed, calm, burst)
			}
			time.Sleep(time.Minute)
		})
	}
}

func TestUrgentUsesReservedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(8)
		deferrableLoad := repeat(40, 0, arrival{workspace: "night", class: wire.Priority_PRIORITY_DEFERRABLE, service: time.Minute})
		results := simulate(t.Context(), q, nil, append(deferrableLoad, arrival{workspace: "door", at: time.Second, service: time.Second}))
		if wait := results[40].wait; wait != 0 {
			t.Errorf("urgent request waited %v for deferrable ones", wait)
		}
		checkEmpty(t, q)
	})
}

func TestCancelAndRefuseWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(500*time.Millisecond, cancel)
		for _, r := range simulate(ctx, q, nil, repeat(5, 0, arrival{workspace: "a", service: time.Second})) {
			if r.order == 0 && (r.refusal.Code != verdict.CodeCancelled || r.refusal.Verdict != verdict.NotRun) {
				t.Errorf("after the cancellation: got %v, want NotRun and cancelled", r.refusal)
			}
		}
		checkEmpty(t, q)
		time.AfterFunc(500*time.Millisecond, q.RefuseWaiting)
		refused := 0
		for _, r := range simulate(t.Context(), q, nil, repeat(5, 0, arrival{workspace: "a", service: time.Second})) {
			if r.order == 0 && r.refusal.Code == verdict.CodeDraining && r.refusal.Verdict == verdict.NotRun {
				refused++
			}
		}
		if refused != 4 {
			t.Errorf("%d refused as draining, want 4", refused)
		}
		checkEmpty(t, q)
	})
}

// TestRandomLoad mixes cancellations, deadlines, refusals and evictions, and checks
// that each request either starts or is refused as not run.
func TestRandomLoad(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
			q := New(&config.SidecarSettings{MaxConcurrent: 4, QueueLimit: 20, AgeingBound: time.Second})
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(4*time.Second, cancel)
			time.AfterFunc(2*time.Second, q.RefuseWaiting)
			var arrivals []arrival
			for range 300 {
				arrivals = append(arrivals, arrival{
					at: upTo(5 * time.Second), workspace: fmt.Sprint("w", rng.IntN(5)), class: wire.Priority(rng.IntN(2)),
					maxWait: upTo(2 * time.Second), service: upTo(300 * time.Millisecond), tokens: rng.Uint32N(500),
				})
			}
			for _, r := range simulate(ctx, q, nil, arrivals) {
				if (r.order == 0) != (r.refusal != nil) {
					t.Errorf("seed %d: started %v and refused %v", seed, r.order > 0, r.refusal)
				}
				if r.refusal != nil && r.refusal.Verdict != verdict.NotRun {
					t.Errorf("seed %d: refused with %v, want verdict NotRun", seed, r.refusal)
				}
			}
			checkEmpty(t, q)
		})
	}
}

func TestPileUpIsLogged(t *testing.T) {
	lines := memory.New()
	previous := log.Log.(*log.Logger).Handler
	log.SetHandler(lines)
	defer log.SetHandler(previous)
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1)
		go simulate(t.Context(), q, nil, repeat(100, 0, arrival{workspace: "night", service: time.Second}))
		time.Sleep(10 * time.Second)
		if !q.Status().PileUp {
			t.Error("no pile-up after 10 s")
		}
		time.Sleep(3 * time.Minute)
		if q.Status().PileUp {
			t.Error("the pile-up did not end")
		}
	})
	seen := make(map[string]int)
	for _, entry := range lines.Entries {
		seen[entry.Message]++
	}
	if seen["queue: pile-up started"] != 1 || seen["queue: pile-up lasts"] < 2 || seen["queue: pile-up ended"] != 1 {
		t.Errorf("pile-up logged as started %d, lasts %d, ended %d times; want 1, at least 2, 1", seen["queue: pile-up started"], seen["queue: pile-up lasts"], seen["queue: pile-up ended"])
	}
}
