package systemtest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

func completionBody(prompt string, maxTokens int, stream bool) string {
	encoded, _ := json.Marshal(map[string]any{"model": modelName, "prompt": prompt, "max_tokens": maxTokens, "stream": stream})
	return string(encoded)
}

// streamedResponse is a streamed response as its caller received it.
type streamedResponse struct {
	status     int
	verdict    string
	text       string
	events     []string // data of the events
	lastID     string   // ID of the last event
	complete   bool     // [DONE] was received
	errorEvent string   // data of an error event
}

// stream requests a streamed completion, or reconnects to a running one if
// lastEventID is set. onEvent, if set, is called after each event with the number
// of events so far.
func (s *system) stream(ctx context.Context, r *router, key, body, lastEventID string, onEvent func(n int)) (*streamedResponse, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := s.caller.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	streamed := &streamedResponse{status: resp.StatusCode, verdict: resp.Header.Get("Wasabigate-Verdict")}
	return streamed, streamed.read(resp.Body, onEvent)
}

func (r *streamedResponse) read(body io.Reader, onEvent func(n int)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			r.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case strings.HasPrefix(line, "data: "):
			before := len(r.events)
			r.add(event, strings.TrimPrefix(line, "data: "))
			if onEvent != nil && len(r.events) > before {
				onEvent(len(r.events))
			}
		}
	}
	return scanner.Err()
}

func (r *streamedResponse) add(event, data string) {
	switch {
	case event == "error":
		r.errorEvent = data
	case data == "[DONE]":
		r.complete = true
	default:
		r.events = append(r.events, data)
		r.text += chunkText(data)
	}
}

func chunkText(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// response is an HTTP response that is not streamed.
type response struct {
	status int
	header http.Header
	body   string
}

// errorCode returns the code of an error body.
func (r *response) errorCode() string {
	var parsed struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.body), &parsed)
	return parsed.Error.Code
}

// send sends a request and reads the response.
func (s *system) send(ctx context.Context, r *router, method, path, key, idempotencyKey, body string) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := s.caller.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return &response{resp.StatusCode, resp.Header, string(text)}, err
}

// order sends a badge print order.
func (s *system) order(ctx context.Context, r *router, idempotencyKey string) (*response, error) {
	return s.send(ctx, r, http.MethodPost, "/desk/orders", s.key, idempotencyKey, fmt.Sprintf(`{"badge":%q}`, idempotencyKey))
}

// cachedTokens requests a completion and returns the number of cached prompt
// tokens.
func (s *system) cachedTokens(t *testing.T, r *router, prompt string) int {
	t.Helper()
	return s.complete(t, r, s.key, prompt, 1).cached
}

// completion is a completion that was not streamed.
type completion struct {
	text   string
	prompt int // tokens
	cached int // prompt tokens that were cached
}

// complete requests a completion, which must succeed.
func (s *system) complete(t *testing.T, r *router, key, prompt string, maxTokens int) completion {
	t.Helper()
	var parsed struct {
		Usage struct {
			PromptTokens int `json:"prompt_tokens"`
			Details      struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	got, err := s.send(t.Context(), r, http.MethodPost, "/v1/completions", key, "", completionBody(prompt, maxTokens, false))
	if err != nil || got.status != http.StatusOK {
		t.Fatalf("%+v, %v", got, err)
	}
	if err := json.Unmarshal([]byte(got.body), &parsed); err != nil {
		t.Fatal(err)
	}
	return completion{text: chunkText(got.body), prompt: parsed.Usage.PromptTokens, cached: parsed.Usage.Details.CachedTokens}
}
