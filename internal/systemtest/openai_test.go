package systemtest

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/wasabigate/wasabigate/internal/standin/model"
)

// client returns the published OpenAI client with the given key and number of
// retries.
func (s *system) client(key string, retries int) openai.Client {
	return openai.NewClient(
		option.WithBaseURL(s.routers[0].url+"/v1/"),
		option.WithAPIKey(key),
		option.WithMaxRetries(retries),
	)
}

func chatParams(content string, maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:               modelName,
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.SystemMessage("Answer in one line."), openai.UserMessage(content)},
		MaxCompletionTokens: openai.Int(maxTokens),
	}
}

func TestPublishedClient(t *testing.T) {
	s := start(t, plan{
		routers:  1,
		engines:  2,
		engine:   model.Options{DecodeStep: 5 * time.Millisecond},
		document: "[workspace small]\nrate = 10\nburst = 40\n[key small-1]\nworkspace = small\nsha256 = " + smallKeyHash + "\n",
	})
	client := s.client(s.key, 0)
	t.Run("not streamed", func(t *testing.T) {
		resp, err := client.Chat.Completions.New(t.Context(), chatParams("Is the roof safe?", 12))
		if err != nil {
			t.Fatal(err)
		}
		choice := resp.Choices[0]
		if choice.Message.Content == "" || choice.FinishReason != "length" || resp.Usage.CompletionTokens != 12 || resp.Model != modelName {
			t.Errorf("response %+v", resp)
		}
	})
	t.Run("streamed", func(t *testing.T) {
		params := chatParams("Is the roof safe?", 12)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		accumulator := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			if !accumulator.AddChunk(stream.Current()) {
				t.Fatalf("chunk does not fit: %s", stream.Current().RawJSON())
			}
		}
		if err := stream.Err(); err != nil {
			t.Fatal(err)
		}
		whole, err := client.Chat.Completions.New(t.Context(), chatParams("Is the roof safe?", 12))
		if err != nil {
			t.Fatal(err)
		}
		if accumulator.Choices[0].Message.Content != whole.Choices[0].Message.Content || accumulator.Usage.CompletionTokens != 12 {
			t.Errorf("streamed %+v, whole %q", accumulator.ChatCompletion, whole.Choices[0].Message.Content)
		}
	})
	t.Run("completion", func(t *testing.T) {
		resp, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model:     modelName,
			Prompt:    openai.CompletionNewParamsPromptUnion{OfString: openai.String("the roll of 1968")},
			MaxTokens: openai.Int(5),
		})
		if err != nil || resp.Choices[0].Text == "" {
			t.Errorf("response %+v, %v", resp, err)
		}
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		if err != nil || len(page.Data) != 1 || page.Data[0].ID != modelName {
			t.Errorf("models %+v, %v", page, err)
		}
	})
	t.Run("errors", func(t *testing.T) { s.checkClientErrors(t) })
	t.Run("own retries", func(t *testing.T) { s.checkClientRetries(t) })
	t.Run("cancelled stream", func(t *testing.T) { s.checkCancelledStream(t) })
}

const (
	smallKey     = "wg-small-1-00"
	smallKeyHash = "4b6b67d12525986d6546199b62e959c680615a124af81f92dc5a41482efed65e"
)

func (s *system) checkClientErrors(t *testing.T) {
	unknown := chatParams("hello", 4)
	unknown.Model = "unknown"
	cases := []struct {
		name   string
		key    string
		params openai.ChatCompletionNewParams
		status int
		code   string
	}{
		{"bad key", "wg-north-1-00", chatParams("hello", 4), http.StatusUnauthorized, "invalid_api_key"},
		{"unknown model", s.key, unknown, http.StatusNotFound, "model_not_found"},
		{"more than the context", s.key, chatParams("hello", 100_000), http.StatusBadRequest, "invalid_request"},
		{"more than the burst", smallKey, chatParams("hello", 100), http.StatusBadRequest, "cost_above_burst"},
		{"body too large", s.key, chatParams(strings.Repeat("x", 9<<20), 4), http.StatusRequestEntityTooLarge, "request_too_large"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			client := s.client(c.key, 0)
			_, err := client.Chat.Completions.New(t.Context(), c.params)
			var failure *openai.Error
			if !errors.As(err, &failure) {
				t.Fatalf("error %v", err)
			}
			verdict := failure.Response.Header.Get("Wasabigate-Verdict")
			if failure.StatusCode != c.status || failure.Code != c.code || verdict != "not-run" || verdictInBody(failure) != verdict {
				t.Errorf("status %d, code %q, verdict %q, body %s", failure.StatusCode, failure.Code, verdict, failure.RawJSON())
			}
		})
	}
}

func verdictInBody(failure *openai.Error) string {
	var body struct {
		Verdict string `json:"verdict"`
	}
	_ = json.Unmarshal([]byte(failure.RawJSON()), &body)
	return body.Verdict
}

// checkClientRetries checks that the client's own retries succeed after a rate-limit
// refusal with a Retry-After header.
func (s *system) checkClientRetries(t *testing.T) {
	withoutRetries, withRetries := s.client(smallKey, 0), s.client(smallKey, 8)
	refused := false
	for range 5 {
		_, err := withoutRetries.Chat.Completions.New(t.Context(), chatParams("a", 8))
		var failure *openai.Error
		if errors.As(err, &failure) && failure.StatusCode == http.StatusTooManyRequests {
			refused = failure.Response.Header.Get("Retry-After") != ""
		}
	}
	if !refused {
		t.Fatal("no refusal with a Retry-After")
	}
	if _, err := withRetries.Chat.Completions.New(t.Context(), chatParams("a", 8)); err != nil {
		t.Errorf("with retries: %v", err)
	}
}

// cancelTimeout is the time within which a cancelled generation must end.
const cancelTimeout = 5 * time.Second

func (s *system) checkCancelledStream(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	client := s.client(s.key, 0)
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("tell all", 5000))
	if !stream.Next() {
		t.Fatal(stream.Err())
	}
	cancel()
	_ = stream.Close()
	eventually(t, cancelTimeout, "the engines are idle", func() bool {
		for _, e := range s.engines {
			state, err := e.engine.State(t.Context())
			if err != nil || state.Running > 0 {
				return false
			}
		}
		return true
	})
}
