package matrixtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// TestRestartedRouterKnowsWhatEnginesHold fills the cache of one engine only, so
// that the consistent hash alone would send half of the prompts to the other.
func TestRestartedRouterKnowsWhatEnginesHold(t *testing.T) {
	t.Parallel()
	w := newWorld(t, slots)
	whole := w.view
	w.setView(membership.NewView([]platform.VM{w.engines[0].vm}))
	const prompts = 8
	for i := range prompts {
		w.cachedTokens(i)
	}
	eventually(t, recovery, "the index has followed", func() bool {
		state, err := w.engines[0].engine.State(w.ctx)
		return err == nil && w.engines[0].index.Len() == state.CachedBlocks
	})
	w.setView(whole)
	w.restart(0)
	for i := range prompts {
		if w.cachedTokens(i) == 0 {
			t.Errorf("prompt %d was computed again after the restart", i)
		}
	}
}

func (w *world) setView(view *membership.View) {
	w.mu.Lock()
	w.view = view
	w.mu.Unlock()
	w.publish()
}

// cachedTokens asks for a completion and returns how much of its prompt was
// cached.
func (w *world) cachedTokens(prompt int) int {
	w.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"%d %s","max_tokens":1}`, modelName, prompt, promptText)
	recorder := httptest.NewRecorder()
	w.router(0).server.ServeHTTP(recorder, rawRequest(http.MethodPost, "/v1/completions", w.otherKey, body))
	var answer struct {
		Usage struct {
			Details struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &answer); err != nil || recorder.Code != http.StatusOK {
		w.t.Fatalf("status %d, %v: %s", recorder.Code, err, recorder.Body)
	}
	return answer.Usage.Details.CachedTokens
}

// TestReconnectAfterTheLastEvent reconnects a caller that has got the last chunk
// and not the end mark behind it.
func TestReconnectAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	w := newWorld(t, slots)
	first := w.ask(w.router(0), newRequest(kindStream, w.key, "", ""))
	again := w.ask(w.router(1), newRequest(kindStream, w.key, "", first.lastID))
	if !first.complete || !again.complete || again.body != "" {
		t.Errorf("the stream is whole, but the reconnection gave %s", again)
	}
}
