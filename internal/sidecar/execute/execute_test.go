package execute_test

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

func generation(maxTokens uint32) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestId: "r", Attempt: 2, Workspace: "kopano", Generation: &wire.Generation{
		Model: "badge", WeightsVersion: "7", Prompt: strings.Repeat("names of guests ", 16), MaxTokens: maxTokens,
	}}
}

// result contains the emitted frames and the outcome of a job.
type result struct {
	frames  []*wire.Frame // emitted
	outcome job.Outcome
	err     *verdict.Error
}

func (r *result) text() string {
	var text strings.Builder
	for _, frame := range r.frames {
		text.WriteString(frame.GetTokens().GetText())
	}
	return text.String()
}

func run(ctx context.Context, x job.Executor, req *wire.ExecuteRequest) result {
	var r result
	route := &config.Route{Timeout: time.Minute}
	j := &job.Job{Request: req, Route: route, Emit: func(f *wire.Frame) { r.frames = append(r.frames, f) }}
	outcome, err := x.Handle(ctx, j)
	r.outcome, r.err = outcome, verdict.From(err)
	return r
}

func newEngine(t *testing.T) *model.Engine {
	e := model.New(model.Options{
		Loaded: []engine.LoadedWeights{{Model: "badge", Version: "7"}}, FirstIncarnation: 5, DecodeStep: time.Millisecond,
	})
	t.Cleanup(e.Close)
	return e
}

func TestGenerationEmitsHeadTokensAndTail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t)
		got := run(t.Context(), execute.New(e, nil), generation(3))
		if got.err != nil || len(got.frames) != 4 || got.frames[0].Head.GetLoad().GetIncarnation() != 5 {
			t.Fatalf("got %+v", got)
		}
		if tail := got.outcome.Tail; len(got.text()) != 12 || tail.CompletionTokens != 3 || tail.FinishReason != "length" || tail.Load.Incarnation != 5 {
			t.Errorf("text %q, tail %v", got.text(), tail)
		}
		// The cache salt is derived from the workspace.
		seed := prefix.Seed{Workspace: "kopano", Model: "badge", WeightsVersion: "7"}
		if _, err := e.ExportPiece(t.Context(), seed.Salt(), prefix.Chain(nil, seed.Salt(), generation(3).Generation.Prompt)); err != nil {
			t.Errorf("blocks of the prompt: %v", err)
		}
	})
}

func TestGenerationFaults(t *testing.T) {
	otherWeights := generation(100)
	otherWeights.Generation.WeightsVersion = "6"
	cases := []struct {
		name  string
		fault func(*model.Engine)
		req   *wire.ExecuteRequest
		want  verdict.Verdict
		code  verdict.Code
	}{
		{"weights not loaded", nil, otherWeights, verdict.NotRun, verdict.CodeWeightsMismatch},
		{"engine down", func(e *model.Engine) { e.Crash(time.Hour) }, generation(100), verdict.NotRun, verdict.CodeBackendFailed},
		{"engine refuses", nil, generation(0), verdict.NotRun, verdict.CodeBackendFailed},
		{"cut in mid-stream", func(e *model.Engine) { e.SetFaults(model.Faults{CutAfterChunks: 9}) }, generation(100), verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"crash in mid-stream", func(e *model.Engine) { time.AfterFunc(50*time.Millisecond, func() { e.Crash(0) }) }, generation(100), verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"frozen before the start", func(e *model.Engine) { e.Freeze(time.Hour) }, generation(100), verdict.NotRun, verdict.CodeBackendFailed},
		{"frozen in mid-stream", func(e *model.Engine) {
			time.AfterFunc(50*time.Millisecond, func() { e.Freeze(time.Hour) })
		}, generation(100), verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"call on an engine", nil, &wire.ExecuteRequest{Call: &wire.Call{}}, verdict.NotRun, verdict.CodeNoBackendServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := newEngine(t)
				whole := run(t.Context(), execute.New(e, nil), generation(100))
				if c.fault != nil {
					c.fault(e)
				}
				start := time.Now()
				got := run(t.Context(), execute.New(e, nil), c.req)
				if took := time.Since(start); took > 10*time.Second {
					t.Errorf("the failure was detected after %v", took)
				}
				if got.err == nil || got.err.Verdict != c.want || got.err.Code != c.code {
					t.Errorf("got %v, want %v %v", got.err, c.want, c.code)
				}
				if !strings.HasPrefix(whole.text(), got.text()) {
					t.Errorf("emitted %q", got.text())
				}
			})
		})
	}
}

// TestSlowPrefillIsNoTimeout checks that a stream is not cancelled while the
// engine computes a long prompt: it sends no chunk, but reports its state.
func TestSlowPrefillIsNoTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := model.New(model.Options{Loaded: []engine.LoadedWeights{{Model: "badge", Version: "7"}}, PrefillRate: 1})
		t.Cleanup(e.Close)
		start := time.Now()
		if got := run(t.Context(), execute.New(e, nil), generation(3)); got.err != nil || len(got.text()) != 12 {
			t.Errorf("%v after %v", got.err, time.Since(start))
		}
		if took := time.Since(start); took < 30*time.Second {
			t.Errorf("the prompt took %v, want at least 30 s", took)
		}
	})
}

func TestCancelStopsTheGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEngine(t)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		if got := run(ctx, execute.New(e, nil), generation(100_000)); got.err == nil || got.err.Code != verdict.CodeCancelled {
			t.Errorf("got %v", got.err)
		}
		synctest.Wait()
		if state, err := e.State(t.Context()); err != nil || state.Running != 0 {
			t.Errorf("the engine still runs %d generations, error %v", state.Running, err)
		}
	})
}

// scriptedEngine is an engine with a fixed state, whose streams return the given
// chunks.
type scriptedEngine struct {
	engine.Engine
	chunks    []engine.Chunk
	cancelled []string
}

func (s *scriptedEngine) State(context.Context) (engine.State, error) {
	return engine.State{Incarnation: 5, Loaded: []engine.LoadedWeights{{Model: "badge", Version: "7"}}}, nil
}

func (s *scriptedEngine) Generate(context.Context, engine.GenerateRequest) (engine.ChunkStream, error) {
	return s, nil
}

func (s *scriptedEngine) Cancel(_ context.Context, id string) error {
	s.cancelled = append(s.cancelled, id)
	return nil
}

func (s *scriptedEngine) Next() (engine.Chunk, error) {
	if len(s.chunks) == 0 {
		return engine.Chunk{}, io.EOF
	}
	next := s.chunks[0]
	s.chunks = s.chunks[1:]
	return next, nil
}

func (s *scriptedEngine) Close() error { return nil }

// restartingEngine is an engine that restarts at a given time and whose stream
// returns no chunk.
type restartingEngine struct {
	scriptedEngine
	restart time.Time
	ctx     context.Context
}

func (r *restartingEngine) State(ctx context.Context) (engine.State, error) {
	state, err := r.scriptedEngine.State(ctx)
	if time.Now().After(r.restart) {
		state.Incarnation++
	}
	return state, err
}

func (r *restartingEngine) Generate(ctx context.Context, _ engine.GenerateRequest) (engine.ChunkStream, error) {
	r.ctx = ctx
	return r, nil
}

func (r *restartingEngine) Next() (engine.Chunk, error) {
	<-r.ctx.Done()
	return engine.Chunk{}, engine.ErrBroken
}

func TestRestartDuringIdleStreamIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &restartingEngine{restart: time.Now().Add(time.Minute)}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
		defer cancel()
		got := run(ctx, execute.New(e, nil), generation(9))
		if got.err == nil || got.err.Verdict != verdict.MayHaveRun || got.err.Code != verdict.CodeBackendFailed {
			t.Errorf("got %v", got.err)
		}
		if late := time.Since(e.restart); late < 0 || late > 5*time.Second {
			t.Errorf("detected %v after the restart", late)
		}
	})
}

// TestForeignChunksBreakTheStream checks that a stream fails if a chunk comes from
// another incarnation than the one whose weights were checked, or if the stream
// ends without a finish reason.
func TestForeignChunksBreakTheStream(t *testing.T) {
	own := engine.Chunk{Incarnation: 5, Text: "own ", Tokens: 1}
	other := engine.Chunk{Incarnation: 6, Text: "new ", Tokens: 1, Finish: engine.FinishLength, Usage: &engine.Usage{}}
	for name, chunks := range map[string][]engine.Chunk{"at first": {other}, "later": {own, other}, "no end": {own}, "empty": nil} {
		e := &scriptedEngine{chunks: chunks}
		got := run(t.Context(), execute.New(e, nil), generation(9))
		if got.err == nil || got.err.Verdict != verdict.MayHaveRun || strings.Contains(got.text(), "new") {
			t.Errorf("%s: %v after %q", name, got.err, got.text())
		}
		if !slices.Equal(e.cancelled, []string{"r.2"}) {
			t.Errorf("%s: cancelled %v", name, e.cancelled)
		}
	}
}

func call() *wire.ExecuteRequest {
	headers := []*wire.Header{
		{Name: "authorization", Value: "Bearer secret"}, {Name: "X-API-Key", Value: "secret"}, {Name: "api-key", Value: "secret"},
		{Name: "Proxy-Authorization", Value: "secret"}, {Name: "Connection", Value: "X-Hop"}, {Name: "X-Hop", Value: "1"},
		{Name: "Cookie", Value: "table=4"}, {Name: "X-Request-Id", Value: "forged"}, {Name: "Idempotency-Key", Value: "k"},
	}
	return &wire.ExecuteRequest{RequestId: "r", Call: &wire.Call{Method: http.MethodPost, Path: service.PathOrders, Headers: headers, Body: []byte("b")}}
}

func TestCallReachesTheServiceWithoutKeys(t *testing.T) {
	s := service.New("desk")
	t.Cleanup(s.Close)
	got := run(t.Context(), execute.New(nil, s), call())
	if got.err != nil || got.outcome.Reply.Status != http.StatusCreated {
		t.Fatalf("got %+v", got)
	}
	want := http.Header{"Cookie": {"table=4"}, "X-Request-Id": {"r"}, "Idempotency-Key": {"k"}}
	header := s.Seen()[0].Header
	if len(header) != len(want) {
		t.Errorf("the service received %v, want %v", header, want)
	}
	for name := range want {
		if header.Get(name) != want.Get(name) {
			t.Errorf("header %s is %q, want %q", name, header.Get(name), want.Get(name))
		}
	}
}

func TestCallFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults service.Faults
		want   verdict.Verdict
		code   verdict.Code
	}{
		{"down", service.Faults{Down: true}, verdict.NotRun, verdict.CodeBackendFailed},
		{"crash before the effect", service.Faults{CrashBefore: 1}, verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"crash after the effect", service.Faults{CrashAfter: 1}, verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"cut after the effect", service.Faults{CutAfter: 1}, verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"reply of another request", service.Faults{CrossIDs: 1}, verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"reply after the timeout", service.Faults{Delay: time.Hour}, verdict.MayHaveRun, verdict.CodeBackendFailed},
		{"reply after the caller disconnected", service.Faults{Delay: 50 * time.Second}, verdict.MayHaveRun, verdict.CodeCancelled},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := service.New("desk")
				t.Cleanup(s.Close)
				s.SetFaults(c.faults)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if c.code == verdict.CodeCancelled {
					time.AfterFunc(40*time.Second, cancel)
				}
				got := run(ctx, execute.New(nil, s), call())
				if got.err == nil || got.err.Verdict != c.want || got.err.Code != c.code {
					t.Errorf("got %v, want %v %v", got.err, c.want, c.code)
				}
				if n := len(s.Executions().All); n > 1 || (n == 1 && c.want == verdict.NotRun) {
					t.Errorf("executed %d times", n)
				}
			})
		})
	}
}
