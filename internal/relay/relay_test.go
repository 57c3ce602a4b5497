package relay

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const fullText = "the snow guards on the north face are in order "

// backend is a fake of all backend servers. It responds with fullText, one word a frame,
// after the text that the request resumes, and fails as its fields specify.
type backend struct {
	cutAfter   int              // frames of an attempt before its connection breaks; 0: never
	crash      bool             // an attempt whose connection broke can't be resumed
	refuse     []*verdict.Error // errors of the first calls, in order
	executions int
	resumed    int
	frames     map[uint32][]*wire.Frame // by attempt
}

func (b *backend) Handle(_ context.Context, req *request.Request) (request.Stream, error) {
	req.Target = request.Target{Name: "engine", Address: "127.0.0.1:1"}
	if len(b.refuse) > 0 {
		err := b.refuse[0]
		b.refuse = b.refuse[1:]
		return nil, err
	}
	b.executions++
	if b.frames == nil {
		b.frames = make(map[uint32][]*wire.Frame)
	}
	b.frames[req.Attempt] = framesOf(req)
	return b.stream(req.Attempt, 0, b.cutAfter), nil
}

func (b *backend) Resume(_ context.Context, req *request.Request, after uint64) (request.Stream, error) {
	b.resumed++
	if b.crash {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "not known here")
	}
	return b.stream(req.Attempt, after, b.cutAfter), nil
}

func (b *backend) stream(attempt uint32, after uint64, cutAfter int) request.Stream {
	return &fakeStream{frames: b.frames[attempt][after:], cutAfter: cutAfter}
}

func framesOf(req *request.Request) []*wire.Frame {
	frames := []*wire.Frame{{Head: &wire.Head{}}}
	rest := strings.TrimPrefix(fullText, req.Generation.ResumeText)
	for _, word := range strings.SplitAfter(rest, " ") {
		if word != "" {
			frames = append(frames, &wire.Frame{Tokens: &wire.Tokens{Text: word, Count: 1}})
		}
	}
	frames = append(frames, &wire.Frame{Tail: &wire.Tail{FinishReason: "stop"}})
	for i, frame := range frames {
		frame.RequestId, frame.Attempt, frame.Sequence = req.ID, req.Attempt, uint64(i+1)
	}
	return frames
}

type fakeStream struct {
	frames    []*wire.Frame
	cutAfter  int
	delivered int
}

func (s *fakeStream) Next(context.Context) (*wire.Frame, error) {
	if s.cutAfter > 0 && s.delivered == s.cutAfter {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "the connection broke")
	}
	if len(s.frames) == 0 {
		return nil, io.EOF
	}
	frame := s.frames[0]
	s.frames = s.frames[1:]
	s.delivered++
	return frame, nil
}

func (s *fakeStream) Close(bool) {}

func newFilter(b *backend) request.Handler { return newFilterWith(b, unbounded()) }

// unbounded returns a budget that allows all retries.
func unbounded() Budget { return retrybudget.New(retrybudget.Bound{}, time.Now()) }

func newFilterWith(b *backend, budget Budget) request.Handler {
	view := membership.NewView([]platform.VM{{Name: "engine", Address: "127.0.0.1:1", Group: "engines", State: platform.VMLive}})
	source := control.NewAtomicSource(&control.Snapshot{View: view, Config: &config.Revision{}})
	return pipeline.Chain[*request.Request, request.Stream](b, New(source, b, budget))
}

func newRequest() *request.Request {
	return &request.Request{ID: "r1", Workspace: "w", Generation: &request.Generation{Model: &config.Model{Group: "engines"}}}
}

// readAll returns the text of a stream, its numbers of heads and tails, and the error
// that ended it.
func readAll(t *testing.T, stream request.Stream) (text string, heads, tails int, err error) {
	t.Helper()
	for range 1000 {
		frame, err := stream.Next(t.Context())
		if err == io.EOF {
			return text, heads, tails, nil
		}
		if err != nil {
			return text, heads, tails, err
		}
		text += frame.GetTokens().GetText()
		if frame.GetHead() != nil {
			heads++
		}
		if frame.GetTail() != nil {
			tails++
		}
	}
	t.Fatal("the stream does not end")
	return "", 0, 0, nil
}

func TestCutAtEveryFrameGivesTheSameStream(t *testing.T) {
	frames := strings.Count(fullText, " ") + 2
	for _, crash := range []bool{false, true} {
		for cut := 1; cut < frames; cut++ {
			if crash && cut < 4 {
				continue // covered by TestAttemptsAreBounded: maxAttempts are too few for the whole text
			}
			b := &backend{cutAfter: cut, crash: crash}
			stream, err := newFilter(b).Handle(t.Context(), newRequest())
			if err != nil {
				t.Fatalf("cut after %d, crash %v: %v", cut, crash, err)
			}
			text, heads, tails, err := readAll(t, stream)
			if err != nil || text != fullText || heads != 1 || tails != 1 {
				t.Errorf("cut after %d, crash %v: %q, %d heads, %d tails, %v", cut, crash, text, heads, tails, err)
			}
			if b.resumed == 0 || crash != (b.executions > 1) {
				t.Errorf("cut after %d, crash %v: %d executions, %d resumes", cut, crash, b.executions, b.resumed)
			}
		}
	}
}

func TestAttemptsAreBounded(t *testing.T) {
	b := &backend{cutAfter: 2, crash: true}
	stream, err := newFilter(b).Handle(t.Context(), newRequest())
	if err != nil {
		t.Fatal(err)
	}
	text, _, tails, err := readAll(t, stream)
	if err == nil || tails != 0 {
		t.Fatalf("the stream ended as if complete: %q", text)
	}
	if !strings.HasPrefix(fullText, text) || b.executions != maxAttempts {
		t.Errorf("got text %q after %d executions", text, b.executions)
	}
}

func TestOnlyWhatHasNotRunIsRepeated(t *testing.T) {
	cases := []struct {
		name       string
		call       bool
		failure    *verdict.Error
		executions int
	}{
		{"call not run", true, verdict.New(verdict.NotRun, verdict.CodeBackendFailed, ""), 1},
		{"call may have run", true, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, ""), 0},
		{"call in progress", true, verdict.New(verdict.MayHaveRun, verdict.CodeInProgress, ""), 0},
		{"call refused for good", true, verdict.New(verdict.NotRun, verdict.CodeKeyMismatch, ""), 0},
		{"generation may have run", false, verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, ""), 1},
		{"generation with a withdrawn key", false, verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, ""), 0},
		{"generation at a draining server", false, verdict.New(verdict.NotRun, verdict.CodeDraining, ""), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &backend{refuse: []*verdict.Error{c.failure}, crash: true}
			req := newRequest()
			handler := newFilter(b)
			if c.call {
				req.Call = &wire.Call{Method: "POST"}
				req.Generation, req.Route = nil, &config.Route{Group: "desk"}
				handler = pipeline.Chain[*request.Request, request.Stream](callHandler{b}, New(control.NewAtomicSource(&control.Snapshot{View: membership.NewView(nil)}), b, unbounded()))
			}
			_, err := handler.Handle(t.Context(), req)
			if b.executions != c.executions || (err == nil) != (c.executions > 0) {
				t.Errorf("%d executions, error %v", b.executions, err)
			}
		})
	}
}

// A request that an earlier attempt may have run must not be reported as not run when a
// later attempt is refused: the client would repeat it.
func TestRefusalAfterAnAttemptThatMayHaveRun(t *testing.T) {
	unknown := verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "")
	refused := verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "")
	draining := verdict.New(verdict.NotRun, verdict.CodeDraining, "")
	cases := []struct {
		name   string
		refuse []*verdict.Error
		want   verdict.Verdict
	}{
		{"refused at once", []*verdict.Error{refused}, verdict.NotRun},
		{"refused twice", []*verdict.Error{draining, refused}, verdict.NotRun},
		{"refused after an unknown outcome", []*verdict.Error{unknown, refused}, verdict.MayHaveRun},
		{"refused twice after an unknown outcome", []*verdict.Error{unknown, draining, refused}, verdict.MayHaveRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := newFilter(&backend{refuse: c.refuse}).Handle(t.Context(), newRequest())
			if failure := verdict.From(err); failure == nil || failure.Verdict != c.want || failure.Code != verdict.CodeNoBackendServer {
				t.Errorf("got %v, want %v", err, c.want)
			}
		})
	}
	t.Run("refused after a part was delivered", func(t *testing.T) {
		b := &backend{cutAfter: 4, crash: true}
		stream, err := newFilter(b).Handle(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		b.refuse = []*verdict.Error{refused}
		if _, _, _, err := readAll(t, stream); err == nil || verdict.From(err).Verdict != verdict.MayHaveRun {
			t.Errorf("got %v, want %v", err, verdict.MayHaveRun)
		}
	})
}

// Routers hold retries to the common budget, except those after refusals that no backend
// server has seen.
func TestRetriesKeepToTheBudget(t *testing.T) {
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeStreamLost, "")
	refused := verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "")
	refused.Sent = true
	overloaded := verdict.New(verdict.NotRun, verdict.CodeOverloaded, "")
	draining := verdict.New(verdict.NotRun, verdict.CodeDraining, "")
	unreachable := verdict.New(verdict.NotRun, verdict.CodeBackendFailed, "")
	for _, c := range []struct {
		name    string
		failure *verdict.Error
		bounded bool
	}{{"lost", lost, true}, {"refused", refused, true}, {"overloaded", overloaded, false}, {"draining", draining, false}, {"unreachable", unreachable, false}} {
		t.Run(c.name, func(t *testing.T) {
			budget := retrybudget.New(retrybudget.Bound{Ratio: 1, Window: time.Hour}, time.Now()) // half of the ratio is used
			served := 0
			for range 100 {
				b := &backend{refuse: []*verdict.Error{c.failure}, crash: true}
				if _, err := newFilterWith(b, budget).Handle(t.Context(), newRequest()); err == nil {
					served++
				}
			}
			if want := map[bool]int{true: 50, false: 100}[c.bounded]; served != want {
				t.Errorf("%d of 100 requests were tried again, want %d", served, want)
			}
		})
	}
	t.Run("in mid-stream", func(t *testing.T) {
		b := &backend{cutAfter: 4, crash: true}
		stream, err := newFilterWith(b, retrybudget.New(retrybudget.Bound{Window: time.Hour}, time.Now())).Handle(t.Context(), newRequest())
		if err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := readAll(t, stream); verdict.From(err) == nil || b.executions != 1 {
			t.Errorf("got %v after %d executions, want an error after one", err, b.executions)
		}
	})
}

// callHandler handles a call as a generation without resumed text.
type callHandler struct{ *backend }

func (b callHandler) Handle(ctx context.Context, req *request.Request) (request.Stream, error) {
	req.Generation = &request.Generation{}
	defer func() { req.Generation = nil }()
	return b.backend.Handle(ctx, req)
}

func TestReconnectChecksTheWorkspace(t *testing.T) {
	b := &backend{}
	if _, err := newFilter(b).Handle(t.Context(), newRequest()); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		name     string
		position request.Position
		rest     string
	}{
		{"own stream", request.Position{Workspace: "w", RequestID: "r1", Attempt: 1, Sequence: 3, Address: "127.0.0.1:1"}, "guards on the north face are in order "},
		{"other workspace", request.Position{Workspace: "v", RequestID: "r1", Attempt: 1, Sequence: 3, Address: "127.0.0.1:1"}, ""},
		{"address that is not listed", request.Position{Workspace: "w", RequestID: "r1", Attempt: 1, Sequence: 3, Address: "127.0.0.1:9"}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := &request.Request{ID: "r2", Workspace: "w", ResumeToken: c.position.String()}
			stream, err := newFilter(b).Handle(t.Context(), req)
			if c.rest == "" {
				if verdict.From(err) == nil || verdict.From(err).Code != verdict.CodeStreamLost {
					t.Fatalf("got %v, want %s", err, verdict.CodeStreamLost)
				}
				return
			}
			if err != nil {
				t.Fatal(err)
			}
			if text, _, tails, err := readAll(t, stream); err != nil || text != c.rest || tails != 1 {
				t.Errorf("got text %q, %d tails, error %v", text, tails, err)
			}
		})
	}
}

func FuzzParsePosition(f *testing.F) {
	f.Add(request.Position{Workspace: "w", RequestID: "r", Attempt: 1, Sequence: 2, Address: "a:1"}.String())
	f.Add("")
	f.Add("not a position")
	f.Fuzz(func(t *testing.T, text string) {
		position, err := request.ParsePosition(text)
		if err != nil {
			return
		}
		again, err := request.ParsePosition(position.String())
		if err != nil || again != position {
			t.Errorf("position %+v: parsed again as %+v, error %v", position, again, err)
		}
	})
}
