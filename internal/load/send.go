package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// ending is the way in which a request ended.
type ending string

const (
	endAnswered         ending = "answered"
	endRefused          ending = "refused" // 429 or 503
	endStoreUnavailable ending = "held"    // 503, since an at-most-once call can't be recorded
	endFailed           ending = "failed"  // any other status, or a broken connection
	endUnfinished       ending = "unfinished"
)

// outcome is the result of a request. Times count from when it was due.
type outcome struct {
	arrival          *arrival
	end              ending
	status           int
	code             string
	latency          time.Duration // until the first token, or the end of a call's response
	promptTokens     int           // tokens, as counted by the engine
	cachedTokens     int
	completionTokens int
	cost             float64 // tokens reserved
	newTokens        int     // prompt tokens that no earlier request of the workspace had
	withinRate       bool    // the exact bucket admitted it
}

// sender distributes requests over the routers round-robin.
type sender struct {
	routers []string
	model   string
	timeout time.Duration
	client  *http.Client
}

// maxIdlePerRouter is the number of idle connections kept to each router.
const maxIdlePerRouter = 256

func newSender(routers []string, model string, timeout time.Duration) *sender {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdlePerRouter,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &sender{routers: routers, model: model, timeout: timeout, client: &http.Client{Transport: transport}}
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type completionBody struct {
	Model         string        `json:"model"`
	Messages      []chatMessage `json:"messages,omitempty"`
	Prompt        string        `json:"prompt,omitempty"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

// The text that the chat interface puts around one user message.
const (
	chatPrefix = "<|user|>\n"
	chatSuffix = "\n<|assistant|>\n"
)

// rendered returns the prompt as the engine receives it.
func (s *Stream) rendered(prompt string) string {
	if !s.chat() {
		return prompt
	}
	return chatPrefix + prompt + chatSuffix
}

// reserved returns the tokens that the system reserves for a request.
func (s *Stream) reserved(prompt string) float64 {
	if s.Class == ClassCall {
		return float64(s.Cost)
	}
	return float64(tokens.Count(len(s.rendered(prompt))) + s.MaxTokens)
}

// request returns the HTTP request to a router for an arrival.
func (c *sender) request(ctx context.Context, router string, a *arrival, prompt string) (*http.Request, error) {
	s := a.stream
	path, method := "/v1/completions", http.MethodPost
	var body []byte
	switch {
	case s.Class == ClassCall && s.Method == http.MethodGet:
		path, method = s.Path+strconv.Itoa(a.number), s.Method
	case s.Class == ClassCall:
		path, body = s.Path, []byte(`{"order":`+strconv.Itoa(a.number)+`}`)
	default:
		message := completionBody{Model: c.model, MaxTokens: s.MaxTokens, Stream: true, StreamOptions: streamOptions{true}}
		if s.chat() {
			path = "/v1/chat/completions"
			message.Messages = []chatMessage{{"user", prompt}}
		} else {
			message.Prompt = prompt
		}
		body, _ = json.Marshal(message) // can't fail: strings, numbers and booleans only
	}
	req, err := http.NewRequestWithContext(ctx, method, router+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	req.Header.Set("Authorization", "Bearer "+a.workspace.key)
	req.Header.Set("Content-Type", "application/json")
	if s.Class == ClassCall && method == http.MethodPost {
		req.Header.Set("Idempotency-Key", uuid.NewString())
	}
	return req, nil
}

// send sends a request that was due at a time, and fills in its outcome. Routers
// that can't be reached are skipped.
func (c *sender) send(ctx context.Context, o *outcome, prompt string, turn int, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(c.timeout))
	defer cancel()
	o.end = endFailed
	for try := range c.routers {
		req, err := c.request(ctx, c.routers[(turn+try)%len(c.routers)], o.arrival, prompt)
		if err != nil {
			return
		}
		resp, err := c.client.Do(req)
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		if err == nil {
			err = o.read(resp, due)
		}
		if err != nil && ctx.Err() != nil {
			o.end = endUnfinished
			o.latency = time.Since(due)
		}
		return
	}
}

type errorBody struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// read reads a response to its end.
func (o *outcome) read(resp *http.Response, due time.Time) error {
	defer resp.Body.Close()
	o.status = resp.StatusCode
	if o.status/100 != 2 {
		var parsed errorBody
		_ = json.NewDecoder(resp.Body).Decode(&parsed) // without a code, the status decides
		o.code = parsed.Error.Code
		o.end = endOfError(o.status, o.code)
		return nil
	}
	if o.arrival.stream.Class != ClassCall {
		return o.readStream(resp.Body, due)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return errors.Wrap(err, "reply")
	}
	o.latency = time.Since(due)
	o.end = endAnswered
	return nil
}

// endOfError returns the ending for a response with an error status.
func endOfError(status int, code string) ending {
	switch {
	case code == string(verdict.CodeStoreUnavailable):
		return endStoreUnavailable
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return endRefused
	default:
		return endFailed
	}
}

// chunk is an event of a stream, of the chat or the completions interface.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens        int `json:"prompt_tokens"`
		CompletionTokens    int `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// readStream reads the events of a stream. The request counts as answered only
// after [DONE].
func (o *outcome) readStream(body io.Reader, due time.Time) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			o.end = endAnswered
			continue
		}
		var event chunk
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return errors.Wrap(err, "event")
		}
		o.record(&event, due)
	}
	return errors.Wrap(scanner.Err(), "stream")
}

func (o *outcome) record(event *chunk, due time.Time) {
	if o.latency == 0 && len(event.Choices) > 0 && event.Choices[0].Text+event.Choices[0].Delta.Content != "" {
		o.latency = time.Since(due)
	}
	if event.Usage != nil {
		o.promptTokens = event.Usage.PromptTokens
		o.completionTokens = event.Usage.CompletionTokens
		o.cachedTokens = event.Usage.PromptTokensDetails.CachedTokens
	}
}
