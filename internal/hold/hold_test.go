package hold

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// frames is a response of the given frames.
type frames []*wire.Frame

func (f *frames) Next(context.Context) (*wire.Frame, error) {
	if len(*f) == 0 {
		return nil, io.EOF
	}
	first := (*f)[0]
	*f = (*f)[1:]
	return first, nil
}

func (*frames) Close(bool) {}

type handler struct {
	calls int
	next  func(call int) (request.Stream, error)
}

func (h *handler) Handle(context.Context, *request.Request) (request.Stream, error) {
	h.calls++
	return h.next(h.calls)
}

func crashed(incarnation int) *wire.Failure {
	return &wire.Failure{Verdict: uint32(verdict.MayHaveRun), Code: string(verdict.CodeBackendFailed), Crashed: uint64(incarnation)}
}

func TestHeldGenerations(t *testing.T) {
	head := &wire.Frame{Head: &wire.Head{}}
	tokens := &wire.Frame{Tokens: &wire.Tokens{Text: "a", Count: 1}}
	for _, c := range []struct {
		name string
		next func(call int) (request.Stream, error)
		held bool
	}{
		{"crash before the response", func(n int) (request.Stream, error) {
			err := verdict.New(verdict.MayHaveRun, verdict.CodeBackendFailed, "crashed")
			err.Crashed = uint64(n)
			return nil, err
		}, true},
		{"crash before a token", func(n int) (request.Stream, error) { return &frames{head, {Failure: crashed(n)}}, nil }, true},
		{"crash after a token", func(n int) (request.Stream, error) { return &frames{head, tokens, {Failure: crashed(n)}}, nil }, true},
		{"one engine", func(int) (request.Stream, error) { return &frames{head, {Failure: crashed(7)}}, nil }, false},
		{"failure without a crash", func(int) (request.Stream, error) {
			return &frames{head, {Failure: &wire.Failure{Code: string(verdict.CodeBackendFailed)}}}, nil
		}, false},
		{"whole response", func(int) (request.Stream, error) { return &frames{head, tokens, {Tail: &wire.Tail{}}}, nil }, false},
	} {
		q := quarantine.New(func(quarantine.Part, int64) bool { return false })
		h := &handler{next: c.next}
		filter := New(q)
		send := func(shared ...string) error {
			s, err := filter.Handle(context.Background(), &request.Request{
				Target: request.Target{Name: "engine"}, Generation: &request.Generation{ModelName: "m", SharedTexts: shared},
			}, h)
			for err == nil {
				_, err = s.Next(context.Background())
			}
			return err
		}
		for n := range 4 {
			_ = send("rules", "poison", fmt.Sprint(n)) // its failure is the test's input
		}
		calls := h.calls
		failure := verdict.From(send("rules", "poison"))
		if held := h.calls == calls; held != c.held {
			t.Errorf("%s: held %v, want %v", c.name, held, c.held)
		} else if held && (failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeQuarantined || failure.RetryAfter <= 0) {
			t.Errorf("%s: %v, want that it has not run", c.name, failure)
		}
		calls = h.calls
		if _ = send("rules"); h.calls == calls {
			t.Errorf("%s: a request without the part is held back", c.name)
		}
	}
}
