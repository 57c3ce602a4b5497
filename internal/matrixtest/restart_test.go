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
// that consistent hashing alone would send half of the prompts to the other.
func TestRestartedRouterKnowsWhatEnginesHold(t *testing.T) {
	t.Parallel()
	w := newCluster(t, slots)
	whole := w.view
	w.setView(membership.NewView([]platform.VM{w.engines[0].vm}))
	const prompts = 8
	for i := range prompts {
		w.cachedTokens(i)
	}
	eventually(t, recoveryTimeout, "the index has all cached blocks", func() bool {
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

func (w *cluster) setView(view *membership.View) {
	w.mu.Lock()
	w.view = view
	w.mu.Unlock()
	w.publish()
}

// cachedTokens requests a completion and returns the number of cached tokens of
// its prompt.
func (w *cluster) cachedTokens(prompt int) int {
	w.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"%d %s","max_tokens":1}`, modelName, prompt, promptText)
	recorder := httptest.NewRecorder()
	w.router(0).server.ServeHTTP(recorder, rawRequest(http.MethodPost, "/v1/completions", w.otherKey, body))
	var parsed struct {
		Usage struct {
			Details struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &parsed); err != nil || recorder.Code != http.StatusOK {
		w.t.Fatalf("status %d, %v: %s", recorder.Code, err, recorder.Body)
	}
	return parsed.Usage.Details.CachedTokens
}

// TestReconnectAfterTheLastEvent reconnects a caller that has received the last
// chunk but not the end marker after it.
func TestReconnectAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	w := newCluster(t, slots)
	first := w.send(w.router(0), newRequest(kindStream, w.key, "", ""))
	again := w.send(w.router(1), newRequest(kindStream, w.key, "", first.lastID))
	if !first.complete || !again.complete || again.body != "" {
		t.Errorf("want a complete stream and nothing more after the reconnection, which returned %s", again)
	}
}
