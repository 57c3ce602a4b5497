package matrixtest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"time"
)

// kind is a kind of request.
type kind string

// The kinds of requests.
const (
	kindStream kind = "streamed generation"
	kindLookup kind = "plain lookup"
	kindOrder  kind = "order"
)

var kinds = []kind{kindStream, kindLookup, kindOrder}

// streamTokens is the length of the streamed answers.
const streamTokens = 12

// answerTimeout bounds the wait for one answer.
const answerTimeout = 20 * time.Second

var promptText = strings.Repeat("all snow guards of the north face ", 12)

// answer is what a caller got.
type answer struct {
	status    int
	verdict   string
	code      string
	requestID string
	body      string // without ids and times
	complete  bool
	broken    bool   // the router was killed meanwhile
	lastID    string // of the last event
}

func (a *answer) String() string {
	return fmt.Sprintf("status %d, verdict %q, code %q, complete %v, broken %v, body %q", a.status, a.verdict, a.code, a.complete, a.broken, a.body)
}

// newRequest returns the HTTP request of a kind. name makes orders differ.
func newRequest(k kind, key, name, lastID string) *http.Request {
	var r *http.Request
	switch k {
	case kindStream:
		body := fmt.Sprintf(`{"model":%q,"prompt":%q,"max_tokens":%d,"stream":true}`, modelName, promptText, streamTokens)
		r = httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
	case kindLookup:
		r = httptest.NewRequest(http.MethodGet, "/desk/lookup/7", nil)
	default:
		r = httptest.NewRequest(http.MethodPost, "/desk/orders", strings.NewReader(orderBody(name)))
		r.Header.Set("Idempotency-Key", name)
	}
	r.Header.Set("Authorization", "Bearer "+key)
	if lastID != "" {
		r.Header.Set("Last-Event-ID", lastID)
	}
	return r
}

func orderBody(name string) string { return fmt.Sprintf(`{"badge":%q}`, name) }

// ask sends a request to a router and returns its answer.
func (w *world) ask(r *router, req *http.Request) *answer {
	ctx, cancel := context.WithTimeout(r.ctx, answerTimeout)
	defer cancel()
	recorder := httptest.NewRecorder()
	r.server.ServeHTTP(recorder, req.WithContext(ctx))
	a := &answer{
		status:    recorder.Code,
		verdict:   recorder.Header().Get("Wasabigate-Verdict"),
		requestID: recorder.Header().Get("X-Request-Id"),
		broken:    r.ctx.Err() != nil,
	}
	if recorder.Header().Get("Content-Type") == "text/event-stream" {
		a.readEvents(recorder.Body.String())
		return a
	}
	a.body = normalised(recorder.Body.String())
	a.complete = a.status/100 == 2
	if !a.complete {
		a.readError(recorder.Body.String())
	}
	return a
}

// readEvents reads server-sent events.
func (a *answer) readEvents(text string) {
	event := ""
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case strings.HasPrefix(line, "id: "):
			a.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case event == "error" && strings.HasPrefix(line, "data: "):
			a.readError(strings.TrimPrefix(line, "data: "))
		case line == "data: [DONE]":
			a.complete = true
		case strings.HasPrefix(line, "data: "):
			a.body += normalised(line) + "\n"
		}
	}
}

// readError reads the body of an error.
func (a *answer) readError(text string) {
	var parsed struct {
		Error struct{ Code, Verdict string }
	}
	_ = json.Unmarshal([]byte(text), &parsed)
	a.code = parsed.Error.Code
	a.verdict = parsed.Error.Verdict
}

var changing = regexp.MustCompile(`"id":"cmpl-[^"]*"|"created":\d+|"number":\d+`)

// normalised returns the text without what differs between two requests.
func normalised(text string) string {
	return changing.ReplaceAllStringFunc(text, func(match string) string {
		name, _, _ := strings.Cut(match, ":")
		return name + ":0"
	})
}
