package client_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	"github.com/wasabigate/wasabigate/internal/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	testTimeout = 10 * time.Second
	downTime    = 50 * time.Millisecond
	salt        = "0123456789abcdef"
)

var weights = engine.LoadedWeights{Model: "badge", Version: "7"}

// serve runs a stand-in on a loopback address and returns its base URL.
func serve(t testing.TB, run func(context.Context, net.Listener) error) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	base := "http://" + listener.Addr().String()
	awaitResponse(t, base)
	return base
}

// awaitResponse waits for a response of the stand-in, so that it is serving before a
// test makes it crash.
func awaitResponse(t testing.TB, base string) {
	t.Helper()
	probe := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := probe.Get(base)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// transports connect to a stand-in in process or over HTTP.
var transports = []struct {
	name    string
	engine  func(*testing.T, *model.Engine) engine.Engine
	service func(*testing.T, *service.Service) engine.Service
}{
	{"in process",
		func(_ *testing.T, e *model.Engine) engine.Engine { return e },
		func(_ *testing.T, s *service.Service) engine.Service { return s }},
	{"http",
		func(t *testing.T, e *model.Engine) engine.Engine {
			c := client.NewEngine(serve(t, func(ctx context.Context, l net.Listener) error { return model.Serve(ctx, e, l) }))
			t.Cleanup(c.CloseIdleConnections)
			return c
		},
		func(t *testing.T, s *service.Service) engine.Service {
			return client.NewService(serve(t, func(ctx context.Context, l net.Listener) error { return service.Serve(ctx, s, l) }))
		}},
}

func request(id string, maxTokens int) engine.GenerateRequest {
	return engine.GenerateRequest{
		RequestID: id, Model: weights.Model, WeightsVersion: weights.Version,
		Prompt: strings.Repeat("list of guests. ", 32), MaxTokens: maxTokens, CacheSalt: salt,
	}
}

// outcome is the result of a generation.
type outcome struct {
	text  string
	usage engine.Usage
	err   error // nil if complete
}

func generate(ctx context.Context, e engine.Engine, req engine.GenerateRequest) outcome {
	s, err := e.Generate(ctx, req)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = s.Close() }()
	var got outcome
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return got
		}
		if err != nil {
			got.err = err
			return got
		}
		got.text += chunk.Text
		if chunk.Usage != nil {
			got.usage = *chunk.Usage
		}
	}
}

var engineCases = []struct {
	name  string
	fault func(*model.Engine)
	run   func(context.Context, engine.Engine) error
	want  error
}{
	{"complete", nil, generates(request("a", 8)), nil},
	{"down before", func(e *model.Engine) { e.Crash(time.Hour) }, generates(request("a", 8)), engine.ErrUnreachable},
	{"back after a crash", func(e *model.Engine) { e.Crash(0) }, eventually(generates(request("a", 8))), nil},
	{"cut at the first chunk", func(e *model.Engine) { e.SetFaults(model.Faults{CutAfterChunks: 1}) }, generates(request("a", 8)), engine.ErrBroken},
	{"cut before the last chunk", func(e *model.Engine) { e.SetFaults(model.Faults{CutAfterChunks: 7}) }, generates(request("a", 8)), engine.ErrBroken},
	{"crash in mid-stream", func(e *model.Engine) { time.AfterFunc(downTime, func() { e.Crash(time.Hour) }) }, generates(request("a", 1_000_000)), engine.ErrBroken},
	{"frozen beyond the deadline", func(e *model.Engine) { e.Freeze(time.Hour) }, within(downTime, generates(request("a", 8))), engine.ErrBroken},
	{"late response", func(e *model.Engine) { e.SetFaults(model.Faults{AnswerDelay: downTime}) }, generates(request("a", 8)), nil},
	{"weights not loaded", nil, generates(engine.GenerateRequest{RequestID: "a", Model: "badge", WeightsVersion: "6", MaxTokens: 1}), engine.ErrRefused},
	{"no tokens requested", nil, generates(request("a", 0)), engine.ErrRefused},
	{"current fence", nil, orders(3, 3, 4), nil},
	{"stale fence", nil, orders(4, 3), engine.ErrStaleFence},
	{"order while down", func(e *model.Engine) { e.Crash(time.Hour) }, orders(1), engine.ErrUnreachable},
	{"export of blocks not cached", nil, exports(salt, salt), engine.ErrRefused},
	{"export and import", nil, after(generates(request("a", 1)), exports(salt, salt)), nil},
	{"export under another salt", nil, after(generates(request("a", 1)), exports("fedcba9876543210", salt)), engine.ErrRefused},
	{"import under another salt", nil, after(generates(request("a", 1)), exports(salt, "fedcba9876543210")), engine.ErrRefused},
	{"cancel of an unknown request", nil, func(ctx context.Context, e engine.Engine) error { return e.Cancel(ctx, "none") }, nil},
	{"cancel breaks the stream", nil, cancels, engine.ErrBroken},
}

type step func(context.Context, engine.Engine) error

func generates(req engine.GenerateRequest) step {
	return func(ctx context.Context, e engine.Engine) error { return generate(ctx, e, req).err }
}

func after(first, second step) step {
	return func(ctx context.Context, e engine.Engine) error {
		if err := first(ctx, e); err != nil {
			return errors.Errorf("setup: %v", err)
		}
		return second(ctx, e)
	}
}

func within(d time.Duration, s step) step {
	return func(ctx context.Context, e engine.Engine) error {
		ctx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		return s(ctx, e)
	}
}

func eventually(s step) step {
	return func(ctx context.Context, e engine.Engine) error {
		err := s(ctx, e)
		for err != nil && ctx.Err() == nil {
			err = s(ctx, e)
		}
		return err
	}
}

func orders(fences ...uint64) step {
	return func(ctx context.Context, e engine.Engine) error {
		for _, fence := range fences {
			order := engine.Order{Fence: fence, Load: &engine.LoadedWeights{Model: "badge", Version: "8"}}
			if err := e.Apply(ctx, order); err != nil {
				return err
			}
		}
		req := request("new", 1)
		req.WeightsVersion = "8"
		return generate(ctx, e, req).err
	}
}

func exports(exportSalt, importSalt string) step {
	return func(ctx context.Context, e engine.Engine) error {
		blocks := prefix.Chain(nil, salt, request("a", 1).Prompt)
		data, err := e.ExportPiece(ctx, exportSalt, blocks)
		if err != nil {
			return err
		}
		return e.ImportPiece(ctx, importSalt, blocks, data)
	}
}

func cancels(ctx context.Context, e engine.Engine) error {
	s, err := e.Generate(ctx, request("a", 1_000_000))
	if err != nil {
		return errors.Errorf("setup: %v", err)
	}
	defer func() { _ = s.Close() }()
	if err := e.Cancel(ctx, "a"); err != nil {
		return errors.Errorf("cancel: %v", err)
	}
	for {
		if _, err := s.Next(); err != nil {
			return err
		}
	}
}

func newModel(t *testing.T) *model.Engine {
	e := model.New(model.Options{
		Loaded: []engine.LoadedWeights{weights}, TimeScale: 100, LoadTime: time.Second, EnforceFence: true,
	})
	t.Cleanup(e.Close)
	return e
}

func TestEngineContract(t *testing.T) {
	for _, transport := range transports {
		for _, c := range engineCases {
			t.Run(transport.name+"/"+c.name, func(t *testing.T) {
				e := newModel(t)
				target := transport.engine(t, e)
				if c.fault != nil {
					c.fault(e)
				}
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				if err := c.run(ctx, target); !errors.Is(err, c.want) {
					t.Errorf("got %v, want %v", err, c.want)
				}
			})
		}
	}
}

// Both transports must deliver the same text, and a stream of another request's
// chunks must deliver nothing.
func TestStreamsOverHTTPAreExact(t *testing.T) {
	e := newModel(t)
	overHTTP := transports[1].engine(t, e)
	want, got := generate(t.Context(), e, request("a", 20)), generate(t.Context(), overHTTP, request("b", 20))
	if got.err != nil || got.text != want.text || len(got.text) != 80 || got.usage.CompletionTokens != 20 {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got.usage.CachedTokens != got.usage.PromptTokens {
		t.Errorf("%d cached tokens, want %d", got.usage.CachedTokens, got.usage.PromptTokens)
	}
	e.SetFaults(model.Faults{CrossStreams: 1})
	if other := generate(t.Context(), overHTTP, request("c", 20)); !errors.Is(other.err, engine.ErrBroken) || other.text != "" {
		t.Errorf("stream of another request's chunks gave %+v, want no text and ErrBroken", other)
	}
}

func TestEventsShowLossAndRestart(t *testing.T) {
	for _, transport := range transports {
		t.Run(transport.name, func(t *testing.T) {
			e := newModel(t)
			target := transport.engine(t, e)
			events, err := target.Events(t.Context(), 0)
			if err != nil {
				t.Fatal(err)
			}
			generate(t.Context(), e, request("a", 1))
			first := <-events
			if want := prefix.Chain(nil, salt, request("a", 1).Prompt); first.Sequence != 1 || len(first.Stored) != len(want) || !slices.Contains(first.Stored, want[0]) {
				t.Errorf("first event is %+v, want sequence number 1 and the blocks of the prompt", first)
			}
			e.LoseEvents(1, 0)
			for _, id := range []string{"b", "c"} {
				req := request(id, 1)
				req.Prompt = strings.Repeat(id, prefix.BlockBytes)
				generate(t.Context(), e, req)
			}
			if next := <-events; next.Sequence != 3 {
				t.Errorf("event after a lost one has sequence number %d, want 3", next.Sequence)
			}
			e.Crash(0)
			if _, open := <-events; open {
				t.Error("event after a crash")
			}
		})
	}
}
