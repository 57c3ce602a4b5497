package model

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/tokens"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func request(id, prompt string, maxTokens int) engine.GenerateRequest {
	return engine.GenerateRequest{
		RequestID: id, Model: defaultModel, WeightsVersion: defaultWeightVersion,
		Prompt: prompt, MaxTokens: maxTokens, CacheSalt: "salt",
	}
}

// read returns the chunks of a stream until its end or an error.
func read(s engine.ChunkStream) ([]engine.Chunk, error) {
	var chunks []engine.Chunk
	for {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return chunks, nil
		}
		if err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

func generate(t *testing.T, e *Engine, req engine.GenerateRequest) []engine.Chunk {
	t.Helper()
	s, err := e.Generate(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	chunks, err := read(s)
	if err != nil {
		t.Fatal(err)
	}
	return chunks
}

func textOf(chunks []engine.Chunk) string {
	var text strings.Builder
	for _, chunk := range chunks {
		text.WriteString(chunk.Text)
	}
	return text.String()
}

// A generation resumed after any chunk on another engine must end with the same
// text, finish reason and token count, also within a stop string.
func TestResumeContinuesByteForByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := New(Options{Seed: 1}), New(Options{Seed: 2})
		defer first.Close()
		defer second.Close()
		plain := textOf(generate(t, first, request("plain", "prompt", 12)))
		for name, stop := range map[string]string{"length": "", "stop within a token": plain[21:26], "stop over tokens": plain[20:30]} {
			req := request("whole", "prompt", 12)
			if stop != "" {
				req.Stop = []string{stop}
			}
			whole := generate(t, first, req)
			last := whole[len(whole)-1]
			want := plain
			if stop != "" {
				want, _, _ = strings.Cut(plain, stop)
			}
			if textOf(whole) != want {
				t.Fatalf("%s: text %q, want %q", name, textOf(whole), want)
			}
			for cut := range len(whole) + 1 {
				resumed := req
				for _, chunk := range whole[:cut] {
					resumed.Resume += chunk.Text
					resumed.ResumeTokens += chunk.Tokens
				}
				rest := generate(t, second, resumed)
				if got := resumed.Resume + textOf(rest); got != textOf(whole) {
					t.Errorf("%s: cut at %d gives %q, want %q", name, cut, got, textOf(whole))
				}
				end := rest[len(rest)-1]
				if end.Finish != last.Finish || end.Usage.CompletionTokens != last.Usage.CompletionTokens {
					t.Errorf("%s: cut at %d ends with %v %+v, want %v %+v", name, cut, end.Finish, end.Usage, last.Finish, last.Usage)
				}
				if rest[0].Index != resumed.ResumeTokens {
					t.Errorf("%s: cut at %d starts at index %d, want %d", name, cut, rest[0].Index, resumed.ResumeTokens)
				}
			}
		}
	})
}

func TestCacheShortensPrefillUntilEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{PrefillRate: 1000, DecodeStep: time.Millisecond, CacheBlocks: 10})
		defer e.Close()
		shared := strings.Repeat("p", 8*prefix.BlockBytes)
		steps := []struct {
			prompt string
			salt   string
			cached int
			time   time.Duration
		}{
			{shared, "a", 0, 128 * time.Millisecond},
			{shared, "a", 128, time.Millisecond},
			{shared, "b", 0, 128 * time.Millisecond}, // blocks are not shared between salts
			{shared, "a", 2 * 16, 96 * time.Millisecond},
		}
		for i, step := range steps {
			req := request("r", step.prompt, 1)
			req.CacheSalt = step.salt
			start := time.Now()
			chunks := generate(t, e, req)
			if got := chunks[0].Usage.CachedTokens; got != step.cached {
				t.Errorf("step %d: %d cached tokens, want %d", i, got, step.cached)
			}
			if got := time.Since(start) - time.Millisecond; got != step.time {
				t.Errorf("step %d: prefill took %v, want %v", i, got, step.time)
			}
			synctest.Wait()
		}
	})
}

func TestUrgentPrefillGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{PrefillRate: 100, DecodeStep: time.Millisecond})
		defer e.Close()
		var order []string
		done := make(chan string)
		start := func(id string, priority engine.Priority) {
			req := request(id, strings.Repeat(id, 100*tokens.BytesPerToken), 1)
			req.Priority = priority
			s, err := e.Generate(t.Context(), req)
			if err != nil {
				t.Fatal(err)
			}
			go func() {
				_, _ = read(s)
				done <- id
			}()
			synctest.Wait()
		}
		start("a", engine.PriorityDeferrable)
		start("b", engine.PriorityDeferrable)
		start("c", engine.PriorityUrgent)
		for range 3 {
			order = append(order, <-done)
		}
		if got := strings.Join(order, ""); got != "acb" {
			t.Errorf("order %s, want acb", got)
		}
	})
}

func TestCrashBreaksStreamsAndComesBackEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{FirstIncarnation: 7})
		defer e.Close()
		prompt := strings.Repeat("p", 4*prefix.BlockBytes)
		generate(t, e, request("warm", prompt, 1))
		s, err := e.Generate(t.Context(), request("cut", prompt, 1000))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		e.Crash(time.Second)
		if _, err := read(s); !errors.Is(err, engine.ErrBroken) {
			t.Errorf("stream ended with %v, want ErrBroken", err)
		}
		if _, err := e.Generate(t.Context(), request("down", prompt, 1)); !errors.Is(err, engine.ErrUnreachable) {
			t.Errorf("generate while down gave %v, want ErrUnreachable", err)
		}
		time.Sleep(2 * time.Second)
		chunks := generate(t, e, request("again", prompt, 1))
		if chunks[0].Incarnation != 8 || chunks[0].Usage.CachedTokens != 0 {
			t.Errorf("after the crash: %+v %+v", chunks[0], chunks[0].Usage)
		}
		state, err := e.State(context.Background())
		if err != nil || state.Incarnation != 8 {
			t.Errorf("state %+v, %v", state, err)
		}
	})
}

func TestOldFenceIsRefusedOnlyIfEnforced(t *testing.T) {
	for _, enforce := range []bool{true, false} {
		e := New(Options{EnforceFence: enforce})
		for _, fence := range []uint64{5, 5, 4} {
			err := e.Apply(t.Context(), engine.Order{Fence: fence, Role: "decode"})
			if refused := enforce && fence == 4; refused != errors.Is(err, engine.ErrStaleFence) || !refused && err != nil {
				t.Errorf("enforce %v, fence %d: %v", enforce, fence, err)
			}
		}
		e.Close()
	}
}

// Loading takes LoadTime, and the reported state lags by up to StateLag.
func TestLoadedWeightsAndLaggingState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Options{LoadTime: time.Second, StateLag: 300 * time.Millisecond, TimeScale: 2})
		defer e.Close()
		loadedCount := func() int {
			state, err := e.State(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return len(state.Loaded)
		}
		before, start := loadedCount(), time.Now()
		if err := e.Apply(t.Context(), engine.Order{Load: &engine.LoadedWeights{Model: "new", Version: "2"}}); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); took != 500*time.Millisecond {
			t.Errorf("loading took %v, want 500ms at twice the speed", took)
		}
		late := loadedCount()
		if err := e.Apply(t.Context(), engine.Order{Unload: &engine.LoadedWeights{Model: "new", Version: "2"}}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		stale := loadedCount()
		time.Sleep(100 * time.Millisecond)
		if got := [4]int{before, late, stale, loadedCount()}; got != [4]int{1, 2, 2, 1} {
			t.Errorf("weights reported over time %v, want [1 2 2 1]", got)
		}
	})
}

func TestFaultsAreSwitchedOverHTTP(t *testing.T) {
	e := New(Options{FirstIncarnation: 3, DecodeStep: time.Millisecond})
	defer e.Close()
	handler := Handler(e)
	post := func(body string) {
		t.Helper()
		req := httptest.NewRequest(http.MethodPost, PathFaults, strings.NewReader(body))
		req.Header.Set("Content-Type", "application/json")
		recorder := httptest.NewRecorder()
		if handler.ServeHTTP(recorder, req); recorder.Code != http.StatusNoContent {
			t.Fatalf("%s: status %d %s", body, recorder.Code, recorder.Body)
		}
	}
	post(`{"cut_after_chunks": 2, "cut_streams": 1}`)
	s, err := e.Generate(t.Context(), request("cut", "p", 5))
	if err != nil {
		t.Fatal(err)
	}
	if chunks, err := read(s); len(chunks) != 2 || !errors.Is(err, engine.ErrBroken) {
		t.Errorf("%d chunks, %v", len(chunks), err)
	}
	generate(t, e, request("whole", "p", 5))
	post(`{"cross_streams": 1, "answer_delay_ms": 30}`)
	start := time.Now()
	if chunks := generate(t, e, request("crossed", "p", 1)); chunks[0].RequestID == "crossed" || time.Since(start) < 30*time.Millisecond {
		t.Errorf("chunks %v after %v", chunks, time.Since(start))
	}
	post(`{"crash": true, "down_ms": 0}`)
	for state, _ := e.State(t.Context()); state.Incarnation != 4; state, _ = e.State(t.Context()) {
		time.Sleep(time.Millisecond)
	}
}
