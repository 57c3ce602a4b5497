package httpapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const maxBodyBytes = 1024

// recordingHandler is the end of the chain; it records the request and refuses it.
type recordingHandler struct{ req *request.Request }

func (h *recordingHandler) Handle(_ context.Context, req *request.Request) (request.Stream, error) {
	h.req = req
	return nil, verdict.New(verdict.NotRun, verdict.CodeOverloaded, "reached")
}

// newServer returns a server with one route of each kind.
func newServer(handler request.Handler) (*Server, *inflight.Registry) {
	document := &config.Document{Routes: []config.Route{
		{Name: "chat", Path: pathChat},
		{Name: "completions", Path: pathCompletions},
		{Name: "lookup", Path: "/desk/lookup/*", Method: http.MethodGet, Group: "desk", StripPrefix: "/desk"},
		{Name: "orders", Path: "/desk/orders", Method: http.MethodPost, Group: "desk", StripPrefix: "/desk", AtMostOnce: true},
	}}
	document.BuildIndex()
	registry := &inflight.Registry{}
	return New(Options{
		Settings: &config.Settings{Router: config.RouterSettings{MaxBodyBytes: maxBodyBytes}},
		Source:   control.NewAtomicSource(&control.Snapshot{Config: &config.Revision{Document: document}}),
		Handler:  handler,
		Inflight: registry,
		Metrics:  http.NotFoundHandler(),
	}), registry
}

func TestBadRequestsDoNotReachTheChain(t *testing.T) {
	long := strings.Repeat("x", maxBodyBytes)
	cases := []struct {
		name, method, path, body string
		code                     verdict.Code
	}{
		{"empty body", "POST", pathChat, ``, verdict.CodeInvalidRequest},
		{"not JSON", "POST", pathChat, `{"model":`, verdict.CodeInvalidRequest},
		{"a list", "POST", pathChat, `[]`, verdict.CodeInvalidRequest},
		{"two values", "POST", pathCompletions, `{"model":"m","prompt":"p"} {}`, verdict.CodeInvalidRequest},
		{"no model", "POST", pathCompletions, `{"prompt":"p"}`, verdict.CodeInvalidRequest},
		{"no messages", "POST", pathChat, `{"model":"m","messages":[]}`, verdict.CodeInvalidRequest},
		{"content of another type", "POST", pathChat, `{"model":"m","messages":[{"role":"user","content":7}]}`, verdict.CodeInvalidRequest},
		{"an image", "POST", pathChat, `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, verdict.CodeInvalidRequest},
		{"no prompt", "POST", pathCompletions, `{"model":"m"}`, verdict.CodeInvalidRequest},
		{"two prompts", "POST", pathCompletions, `{"model":"m","prompt":["a","b"]}`, verdict.CodeInvalidRequest},
		{"two choices", "POST", pathCompletions, `{"model":"m","prompt":"p","n":2}`, verdict.CodeInvalidRequest},
		{"tools", "POST", pathCompletions, `{"model":"m","prompt":"p","tools":[{}]}`, verdict.CodeInvalidRequest},
		{"no tokens", "POST", pathCompletions, `{"model":"m","prompt":"p","max_tokens":0}`, verdict.CodeInvalidRequest},
		{"negative tokens", "POST", pathCompletions, `{"model":"m","prompt":"p","max_tokens":-1}`, verdict.CodeInvalidRequest},
		{"too many tokens for an integer", "POST", pathCompletions, `{"model":"m","prompt":"p","max_tokens":99999999999999999999}`, verdict.CodeInvalidRequest},
		{"temperature too high", "POST", pathCompletions, `{"model":"m","prompt":"p","temperature":3}`, verdict.CodeInvalidRequest},
		{"oversized generation", "POST", pathCompletions, `{"model":"m","prompt":"` + long + `"}`, verdict.CodeTooLarge},
		{"oversized order", "POST", "/desk/orders", long + "x", verdict.CodeTooLarge},
		{"wrong method of a call", "DELETE", "/desk/orders", "", verdict.CodeNotFound},
		{"wrong method of a generation", "PUT", pathChat, "{}", verdict.CodeNotFound},
		{"unknown route", "GET", "/nowhere", "", verdict.CodeNotFound},
		{"route's parent", "GET", "/desk/lookup", "", verdict.CodeNotFound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler := &recordingHandler{}
			server, _ := newServer(handler)
			recorder := httptest.NewRecorder()
			server.ServeHTTP(recorder, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
			checkError(t, recorder, c.code)
			if handler.req != nil {
				t.Error("the request reached the chain")
			}
		})
	}
}

// checkError checks that the response is an error with the verdict "not run" in
// both the header and the body.
func checkError(t *testing.T, recorder *httptest.ResponseRecorder, code verdict.Code) {
	t.Helper()
	var body errorBody
	if err := json.Unmarshal(recorder.Body.Bytes(), &body); err != nil {
		t.Fatalf("%q: %v", recorder.Body, err)
	}
	if recorder.Code != verdict.New(verdict.NotRun, code, "").Status() || body.Error.Code != string(code) {
		t.Errorf("status %d, code %q, want %q", recorder.Code, body.Error.Code, code)
	}
	if recorder.Header().Get(HeaderVerdict) != "not-run" || body.Error.Verdict != "not-run" {
		t.Errorf("verdict %q, in the body %q", recorder.Header().Get(HeaderVerdict), body.Error.Verdict)
	}
}

func TestHeaders(t *testing.T) {
	handler := &recordingHandler{}
	server, _ := newServer(handler)
	r := httptest.NewRequest(http.MethodPost, "/desk/orders?copies=2", strings.NewReader("badge"))
	for name, value := range map[string]string{
		"Authorization": "Bearer wg-key", "X-Api-Key": "k1", "Api-Key": "k2", "Proxy-Authorization": "k3", "Cookie": "c",
		"Connection": "close", "Te": "trailers", "Upgrade": "h2c", "X-Note": "door 3", "Idempotency-Key": "o-1",
		"Wasabigate-Class": "deferrable",
	} {
		r.Header.Set(name, value)
	}
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, r)
	checkError(t, recorder, verdict.CodeOverloaded)
	req := handler.req
	if req.Credential != "wg-key" || req.Class != config.ClassDeferrable {
		t.Errorf("credential %q, class %q", req.Credential, req.Class)
	}
	if !req.Call.Once || req.Call.IdempotencyKey != "o-1" || req.Call.Path != "/orders?copies=2" || string(req.Call.Body) != "badge" {
		t.Errorf("call %v", req.Call)
	}
	var forwarded []string
	for _, header := range req.Call.Headers {
		forwarded = append(forwarded, header.Name)
	}
	slices.Sort(forwarded)
	if want := []string{"Idempotency-Key", "Wasabigate-Class", "X-Note"}; !slices.Equal(forwarded, want) {
		t.Errorf("headers %v, want %v", forwarded, want)
	}
	if recorder.Header().Get(HeaderRequestID) != req.ID || recorder.Header().Get(HeaderIdempotencyKey) != "o-1" {
		t.Errorf("response headers %v", recorder.Header())
	}
}

func TestBadClassIsRefused(t *testing.T) {
	server, _ := newServer(&recordingHandler{})
	r := httptest.NewRequest(http.MethodGet, "/desk/lookup/7", nil)
	r.Header.Set(HeaderClass, "first")
	recorder := httptest.NewRecorder()
	server.ServeHTTP(recorder, r)
	checkError(t, recorder, verdict.CodeInvalidRequest)
}

// blockingStream is a stream that returns one frame and then blocks until its context ends.
type blockingStream struct{ sent chan struct{} }

func (s *blockingStream) Next(ctx context.Context) (*wire.Frame, error) {
	select {
	case <-s.sent:
		<-ctx.Done()
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "the caller left")
	default:
		close(s.sent)
		return &wire.Frame{Sequence: 1, Tokens: &wire.Tokens{Text: "a"}}, nil
	}
}

func (s *blockingStream) Close(bool) {}

// The router itself cancels the running requests of a withdrawn key, whether or
// not the sidecar knows of the withdrawal.
func TestWithdrawalEndsRunningRequests(t *testing.T) {
	stream := &blockingStream{sent: make(chan struct{})}
	last := pipeline.HandlerFunc[*request.Request, request.Stream](func(context.Context, *request.Request) (request.Stream, error) {
		return stream, nil
	})
	chain := pipeline.HandlerFunc[*request.Request, request.Stream](func(ctx context.Context, req *request.Request) (request.Stream, error) {
		req.KeyID = "north-1"
		return KeyFilter{}.Handle(ctx, req, last)
	})
	server, registry := newServer(chain)
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, pathCompletions, strings.NewReader(`{"model":"m","prompt":"p","stream":true}`)))
	}()
	<-stream.sent
	registry.CancelWithdrawn(func(keyID string) bool { return keyID == "south-1" })
	if registry.Len() != 1 {
		t.Error("another key's withdrawal ended the request")
	}
	registry.CancelWithdrawn(func(keyID string) bool { return keyID == "north-1" })
	<-done
	if body := recorder.Body.String(); !strings.Contains(body, "event: error") || !strings.Contains(body, "key_withdrawn") || strings.Contains(body, "[DONE]") {
		t.Errorf("the stream ended with %q", body)
	}
}

func FuzzParseCompletion(f *testing.F) {
	for _, seed := range []string{
		`{"model":"m","prompt":"p"}`, `{"model":"m","prompt":["p"],"max_tokens":3,"stop":["a",""]}`,
		`{"model":"m","messages":[{"role":"user","content":"hi"}],"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_completion_tokens":1}`,
		`{"model":"m","prompt":null}`, `{"model":"m","prompt":"p","n":null,"seed":-1,"temperature":2}`, `{}`, `[`, ``,
	} {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		parsed, err := parseCompletion(body, chat)
		if err != nil {
			if failure := verdict.From(err); failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeInvalidRequest {
				t.Errorf("refused with %v", err)
			}
			return
		}
		generation := parsed.generation(chat, "r")
		if generation.ModelName == "" || generation.MaxTokens < 0 || generation.Temperature < 0 || generation.Temperature > maxTemperature {
			t.Errorf("accepted %+v", generation)
		}
		if again := parsed.generation(chat, "r"); again.Prompt != generation.Prompt || again.Seed != generation.Seed {
			t.Error("the same body gave two different generations")
		}
	})
}
