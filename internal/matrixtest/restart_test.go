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
	c := newCluster(t, slots)
	full := c.view
	c.setView(membership.NewView([]platform.VM{c.engines[0].vm}))
	const prompts = 8
	for i := range prompts {
		c.cachedTokens(i)
	}
	eventually(t, recoveryTimeout, "the index has all cached blocks", func() bool {
		state, err := c.engines[0].engine.State(c.ctx)
		return err == nil && c.engines[0].index.Len() == state.CachedBlocks
	})
	c.setView(full)
	c.restart(0)
	for i := range prompts {
		if c.cachedTokens(i) == 0 {
			t.Errorf("prompt %d was computed again after the restart", i)
		}
	}
}

func (c *cluster) setView(view *membership.View) {
	c.mu.Lock()
	c.view = view
	c.mu.Unlock()
	c.publish()
}

// cachedTokens requests a completion and returns the number of cached tokens of
// its prompt.
func (c *cluster) cachedTokens(prompt int) int {
	c.t.Helper()
	body := fmt.Sprintf(`{"model":%q,"prompt":"%d %s","max_tokens":1}`, modelName, prompt, promptText)
	recorder := httptest.NewRecorder()
	c.router(0).server.ServeHTTP(recorder, rawRequest(http.MethodPost, "/v1/completions", c.otherKey, body))
	var parsed struct {
		Usage struct {
			Details struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &parsed); err != nil || recorder.Code != http.StatusOK {
		c.t.Fatalf("status %d, %v: %s", recorder.Code, err, recorder.Body)
	}
	return parsed.Usage.Details.CachedTokens
}

// TestReconnectAfterTheLastEvent reconnects a caller that has received the last
// chunk but not the end marker after it.
func TestReconnectAfterTheLastEvent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, slots)
	first := c.send(c.router(0), newRequest(kindStream, c.key, "", ""))
	again := c.send(c.router(1), newRequest(kindStream, c.key, "", first.lastID))
	if !first.complete || !again.complete || again.body != "" {
		t.Errorf("want a complete stream and nothing more after the reconnection, which returned %s", again)
	}
}
