package sidecar

import (
	"context"
	"testing"

	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func TestExecuteOverTheNetwork(t *testing.T) {
	s := New(Options{Settings: engineSettings(), Source: control.NewAtomicSource(snapshot(3)), Executor: executorFunc(generate)})
	client := dial(t, serve(t, s))
	frames := receive(t, execute(t, context.Background(), client, generation("r1")), 0)
	if len(frames) != 5 || frames[4].Tail == nil {
		t.Fatalf("got %d frames, last %v", len(frames), frames[len(frames)-1])
	}
	for i, frame := range frames {
		if frame.Sequence != uint64(i+1) || frame.RequestId != "r1" || frame.Attempt != 1 || frame.Revisions.Document != 3 {
			t.Errorf("frame %d: %v", i, frame)
		}
	}
}

func badge(id, key string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{
		RequestId: id, Attempt: 1, Workspace: "north", KeyId: "k1", Route: "badge", PatienceMs: 5000,
		Call: &wire.Call{Method: "POST", Path: "/badges/ann", Body: []byte("ann"), Once: true, IdempotencyKey: key},
	}
}

func TestRepeatedCallRunsOnce(t *testing.T) {
	printer := &countingExecutor{run: func(_ context.Context, j *Job) (Outcome, error) {
		return &wire.Frame{RequestId: j.Request.RequestId, Reply: &wire.Reply{Status: 201, Body: []byte("printed")}}, nil
	}}
	store := kv.New(1)
	for i, id := range []string{"r1", "r2"} {
		s := New(Options{Settings: serviceSettings(), Source: control.NewAtomicSource(snapshot(1)), Executor: printer, KV: store, Environment: "test"})
		stream := execute(t, context.Background(), dial(t, serve(t, s)), badge(id, "order-1"))
		reply := receive(t, stream, 0)[0].Reply
		if string(reply.GetBody()) != "printed" || reply.GetReplayed() != (i == 1) {
			t.Errorf("%s: %v", id, reply)
		}
		if reply.GetLoad().GetMaxRunning() == 0 {
			t.Errorf("%s: the reply carries no load", id)
		}
	}
	if calls := printer.calls.Load(); calls != 1 {
		t.Errorf("%d calls, want 1", calls)
	}
}
