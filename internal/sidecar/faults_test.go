package sidecar

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// gatedExecutor generates one token for each value received from step. It returns
// a tail when step is closed and an error when its context ends.
type gatedExecutor struct {
	step  chan struct{}
	calls atomic.Int64
	ended atomic.Bool // the context ended an execution
}

func (g *gatedExecutor) Handle(ctx context.Context, j *Job) (Outcome, error) {
	g.calls.Add(1)
	j.Emit(&wire.Frame{Head: &wire.Head{Model: "m"}})
	for n := 1; ; n++ {
		select {
		case _, ok := <-g.step:
			if !ok {
				return &wire.Frame{Tail: &wire.Tail{FinishReason: "stop"}}, nil
			}
			j.Emit(&wire.Frame{Tokens: &wire.Tokens{Text: fmt.Sprint("t", n), Count: 1}})
		case <-ctx.Done():
			g.ended.Store(true)
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "cancelled")
		}
	}
}

func texts(frames []*wire.Frame) string {
	var b strings.Builder
	for _, frame := range frames {
		b.WriteString(frame.GetTokens().GetText())
	}
	return b.String()
}

func failureOf(t *testing.T, frames []*wire.Frame) (verdict.Code, verdict.Verdict) {
	t.Helper()
	failure := frames[len(frames)-1].Failure
	if failure == nil {
		t.Fatalf("final frame %v is no failure", frames[len(frames)-1])
	}
	return verdict.Code(failure.Code), verdict.Verdict(failure.Verdict)
}

func resume(t *testing.T, client wire.DRPCBackendClient, req *wire.ResumeRequest) []*wire.Frame {
	t.Helper()
	stream, err := client.Resume(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	return receive(t, stream, 0)
}

// TestStreamSurvivesDisconnect closes the connection in the middle of a stream:
// the attempt must continue, and the stream be readable from another connection,
// only for its own workspace. Each frame must arrive before the next is generated.
func TestStreamSurvivesDisconnect(t *testing.T) {
	g := &gatedExecutor{step: make(chan struct{})}
	source := control.NewAtomicSource(snapshot(1))
	address := serve(t, New(Options{Settings: engineSettings(), Source: source, Executor: g}))
	ctx, disconnect := context.WithCancel(context.Background())
	stream := execute(t, ctx, dial(t, address), generation("r1"))
	frames := receive(t, stream, 1)
	g.step <- struct{}{}
	frames = append(frames, receive(t, stream, 1)...)
	disconnect()
	g.step <- struct{}{}
	again := execute(t, context.Background(), dial(t, address), generation("r1"))
	g.step <- struct{}{}
	if got := texts(receive(t, again, 4)); got != "t1t2t3" {
		t.Errorf("the repeated attempt reads %q", got)
	}
	close(g.step)
	other := dial(t, address)
	rest := resume(t, other, &wire.ResumeRequest{RequestId: "r1", Attempt: 1, AfterSequence: 2, Workspace: "north", KeyId: "k1"})
	if got := texts(append(frames, rest...)); got != "t1t2t3" || rest[len(rest)-1].Tail == nil {
		t.Errorf("resumed stream reads %q", got)
	}
	if calls := g.calls.Load(); calls != 1 {
		t.Errorf("%d executions, want 1", calls)
	}
	cases := []struct {
		name string
		req  *wire.ResumeRequest
		code verdict.Code
	}{
		{"another workspace", &wire.ResumeRequest{RequestId: "r1", Attempt: 1, Workspace: "south", KeyId: "k2"}, verdict.CodeStreamLost},
		{"another workspace's key", &wire.ResumeRequest{RequestId: "r1", Attempt: 1, Workspace: "north", KeyId: "k2"}, verdict.CodeForbidden},
		{"no key", &wire.ResumeRequest{RequestId: "r1", Attempt: 1, Workspace: "north"}, verdict.CodeStreamLost},
		{"unknown attempt", &wire.ResumeRequest{RequestId: "r1", Attempt: 2, Workspace: "north", KeyId: "k1"}, verdict.CodeStreamLost},
		{"beyond the end", &wire.ResumeRequest{RequestId: "r1", Attempt: 1, AfterSequence: 99, Workspace: "north", KeyId: "k1"}, verdict.CodeStreamLost},
	}
	for _, c := range cases {
		if code, v := failureOf(t, resume(t, other, c.req)); code != c.code || v != verdict.MayHaveRun {
			t.Errorf("%s: %s, %s", c.name, code, v)
		}
	}
	source.Publish(snapshot(2, "k1"))
	if code, v := failureOf(t, resume(t, other, cases[3].req)); code != verdict.CodeKeyWithdrawn || v != verdict.MayHaveRun {
		t.Errorf("withdrawn: %s, %s", code, v)
	}
}

// TestCancelledJobs cancels running and waiting requests, by the caller and by
// withdrawal of their key. Only the waiting ones may count as not run.
func TestCancelledJobs(t *testing.T) {
	cases := []struct {
		name   string
		cancel func(*testing.T, *Sidecar, *control.AtomicSource, wire.DRPCBackendClient)
		code   verdict.Code
	}{
		{"withdrawn key", func(_ *testing.T, s *Sidecar, source *control.AtomicSource, _ wire.DRPCBackendClient) {
			source.Publish(snapshot(2, "k1"))
			s.SnapshotChanged()
		}, verdict.CodeKeyWithdrawn},
		{"cancel", func(t *testing.T, _ *Sidecar, _ *control.AtomicSource, client wire.DRPCBackendClient) {
			for _, id := range []string{"waiting", "running"} {
				other, err := client.Cancel(context.Background(), &wire.CancelRequest{RequestId: id, Attempt: 1, Workspace: "south"})
				if err != nil || other.Found {
					t.Errorf("another workspace cancelled %s: %v", id, err)
				}
				reply, err := client.Cancel(context.Background(), &wire.CancelRequest{RequestId: id, Attempt: 1, Workspace: "north"})
				if err != nil || !reply.Found {
					t.Errorf("cancel %s: %v %v", id, reply, err)
				}
			}
		}, verdict.CodeCancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := &gatedExecutor{step: make(chan struct{})}
			source := control.NewAtomicSource(snapshot(1))
			settings := engineSettings()
			settings.MaxConcurrent = 1
			s := New(Options{Settings: settings, Source: source, Executor: g})
			address := serve(t, s)
			running := execute(t, context.Background(), dial(t, address), generation("running"))
			receive(t, running, 1)
			waiting := execute(t, context.Background(), dial(t, address), generation("waiting"))
			for s.QueueStatus().Urgent == 0 {
				time.Sleep(time.Millisecond)
			}
			c.cancel(t, s, source, dial(t, address))
			if code, v := failureOf(t, receive(t, running, 0)); code != c.code || v != verdict.MayHaveRun {
				t.Errorf("running: %s, %s", code, v)
			}
			if code, v := failureOf(t, receive(t, waiting, 0)); code != c.code || v != verdict.NotRun {
				t.Errorf("waiting: %s, %s", code, v)
			}
			if err := s.Drain(t.Context()); err != nil {
				t.Error(err)
			}
			if !g.ended.Load() || g.calls.Load() != 1 {
				t.Errorf("execution ended %v, %d executions", g.ended.Load(), g.calls.Load())
			}
		})
	}
}

// TestWithdrawalWhileWaiting withdraws a key while its request waits, without
// SnapshotChanged: the check before the execution must refuse the request.
func TestWithdrawalWhileWaiting(t *testing.T) {
	g := &gatedExecutor{step: make(chan struct{})}
	source := control.NewAtomicSource(snapshot(1))
	settings := engineSettings()
	settings.MaxConcurrent = 1
	s := New(Options{Settings: settings, Source: source, Executor: g})
	address := serve(t, s)
	running := execute(t, context.Background(), dial(t, address), generation("running"))
	receive(t, running, 1)
	waiting := execute(t, context.Background(), dial(t, address), generation("waiting"))
	for s.QueueStatus().Urgent == 0 {
		time.Sleep(time.Millisecond)
	}
	source.Publish(snapshot(2, "k1"))
	close(g.step)
	if code, v := failureOf(t, receive(t, waiting, 0)); code != verdict.CodeKeyWithdrawn || v != verdict.NotRun {
		t.Errorf("waiting request: got %s, %s; want it refused for the withdrawn key as not run", code, v)
	}
	receive(t, running, 0)
}

// TestCancelBeforeRequest cancels an attempt before its request arrives: it must
// not run.
func TestCancelBeforeRequest(t *testing.T) {
	never := executorFunc(func(context.Context, *Job) (Outcome, error) { panic("ran") })
	client := dial(t, serve(t, New(Options{Settings: engineSettings(), Source: control.NewAtomicSource(snapshot(1)), Executor: never})))
	reply, err := client.Cancel(context.Background(), &wire.CancelRequest{RequestId: "r1", Attempt: 1, Workspace: "north"})
	if err != nil || reply.Found {
		t.Fatalf("%v, %v", reply, err)
	}
	if code, v := failureOf(t, receive(t, execute(t, context.Background(), client, generation("r1")), 0)); code != verdict.CodeCancelled || v != verdict.NotRun {
		t.Errorf("got %s, %s; want it cancelled and not run", code, v)
	}
}

// TestWithdrawalDoesNotInterruptCall withdraws the key while its at-most-once
// call runs: the caller's stream ends, but the call completes and is recorded.
func TestWithdrawalDoesNotInterruptCall(t *testing.T) {
	printing, finish := make(chan struct{}), make(chan struct{})
	printer := executorFunc(func(ctx context.Context, _ *Job) (Outcome, error) {
		close(printing)
		select {
		case <-finish:
			return &wire.Frame{Reply: &wire.Reply{Status: 201, Body: []byte("printed")}}, nil
		case <-ctx.Done():
			return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "cut")
		}
	})
	source, store := control.NewAtomicSource(snapshot(1)), kv.New(1)
	s := New(Options{Settings: serviceSettings(), Source: source, Executor: printer, KV: store, Environment: "test"})
	client := dial(t, serve(t, s))
	stream := execute(t, context.Background(), client, badge("r1", "order-1"))
	<-printing
	source.Publish(snapshot(2, "k1"))
	s.SnapshotChanged()
	if code, v := failureOf(t, receive(t, stream, 0)); code != verdict.CodeKeyWithdrawn || v != verdict.MayHaveRun {
		t.Errorf("got %s, %s; want it ended by the withdrawn key, may have run", code, v)
	}
	close(finish)
	if err := s.Drain(t.Context()); err != nil {
		t.Fatal(err)
	}
	entries, err := store.List(t.Context(), "wasabigate/once/test/")
	if err != nil || len(entries) != 1 || !strings.Contains(string(entries[0].Value), "printed") {
		t.Errorf("records %v, %v", entries, err)
	}
}

// TestDrainUnderLoad drains a sidecar while callers send requests continuously.
// Each request must complete or be refused as not run.
func TestDrainUnderLoad(t *testing.T) {
	slow := executorFunc(func(ctx context.Context, j *Job) (Outcome, error) {
		j.Emit(&wire.Frame{Head: &wire.Head{Model: "m"}})
		time.Sleep(20 * time.Millisecond)
		return generate(ctx, j)
	})
	s := New(Options{Settings: engineSettings(), Source: control.NewAtomicSource(snapshot(1)), Executor: slow})
	address := serve(t, s)
	var completed, refused, draining atomic.Int64
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for c := range 16 {
		client := dial(t, address)
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				atStart := draining.Load()
				frames := receive(t, execute(t, context.Background(), client, generation(fmt.Sprint(c, "-", n))), 0)
				final := frames[len(frames)-1]
				switch {
				case final.Tail != nil && len(frames) == 6 && atStart == 0:
					completed.Add(1)
				case final.Failure.GetCode() == string(verdict.CodeDraining) && verdict.Verdict(final.Failure.Verdict) == verdict.NotRun:
					refused.Add(1)
					if !final.Failure.Load.Draining {
						t.Error("the refusal does not report that the server is draining")
					}
				default:
					t.Errorf("interrupted, or run although the sidecar is draining: %v", final)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	time.AfterFunc(200*time.Millisecond, func() { close(stop) })
	time.AfterFunc(50*time.Millisecond, func() { draining.Store(1) })
	if err := s.Drain(ctx); err != nil {
		t.Fatal(err)
	}
	callers.Wait()
	if completed.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d completed, %d refused", completed.Load(), refused.Load())
	}
	if load := s.Load(); load.Running != 0 || load.Queued != 0 || !load.Draining {
		t.Errorf("load after the drain: %v", load)
	}
}

// TestStopTooShortForTheQueue drains with a deadline that a running request
// exceeds: waiting requests are refused as not run, and Drain returns an error.
func TestStopTooShortForTheQueue(t *testing.T) {
	g := &gatedExecutor{step: make(chan struct{})}
	settings := engineSettings()
	settings.MaxConcurrent = 1
	s := New(Options{Settings: settings, Source: control.NewAtomicSource(snapshot(1)), Executor: g})
	address := serve(t, s)
	running := execute(t, context.Background(), dial(t, address), generation("running"))
	receive(t, running, 1)
	waiting := execute(t, context.Background(), dial(t, address), generation("waiting"))
	for s.QueueStatus().Urgent == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	if err := s.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain with a running request: %v", err)
	}
	if code, v := failureOf(t, receive(t, waiting, 0)); code != verdict.CodeDraining || v != verdict.NotRun {
		t.Errorf("waiting request: got %s, %s; want it refused as draining and not run", code, v)
	}
	close(g.step)
	receive(t, running, 0)
}

// fencelessEngine is an engine that ignores fencing tokens.
type fencelessEngine struct {
	engine.Engine
	mu      sync.Mutex
	applied []uint64
}

func (e *fencelessEngine) Apply(_ context.Context, order engine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.applied = append(e.applied, order.Fence)
	return nil
}

func (e *fencelessEngine) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: 1, Fence: 3}, nil
}

func TestStaleOrdersAreRefused(t *testing.T) {
	e := &fencelessEngine{}
	s := New(Options{Settings: engineSettings(), Source: control.NewAtomicSource(snapshot(1)), Executor: executorFunc(generate), Engine: e})
	client := dial(t, serve(t, s))
	for i, c := range []struct {
		fence uint64
		stale bool
	}{{2, true}, {3, false}, {5, false}, {4, true}, {5, false}, {3, true}} {
		_, err := client.Order(context.Background(), &wire.OrderRequest{Fence: c.fence, Role: "decode"})
		if c.stale != (drpcerr.Code(err) == OrderStaleFence) || c.stale != (err != nil) {
			t.Errorf("order %d with fence %d: %v", i, c.fence, err)
		}
	}
	if fmt.Sprint(e.applied) != "[3 5 5]" {
		t.Errorf("the engine applied orders with fences %v", e.applied)
	}
	if _, err := dial(t, serve(t, New(Options{Settings: serviceSettings(), Source: control.NewAtomicSource(snapshot(1))}))).Order(context.Background(), &wire.OrderRequest{}); drpcerr.Code(err) != OrderUnsupported {
		t.Errorf("order to a plain service: %v", errors.Cause(err))
	}
}
