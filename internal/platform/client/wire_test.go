package client

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// respondWith returns a handler that reads the request and sends a fixed response.
func respondWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// redirect redirects to a page that responds with success.
func redirect(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/elsewhere" {
		respondWith(http.StatusOK, `{"version":9}`)(w, r)
		return
	}
	http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
}

func TestHTTPFaults(t *testing.T) {
	cases := []struct {
		name    string
		handler http.HandlerFunc
		write   error
		timeout time.Duration
	}{
		{"connection closed before the response", abort, platform.ErrOutcomeUnknown, callTimeout},
		{"no response", hang, platform.ErrOutcomeUnknown, slowTimeout},
		{"502 from a proxy", respondWith(http.StatusBadGateway, "bad gateway"), platform.ErrOutcomeUnknown, callTimeout},
		{"503 from a proxy", respondWith(http.StatusServiceUnavailable, "<html>"), platform.ErrOutcomeUnknown, callTimeout},
		{"unknown code", respondWith(http.StatusConflict, `{"code":"new"}`), platform.ErrOutcomeUnknown, callTimeout},
		{"malformed response", respondWith(http.StatusOK, `{"version":`), platform.ErrOutcomeUnknown, callTimeout},
		{"redirect", redirect, platform.ErrOutcomeUnknown, callTimeout},
		{"503 from the service itself", respondWith(http.StatusServiceUnavailable, `{"code":"unavailable"}`), platform.ErrUnavailable, callTimeout},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			client := NewKV(serve(t, c.handler), c.timeout)
			t.Cleanup(client.Close)
			if err := swap(t.Context(), client, "new", 1); !errors.Is(err, c.write) {
				t.Errorf("write: %v, want %v", err, c.write)
			}
			if _, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("read: %v, want ErrUnavailable", err)
			}
			if _, err := client.Watch(t.Context(), "k", 0); c.name != "malformed response" && !errors.Is(err, platform.ErrUnavailable) {
				t.Errorf("watch: %v, want ErrUnavailable", err)
			}
		})
	}
}

func TestCutFaultTruncatesTheResponse(t *testing.T) {
	store := kv.New(1)
	store.SetFaults(kv.Faults{CutAnswers: 1})
	body := strings.NewReader(`{"key":"k","expected":0}`)
	response, err := http.Post(serve(t, kv.Handler(store))+httpapi.PathSwap, "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK || len(text) == 0 || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("status %d, body %q, %v; want a truncated response", response.StatusCode, text, err)
	}
}

func TestRefusedConnectionHasNoEffect(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := NewKV(server.URL, callTimeout)
	if err := swap(t.Context(), client, "new", 0); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("write: %v, want ErrUnavailable", err)
	}
	if _, err := client.Get(t.Context(), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read: %v, want ErrUnavailable", err)
	}
}

func TestServiceRejectsOversizedValues(t *testing.T) {
	for name, size := range map[string]int{"value": platform.MaxValueSize + 1, "body": 2 * platform.MaxValueSize} {
		t.Run(name, func(t *testing.T) {
			client := newCaller(serve(t, kv.Handler(kv.New(1))), callTimeout)
			t.Cleanup(client.Close)
			request := httpapi.SwapRequest{Key: "k", Value: make([]byte, size)}
			_, err := client.write(t.Context(), httpapi.PathSwap, request, &httpapi.Done{})
			if !errors.Is(err, platform.ErrTooLarge) {
				t.Errorf("error %v, want ErrTooLarge", err)
			}
		})
	}
}

func TestFaultsAreSetOverHTTP(t *testing.T) {
	cases := []struct {
		text   string
		status int
		want   kv.Faults
	}{
		{`{"down":true,"delay":"20ms","stale_reads":0.5}`, http.StatusOK, kv.Faults{Down: true, Delay: 20 * time.Millisecond, StaleReads: 0.5}},
		{`{}`, http.StatusOK, kv.Faults{}},
		{`{"lose_answers":1.5}`, http.StatusBadRequest, kv.Faults{}},
		{`{"reads_per_second":-1}`, http.StatusBadRequest, kv.Faults{}},
		{`{"delay":20}`, http.StatusBadRequest, kv.Faults{}},
		{`{"dwon":true}`, http.StatusBadRequest, kv.Faults{}},
	}
	store := kv.New(1)
	url := serve(t, kv.Handler(store)) + web.PathFaults
	for _, c := range cases {
		response, err := http.Post(url, "application/json", strings.NewReader(c.text))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != c.status || store.Faults() != c.want {
			t.Errorf("%s: status %d, faults %+v", c.text, response.StatusCode, store.Faults())
		}
	}
}

func TestWatchWithoutHeartbeatsIsClosed(t *testing.T) {
	sendNothing := func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	client := NewKV(serve(t, http.HandlerFunc(sendNothing)), callTimeout)
	t.Cleanup(client.Close)
	client.watchIdleTimeout = 20 * time.Millisecond
	events, err := client.Watch(t.Context(), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	select {
	case _, open := <-events:
		if open {
			t.Error("got an event from a service that sends none")
		}
	case <-time.After(callTimeout):
		t.Error("the watch without heartbeats stayed open")
	}
}

func TestIdleWatchStaysOpen(t *testing.T) {
	store := kv.New(1)
	client := NewKV(serve(t, kv.Handler(store)), time.Second)
	t.Cleanup(client.Close)
	events, err := client.Watch(t.Context(), "", 0)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(defaultWatchIdleTimeout + 100*time.Millisecond) // only heartbeats, for longer than the time-out
	if err := swap(t.Context(), store, "new", 0); err != nil {
		t.Fatal(err)
	}
	if event, open := <-events; !open || string(event.Value) != "new" {
		t.Errorf("event %+v, open %t", event, open)
	}
}
