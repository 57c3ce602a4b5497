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

func (r *response) String() string {
	return fmt.Sprintf("status %d, verdict %q, code %q, complete %v, router killed %v, body %q", r.status, r.verdict, r.code, r.complete, r.routerKilled, r.body)
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
func (c *cluster) send(r *router, req *http.Request) *response {
	ctx, cancel := context.WithTimeout(r.ctx, responseTimeout)
	defer cancel()
	recorder := httptest.NewRecorder()
	r.server.ServeHTTP(recorder, req.WithContext(ctx))
	resp := &response{
		status:       recorder.Code,
		verdict:      recorder.Header().Get("Wasabigate-Verdict"),
		requestID:    recorder.Header().Get("X-Request-Id"),
		routerKilled: r.ctx.Err() != nil,
	}
	if recorder.Header().Get("Content-Type") == "text/event-stream" {
		resp.readEvents(recorder.Body.String())
		return resp
	}
	resp.body = normalize(recorder.Body.String())
	resp.complete = resp.status/100 == 2
	if !resp.complete {
		resp.readError(recorder.Body.String())
	}
	return resp
}

// readEvents parses server-sent events.
func (r *response) readEvents(text string) {
	event := ""
	for line := range strings.SplitSeq(text, "\n") {
		switch {
		case strings.HasPrefix(line, "id: "):
			r.lastID = strings.TrimPrefix(line, "id: ")
		case strings.HasPrefix(line, "event: "):
			event = strings.TrimPrefix(line, "event: ")
		case event == "error" && strings.HasPrefix(line, "data: "):
			r.readError(strings.TrimPrefix(line, "data: "))
		case line == "data: [DONE]":
			r.complete = true
		case strings.HasPrefix(line, "data: "):
			r.body += normalize(line) + "\n"
		}
	}
}

// readError parses an error body.
func (r *response) readError(text string) {
	var parsed struct {
		Error struct{ Code, Verdict string }
	}
	_ = json.Unmarshal([]byte(text), &parsed)
	r.code = parsed.Error.Code
	r.verdict = parsed.Error.Verdict
}

var variableFields = regexp.MustCompile(`"id":"cmpl-[^"]*"|"created":\d+|"number":\d+`)

// normalize replaces the values that differ between two equal requests.
func normalize(text string) string {
	return variableFields.ReplaceAllStringFunc(text, func(match string) string {
		name, _, _ := strings.Cut(match, ":")
		return name + ":0"
	})
}
