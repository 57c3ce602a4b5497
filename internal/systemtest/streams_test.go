package systemtest

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/standin/model"
)

const streamTokens = 40

var slowEngine = model.Options{DecodeStep: 10 * time.Millisecond}

func longPrompt(name string) string {
	return name + strings.Repeat(" all snow guards of the north face", 40)
}

// wholeStream returns the fault-free stream of a prompt.
func (s *system) wholeStream(t *testing.T, prompt string) *streamedResponse {
	t.Helper()
	resp, err := s.stream(t.Context(), s.routers[0], s.key, completionBody(prompt, streamTokens, true), "", nil)
	if err != nil || !resp.complete || len(resp.events) != streamTokens+1 {
		t.Fatalf("fault-free stream: %+v, %v", resp, err)
	}
	return resp
}

func TestStreamSurvivesFaults(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 4, engine: slowEngine})
	prompt := longPrompt("survive")
	want := s.wholeStream(t, prompt)
	cases := []struct {
		name  string
		fault func()
	}{
		{"links cut", func() {
			for _, e := range s.engines {
				e.link.Cut()
			}
		}},
		{"serving sidecar cut off", func() { s.servingEngine(t).link.SetDown(true) }},
		{"engine crash", func() { s.servingEngine(t).engine.Crash(50 * time.Millisecond) }},
		{"sidecar killed", func() { s.servingEngine(t).sidecar.kill() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			done := false
			resp, err := s.stream(t.Context(), s.routers[0], s.key, completionBody(prompt, streamTokens, true), "", func(n int) {
				if n == streamTokens/2 && !done {
					done = true
					c.fault()
				}
			})
			if err != nil || !resp.complete || resp.text != want.text {
				t.Errorf("complete %v, error %v, failed %q, text %q, want %q", resp.complete, err, resp.errorEvent, resp.text, want.text)
			}
		})
	}
}

// servingEngine returns the engine that is running a generation.
func (s *system) servingEngine(t *testing.T) *engineServer {
	t.Helper()
	for _, e := range s.engines {
		state, err := e.engine.State(t.Context())
		if err == nil && state.Running > 0 {
			return e
		}
	}
	t.Fatal("no engine is running a generation")
	return nil
}

func TestCallerReconnectsThroughAnotherRouter(t *testing.T) {
	s := start(t, plan{routers: 2, engines: 2, engine: slowEngine})
	prompt := longPrompt("reconnect")
	want := s.wholeStream(t, prompt)
	body := completionBody(prompt, streamTokens, true)
	first, _ := s.stream(t.Context(), s.routers[0], s.key, body, "", func(n int) {
		if n == streamTokens/2 {
			s.routers[0].kill()
		}
	})
	if first.complete || first.lastID == "" {
		t.Fatalf("the first stream was not cut: %+v", first)
	}
	foreign, err := s.stream(t.Context(), s.routers[1], s.otherKey, body, first.lastID, nil)
	if err != nil || foreign.status == 200 || foreign.text != "" {
		t.Errorf("another workspace got %+v, %v", foreign, err)
	}
	second, err := s.stream(t.Context(), s.routers[1], s.key, body, first.lastID, nil)
	if err != nil || !second.complete {
		t.Fatalf("second stream: %+v, %v", second, err)
	}
	if first.text+second.text != want.text {
		t.Errorf("text %q + %q, want %q", first.text, second.text, want.text)
	}
	if id, again := chunkID(first.events[0]), chunkID(second.events[0]); id != again || slices.Contains(second.events, first.events[0]) {
		t.Errorf("chunk ids %s and %s, or an event was received twice", id, again)
	}
}

// chunkID returns the leading fields of a chunk, which are equal in all chunks of a
// stream.
func chunkID(data string) string {
	end := strings.Index(data, `,"choices"`)
	return data[:max(end, 0)]
}

func TestStreamThatCannotGoOnEndsWithAnError(t *testing.T) {
	s := start(t, plan{routers: 1, engines: 1, engine: slowEngine})
	prompt := longPrompt("lost")
	want := s.wholeStream(t, prompt)
	resp, err := s.stream(t.Context(), s.routers[0], s.key, completionBody(prompt, streamTokens, true), "", func(n int) {
		if n == streamTokens/2 {
			s.engines[0].engine.Crash(time.Hour)
		}
	})
	if err != nil || resp.complete || resp.errorEvent == "" {
		t.Errorf("complete %v, error event %q, %v", resp.complete, resp.errorEvent, err)
	}
	if !strings.HasPrefix(want.text, resp.text) {
		t.Errorf("text %q is not the beginning of %q", resp.text, want.text)
	}
}
