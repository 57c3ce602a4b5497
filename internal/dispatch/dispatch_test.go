package dispatch

import (
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// scriptedSidecar is a sidecar that responds with the given frames.
type scriptedSidecar struct {
	wire.DRPCBackendUnimplementedServer
	frames []*wire.Frame
}

func (s *scriptedSidecar) Execute(_ *wire.ExecuteRequest, stream wire.DRPCBackend_ExecuteStream) error {
	for _, frame := range s.frames {
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
	return nil
}

// observer counts the attempts that are running.
type observer struct {
	mu      sync.Mutex
	running int
}

func (o *observer) add(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running += n
}

func (o *observer) Dispatched(request.Target, config.Class, int64)         { o.add(1) }
func (o *observer) Received(request.Target, *request.Request, *wire.Frame) {}
func (o *observer) Finished(request.Target)                                { o.add(-1) }
func (o *observer) ObserveRevisions(address string, seen *wire.Revisions)  {}

func serve(t *testing.T, s *scriptedSidecar) string {
	t.Helper()
	mux := drpcmux.New()
	if err := wire.DRPCRegisterBackend(mux, s); err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = rpc.Serve(t.Context(), listener, mux, nil, nil) }()
	return listener.Addr().String()
}

// frame returns a frame with the given text, if any.
func frame(id string, attempt uint32, sequence uint64, text string) *wire.Frame {
	f := &wire.Frame{RequestId: id, Attempt: attempt, Sequence: sequence}
	if text != "" {
		f.Tokens = &wire.Tokens{Text: text, Count: 1}
	}
	return f
}

func withTail(f *wire.Frame) *wire.Frame {
	f.Tail = &wire.Tail{FinishReason: "stop"}
	return f
}

func TestOnlyTheRequestsOwnFramesInOrder(t *testing.T) {
	head := &wire.Frame{RequestId: "r", Attempt: 1, Sequence: 1, Head: &wire.Head{}}
	end := withTail(frame("r", 1, 4, ""))
	cases := []struct {
		name   string
		frames []*wire.Frame
		text   string
		code   verdict.Code // "": complete
	}{
		{"in order", []*wire.Frame{head, frame("r", 1, 2, "a"), frame("r", 1, 3, "b"), end}, "ab", ""},
		{"of another request", []*wire.Frame{head, frame("r", 1, 2, "a"), frame("other", 1, 3, "x"), frame("r", 1, 3, "b"), end}, "ab", ""},
		{"of another attempt", []*wire.Frame{head, frame("r", 1, 2, "a"), frame("r", 2, 3, "x"), frame("r", 1, 3, "b"), end}, "ab", ""},
		{"twice", []*wire.Frame{head, frame("r", 1, 2, "a"), frame("r", 1, 2, "a"), frame("r", 1, 3, "b"), end}, "ab", ""},
		{"missing", []*wire.Frame{head, frame("r", 1, 2, "a"), end}, "a", verdict.CodeStreamLost},
		{"no end", []*wire.Frame{head, frame("r", 1, 2, "a")}, "a", verdict.CodeBackendFailed},
		{"another request's end", []*wire.Frame{head, frame("r", 1, 2, "a"), withTail(frame("other", 1, 3, ""))}, "a", verdict.CodeBackendFailed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			attempts := &observer{}
			text, err := readResponse(t, attempts, serve(t, &scriptedSidecar{frames: c.frames}))
			if text != c.text {
				t.Errorf("got %q, want %q", text, c.text)
			}
			if failure := verdict.From(err); (failure == nil) != (c.code == "") || failure != nil && (failure.Code != c.code || failure.Verdict != verdict.MayHaveRun) {
				t.Errorf("ended with %v, want %q", err, c.code)
			}
			if attempts.running != 0 {
				t.Errorf("%d attempts not finished after the end of the stream", attempts.running)
			}
		})
	}
}

// readResponse sends a request and returns the text of the response.
func readResponse(t *testing.T, attempts *observer, address string) (string, error) {
	t.Helper()
	dialer := rpc.NewDialer(nil)
	defer dialer.Close()
	req := &request.Request{
		ID:       "r",
		Attempt:  1,
		Route:    &config.Route{Name: "completions"},
		Snapshot: &control.Snapshot{},
		Target:   request.Target{Name: "engine", Address: address},
	}
	stream, err := New(dialer, attempts, attempts).Handle(t.Context(), req)
	if err != nil {
		return "", err
	}
	defer stream.Close(false)
	var text strings.Builder
	for {
		f, err := stream.Next(t.Context())
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(f.GetTokens().GetText())
	}
}

func TestUnreachableIsNotRun(t *testing.T) {
	attempts := &observer{}
	_, err := readResponse(t, attempts, "127.0.0.1:1")
	if failure := verdict.From(err); failure == nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeBackendFailed {
		t.Errorf("got %v", err)
	}
	if attempts.running != 0 {
		t.Errorf("%d attempts not finished", attempts.running)
	}
}
