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

// streamTokens is the length of the streamed responses.
const streamTokens = 12

// responseTimeout limits the wait for one response.
const responseTimeout = 20 * time.Second

var promptText = strings.Repeat("all snow guards of the north face ", 12)

// response is a response as its caller received it.
type response struct {
	status       int
	verdict      string
	code         string
	requestID    string
	body         string // without IDs and times
	complete     bool
	routerKilled bool   // the router was killed during the request
	lastID       string // ID of the last event
}

func (a *response) String() string {
	return fmt.Sprintf("status %d, verdict %q, code %q, complete %v, broken %v, body %q", a.status, a.verdict, a.code, a.complete, a.routerKilled, a.body)
}

// newRequest returns a request of a kind. name tells orders apart.
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

// send sends a request to a router and returns the response.
func (w *cluster) send(r *router, req *http.Request) *response {
	ctx, cancel := context.WithTimeout(r.ctx, responseTimeout)
	defer cancel()
	recorder := httptest.NewRecorder()
	r.server.ServeHTTP(recorder, req.WithContext(ctx))
	a := &response{
		status:       recorder.Code,
		verdict:      recorder.Header().Get("Wasabigate-Verdict"),
		requestID:    recorder.Header().Get("X-Request-Id"),
		routerKilled: r.ctx.Err() != nil,
	}
	if recorder.Header().Get("Content-Type") == "text/event-stream" {
		a.readEvents(recorder.Body.String())
		return a
	}
	a.body = normalize(recorder.Body.String())
	a.complete = a.status/100 == 2
	if !a.complete {
		a.readError(recorder.Body.String())
	}
	return a
}

// readEvents parses server-sent events.
func (a *response) readEvents(text string) {
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
			a.body += normalize(line) + "\n"
		}
	}
}

// readError parses an error body.
func (a *response) readError(text string) {
	var parsed struct {
		Error struct{ Code, Verdict string }
	}
	_ = json.Unmarshal([]byte(text), &parsed)
	a.code = parsed.Error.Code
	a.verdict = parsed.Error.Verdict
}

var variableFields = regexp.MustCompile(`"id":"cmpl-[^"]*"|"created":\d+|"number":\d+`)

// normalize replaces the values that differ between two equal requests.
func normalize(text string) string {
	return variableFields.ReplaceAllStringFunc(text, func(match string) string {
		name, _, _ := strings.Cut(match, ":")
		return name + ":0"
	})
}
