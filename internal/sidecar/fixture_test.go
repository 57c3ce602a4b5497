package sidecar

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// document returns a document with two workspaces with a key each, a model, and
// a route of each kind.
func document() *config.Document {
	d := &config.Document{
		Models:     []config.Model{{Name: "m", Group: "engines", WeightsVersion: "v1"}},
		Groups:     []config.Group{{Name: "engines", Kind: config.GroupEngines}, {Name: "desk", Kind: config.GroupService}},
		Workspaces: []config.Workspace{{Name: "north", Rate: 100}, {Name: "south", Rate: 100}},
		Keys:       []config.Key{{ID: "k1", Workspace: "north"}, {ID: "k2", Workspace: "south"}},
		Routes: []config.Route{
			{Name: "chat", Path: "/v1/chat/completions", Access: config.AccessKey},
			{Name: "badge", Method: "POST", Path: "/badges/*", Group: "desk", Access: config.AccessKey, AtMostOnce: true, Timeout: 5 * time.Second},
			{Name: "hours", Method: "GET", Path: "/hours", Group: "desk", Access: config.AccessOpen, Workspace: "north"},
			{Name: "lookup", Method: "GET", Path: "/guests/*", Group: "desk", Access: config.AccessKey, Timeout: 5 * time.Second},
		},
	}
	d.BuildIndex()
	return d
}

// snapshot returns a snapshot with the given revision of the document and the
// withdrawn keys.
func snapshot(number uint64, withdrawn ...string) *control.Snapshot {
	revision := &config.Revision{Number: number, Document: document(), Withdrawn: map[string]struct{}{}}
	for _, id := range withdrawn {
		revision.Withdrawn[id] = struct{}{}
	}
	return &control.Snapshot{Config: revision, View: membership.NewView(nil), Listed: true}
}

// executorFunc is a function that implements Executor.
type executorFunc func(context.Context, *Job) (Outcome, error)

func (f executorFunc) Handle(ctx context.Context, j *Job) (Outcome, error) { return f(ctx, j) }

// countingExecutor is an executor that counts its calls.
type countingExecutor struct {
	calls atomic.Int64
	run   executorFunc
}

func (c *countingExecutor) Handle(ctx context.Context, j *Job) (Outcome, error) {
	c.calls.Add(1)
	return c.run(ctx, j)
}

// generate emits a head and three token frames and returns a tail.
func generate(_ context.Context, j *Job) (Outcome, error) {
	j.Emit(&wire.Frame{Head: &wire.Head{Model: "m"}})
	for _, text := range []string{"one ", "two ", "three"} {
		j.Emit(&wire.Frame{Tokens: &wire.Tokens{Text: text, Count: 1}})
	}
	return &wire.Frame{Tail: &wire.Tail{FinishReason: "stop", PromptTokens: 4, CompletionTokens: 3}}, nil
}

func engineSettings() *config.SidecarSettings {
	return &config.SidecarSettings{Kind: config.GroupEngines, Group: "engines", MaxConcurrent: 4, QueueLimit: 64, StreamRetention: 2 * time.Second}
}

func serviceSettings() *config.SidecarSettings {
	return &config.SidecarSettings{Kind: config.GroupService, Group: "desk", MaxConcurrent: 4, QueueLimit: 64, StreamRetention: 2 * time.Second}
}

func generation(id string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{
		RequestId: id, Attempt: 1, Workspace: "north", KeyId: "k1", Route: "chat", PatienceMs: 5000,
		Generation: &wire.Generation{Model: "m", WeightsVersion: "v1", Prompt: "twelve bytes", MaxTokens: 3},
	}
}

// serve runs the sidecar's rpc on loopback and returns its address.
func serve(t *testing.T, s *Sidecar) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := drpcmux.New()
	if err := wire.DRPCRegisterBackend(mux, s); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = rpc.Serve(ctx, listener, mux, nil, nil) })
	t.Cleanup(func() { cancel(); served.Wait() })
	return listener.Addr().String()
}

// dial returns a client of the sidecar at address.
func dial(t *testing.T, address string) wire.DRPCBackendClient {
	t.Helper()
	dialer := rpc.NewDialer(nil)
	t.Cleanup(func() { _ = dialer.Close() })
	conn := dialer.Conn(context.Background(), address)
	t.Cleanup(func() { _ = conn.Close() })
	return wire.NewDRPCBackendClient(conn)
}

// execute sends a request and returns its response stream, which is closed at the
// end of the test.
func execute(t *testing.T, ctx context.Context, client wire.DRPCBackendClient, req *wire.ExecuteRequest) receiver {
	t.Helper()
	ctx, cancel := context.WithCancel(ctx)
	t.Cleanup(cancel)
	stream, err := client.Execute(ctx, req)
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

// receiver is the reading side of a frame stream.
type receiver interface {
	Recv() (*wire.Frame, error)
}

// isFinal reports whether a frame ends a response.
func isFinal(frame *wire.Frame) bool {
	return frame.Tail != nil || frame.Reply != nil || frame.Failure != nil
}

// receive reads frames up to the final one, and at most count if count is not 0.
func receive(t *testing.T, stream receiver, count int) []*wire.Frame {
	t.Helper()
	var frames []*wire.Frame
	for count == 0 || len(frames) < count {
		frame, err := stream.Recv()
		if err != nil {
			t.Fatalf("after %d frames: %v", len(frames), err)
		}
		frames = append(frames, frame)
		if isFinal(frame) {
			if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
				t.Errorf("after the final frame: %v", err)
			}
			break
		}
	}
	return frames
}
