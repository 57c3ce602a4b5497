package forward

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// step is the fake backend's response to one attempt.
type step struct {
	status      int
	notRun      bool
	otherServer bool // another server has the address
	unsigned    bool // a response that no server signed
	body        string
	cut         error // error at the end of the body
	verdict     verdict.Verdict
	failed      bool // no response, but an error with verdict
	silent      bool // no response, or no more events, until the attempt is cancelled
	cause       error
	delay       time.Duration // before the response
	pings       bool          // comments after the body, until the attempt is cancelled
	late        string        // the rest of the body, lateBy after the first part
	lateBy      time.Duration
}

// fakeBackend performs steps in order, the last one repeatedly, and records the calls.
type fakeBackend struct {
	steps []step
	calls []*backend.Call
}

func (f *fakeBackend) Do(ctx context.Context, call *backend.Call) (*backend.Response, error) {
	f.calls = append(f.calls, call)
	s := f.steps[min(len(f.calls), len(f.steps))-1]
	if s.silent && s.body == "" {
		<-ctx.Done()
		return nil, verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, verdict.CodeCancelled, "attempt cancelled")
	}
	if s.delay > 0 {
		select {
		case <-time.After(s.delay):
		case <-ctx.Done():
			return nil, verdict.Wrap(context.Cause(ctx), verdict.MayHaveRun, verdict.CodeCancelled, "attempt cancelled")
		}
	}
	if s.failed {
		return nil, verdict.Wrap(s.cause, s.verdict, verdict.CodeBackendFailed, "no response")
	}
	resp := &backend.Response{Status: s.status, Header: http.Header{}}
	resp.Signed, resp.NotRun, resp.ServerID = !s.unsigned, s.notRun, call.ServerID
	if s.otherServer {
		resp.ServerID = "another"
	}
	call.Observe(&resp.Description)
	body := io.Reader(strings.NewReader(s.body))
	if s.cut != nil {
		body = io.MultiReader(body, iotest.ErrReader(s.cut))
	}
	if s.silent {
		body = io.MultiReader(body, readerFunc(func([]byte) (int, error) {
			<-ctx.Done()
			return 0, context.Cause(ctx)
		}))
	}
	if s.late != "" {
		rest := strings.NewReader(s.late)
		body = io.MultiReader(body, readerFunc(func(p []byte) (int, error) {
			if rest.Len() < len(s.late) {
				return rest.Read(p)
			}
			select {
			case <-time.After(s.lateBy):
				return rest.Read(p)
			case <-ctx.Done():
				return 0, context.Cause(ctx)
			}
		}))
	}
	if s.pings {
		body = io.MultiReader(body, readerFunc(func(p []byte) (int, error) {
			select {
			case <-time.After(20 * time.Millisecond):
				return copy(p, ": ping\n\n"), nil
			case <-ctx.Done():
				return 0, context.Cause(ctx)
			}
		}))
	}
	resp.Body = io.NopCloser(body)
	return resp, nil
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// fakeBudget allows a number of retries.
type fakeBudget struct{ left int }

func (*fakeBudget) RecordRequest(string, time.Time) {}

func (b *fakeBudget) AllowRetry(string, time.Time) bool {
	b.left--
	return b.left >= 0
}

func testRoute(kind deployment.Kind, resumable bool) deployment.Route {
	return deployment.Route{
		Name: "r", Host: "h", Prefix: "/", Kind: kind, Resumable: resumable, Public: true, MaxAttempts: 2, Timeout: 5 * time.Second,
		Targets: []deployment.Target{{Service: "s", Weight: 1}},
	}
}

func testSnapshot(route deployment.Route) *deployment.Snapshot {
	config := &deployment.Config{Version: 1, Routes: []deployment.Route{route}, Services: []deployment.Service{{Name: "s"}}}
	servers := make(map[string]*deployment.Server)
	for _, id := range []string{"a", "b", "c", "d", "e", "f"} {
		servers[id] = &deployment.Server{ID: id, Service: "s", Address: id + ":1", Slots: 6}
	}
	return (&deployment.Snapshot{Config: config.Index(), Servers: servers}).Index()
}

// neverEnded is the check of servers' processes for servers that exist in tests only.
func neverEnded(context.Context, string) bool { return false }

func testRequest(route deployment.Route) *Request {
	return &Request{
		Metadata: Metadata{ID: "r1"}, Arrived: time.Now(), Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Host: "h",
		Header: http.Header{}, Snapshot: testSnapshot(route),
	}
}

func testRelay(steps []step, retries int) (Handler, *fakeBackend) {
	f := &fakeBackend{steps: steps}
	var current atomic.Pointer[deployment.Snapshot]
	relay := NewRelay(Relay{ProcessEnded: neverEnded, Source: current.Load, Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{left: retries}})
	return handlerFunc(func(ctx context.Context, req *Request) (*Response, error) {
		current.Store(req.Snapshot)
		return Match{}.Handle(ctx, req, relay)
	}), f
}

type handlerFunc func(ctx context.Context, req *Request) (*Response, error)

func (h handlerFunc) Handle(ctx context.Context, req *Request) (*Response, error) { return h(ctx, req) }

const ampleRetries = 10

func TestRelayOfWholeAnswers(t *testing.T) {
	ok := step{status: 200, body: "whole"}
	refused := step{status: 503, notRun: true}
	unreachable := step{failed: true, verdict: verdict.NotRun}
	lost := step{failed: true, verdict: verdict.MayHaveRun, cause: io.EOF}
	failure := step{status: 500, body: "theirs"}
	cases := []struct {
		name    string
		kind    deployment.Kind
		steps   []step
		retries int
		calls   int
		status  int
		verdict verdict.Verdict // of an error, when status is 0
	}{
		{"success", deployment.AtMostOnce, []step{ok}, ampleRetries, 1, 200, 0},
		{"refused, then success", deployment.AtMostOnce, []step{refused, ok}, ampleRetries, 2, 200, 0},
		{"unreachable takes nothing from the budget", deployment.AtMostOnce, []step{unreachable, ok}, 0, 2, 200, 0},
		{"refused without budget", deployment.AtMostOnce, []step{refused, ok}, 0, 1, 0, verdict.NotRun},
		{"refused by every server", deployment.AtMostOnce, []step{refused}, ampleRetries, 4, 0, verdict.NotRun},
		{"another process has the address", deployment.AtMostOnce, []step{{status: 421, notRun: true, otherServer: true}, ok}, ampleRetries, 2, 200, 0},
		{"a lost response is not retried", deployment.AtMostOnce, []step{lost, ok}, ampleRetries, 1, 0, verdict.MayHaveRun},
		{"a failure is not retried", deployment.AtMostOnce, []step{failure, ok}, ampleRetries, 1, 500, 0},
		{"a truncated response is not retried", deployment.AtMostOnce, []step{{status: 200, body: "wh", cut: io.ErrUnexpectedEOF}, ok}, ampleRetries, 1, 0, verdict.MayHaveRun},
		{"an unsigned success", deployment.AtMostOnce, []step{{status: 200, unsigned: true}, ok}, ampleRetries, 1, 0, verdict.MayHaveRun},
		{"a 503 without the guarantee that nothing ran", deployment.AtMostOnce, []step{{status: 503, body: "busy"}, ok}, ampleRetries, 1, 0, verdict.MayHaveRun},
		{"idempotent: a lost response is retried", deployment.Idempotent, []step{lost, ok}, ampleRetries, 2, 200, 0},
		{"idempotent: a failure is retried", deployment.Idempotent, []step{failure, ok}, ampleRetries, 2, 200, 0},
		{"idempotent: failures are passed on", deployment.Idempotent, []step{failure}, ampleRetries, 2, 500, 0},
		{"idempotent: no budget", deployment.Idempotent, []step{failure, ok}, 0, 1, 500, 0},
		{"idempotent: lost, then refused", deployment.Idempotent, []step{lost, refused}, 1, 2, 0, verdict.MayHaveRun},
		{"idempotent: truncated, then success", deployment.Idempotent, []step{{status: 200, body: "wh", cut: errors.New("reset")}, ok}, ampleRetries, 2, 200, 0},
		{"a client's error is passed on", deployment.Idempotent, []step{{status: 400, body: "theirs"}}, ampleRetries, 1, 400, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler, f := testRelay(c.steps, c.retries)
			resp, err := handler.Handle(context.Background(), testRequest(testRoute(c.kind, false)))
			if len(f.calls) != c.calls {
				t.Errorf("%d attempts, want %d", len(f.calls), c.calls)
			}
			if c.status == 0 {
				if err == nil || verdict.From(err).Verdict != c.verdict {
					t.Fatalf("%+v, %v, want verdict %v", resp, err, c.verdict)
				}
				return
			}
			if err != nil || resp.Status != c.status {
				t.Fatalf("%+v, %v, want status %d", resp, err, c.status)
			}
			tried := make(map[string]bool)
			for _, call := range f.calls {
				if tried[call.Address] {
					t.Errorf("%s got the request twice", call.Address)
				}
				tried[call.Address] = true
			}
		})
	}
}

const (
	first  = "id: 1\ndata: a\n\n"
	second = "id: 2\ndata: b\n\n"
)

func TestRelayOfStreams(t *testing.T) {
	whole := step{status: 200, body: first + second}
	broken := step{status: 200, body: first + "id: 2\nda", cut: io.ErrUnexpectedEOF}
	rest := step{status: 200, body: second}
	cases := []struct {
		name      string
		resumable bool
		steps     []step
		events    string
		complete  bool
		lastID    string // after which the last attempt resumes
	}{
		{"whole", true, []step{whole}, first + second, true, ""},
		{"broken, resumed at another server", true, []step{broken, rest}, first + second, true, "1"},
		{"broken, not resumable", false, []step{broken, rest}, first, false, ""},
		{"broken twice", true, []step{broken, {status: 200, body: "id: 2", cut: io.EOF}}, first, false, "1"},
		{"the next server can't be reached: io.EOF of its connection is not the end of the stream", true,
			[]step{broken, {failed: true, verdict: verdict.MayHaveRun, cause: io.EOF}}, first, false, "1"},
		{"broken, then refused, then resumed", true, []step{broken, {status: 503, notRun: true}, rest}, first + second, true, "1"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			handler, f := testRelay(c.steps, ampleRetries)
			resp, err := handler.Handle(context.Background(), testRequest(testRoute(deployment.Stream, c.resumable)))
			if err != nil {
				t.Fatal(err)
			}
			events := ""
			for {
				var raw []byte
				raw, err = resp.Events.Next(context.Background())
				if err != nil {
					break
				}
				events += string(raw)
			}
			resp.Events.Close()
			if events != c.events || (err == io.EOF) != c.complete {
				t.Errorf("got events %q, end of stream %v", events, err)
			}
			if last := f.calls[len(f.calls)-1].LastEventID; last != c.lastID {
				t.Errorf("the last attempt resumes after %q, want %q", last, c.lastID)
			}
		})
	}
}

// A retry uses the current snapshot, not the one from the request's arrival: a server
// that has begun to drain since gets no new work.
func TestLaterAttemptsUseTheCurrentBelief(t *testing.T) {
	route := testRoute(deployment.Stream, true)
	var current atomic.Pointer[deployment.Snapshot]
	current.Store(testSnapshot(route))
	f := &fakeBackend{steps: []step{{status: 200, body: first, cut: io.ErrUnexpectedEOF}, {status: 200, body: second}}}
	relay := NewRelay(Relay{ProcessEnded: neverEnded,
		Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{left: ampleRetries},
		Source: current.Load,
	})
	req := testRequest(route)
	req.Route = &route
	resp, err := relay.Handle(context.Background(), req)
	if err != nil {
		t.Fatal(err)
	}
	next := testSnapshot(route) // a published snapshot is immutable
	for id, server := range next.Servers {
		draining := *server
		draining.Draining = id != "e"
		next.Servers[id] = &draining
	}
	current.Store(next.Index())
	for err == nil {
		_, err = resp.Events.Next(context.Background())
	}
	if len(f.calls) != 2 || f.calls[1].ServerID != "e" {
		t.Errorf("%d attempts, the last one at %s, want 2 and e, the only server that is not draining", len(f.calls), f.calls[len(f.calls)-1].ServerID)
	}
}

// A stream that ends before its first event is a failure, which is retried if the route
// is resumable.
func TestStreamWithoutEvents(t *testing.T) {
	for _, resumable := range []bool{true, false} {
		handler, f := testRelay([]step{{status: 200}, {status: 200, body: first}}, ampleRetries)
		resp, err := handler.Handle(context.Background(), testRequest(testRoute(deployment.Stream, resumable)))
		if resumable != (err == nil) || len(f.calls) == 2 != resumable {
			t.Errorf("resumable %v: %+v, %v after %d attempts", resumable, resp, err, len(f.calls))
		}
	}
}

// When every server refuses some requests, and is avoided for a while after that, all
// requests are still served.
func TestRefusalsOfAllServersDoNotStopTheService(t *testing.T) {
	steps := make([]step, 0, 40)
	for range 20 {
		steps = append(steps, step{status: 503, notRun: true}, step{status: 200, body: "whole"})
	}
	route := testRoute(deployment.Idempotent, false)
	f := &fakeBackend{steps: steps}
	snapshot := testSnapshot(route)
	relay := NewRelay(Relay{ProcessEnded: neverEnded,
		Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{left: 1000},
		Source: func() *deployment.Snapshot { return snapshot },
	})
	for i := range 20 {
		req := testRequest(route)
		req.Route, req.Model = &route, "m"
		if resp, err := relay.Handle(context.Background(), req); err != nil || resp.Status != 200 {
			t.Fatalf("request %d: %v", i, err)
		}
	}
}

// When all servers refuse, the client gets the error at once, not at its deadline.
func TestRefusalIsImmediate(t *testing.T) {
	handler, _ := testRelay([]step{{status: 503, notRun: true}}, ampleRetries)
	req := testRequest(testRoute(deployment.Idempotent, false))
	req.Timeout = time.Minute
	start := time.Now()
	_, err := handler.Handle(context.Background(), req)
	if failure := verdict.From(err); failure == nil || failure.RetryAfter <= 0 || time.Since(start) > time.Second {
		t.Errorf("got %v after %v, want an error with a retry time within 1 s", err, time.Since(start))
	}
}

// Clients whose requests were refused at the same time come back one after the other, and
// urgent ones before the others. That holds also if no server could be reached.
func TestRefusedClientsComeBackOneByOne(t *testing.T) {
	for _, c := range []struct {
		name string
		step step
	}{
		{"refused", step{status: 503, notRun: true}},
		{"unreachable", step{failed: true, verdict: verdict.NotRun}},
	} {
		t.Run(c.name, func(t *testing.T) {
			handler, _ := testRelay([]step{c.step}, ampleRetries)
			delayOf := func(priority int) time.Duration {
				route := testRoute(deployment.Idempotent, false)
				route.Priority = priority
				_, err := handler.Handle(context.Background(), testRequest(route))
				return verdict.From(err).RetryAfter
			}
			previous := time.Duration(0)
			for n := range 5 {
				delay := delayOf(1)
				if delay <= previous {
					t.Fatalf("client %d comes back after %v, the one before after %v", n, delay, previous)
				}
				previous = delay
			}
			if urgent := delayOf(0); urgent <= 0 || urgent >= previous {
				t.Errorf("an urgent client comes back after %v, another after %v", urgent, previous)
			}
		})
	}
}

func TestTargetsAreChosenByWeight(t *testing.T) {
	route := testRoute(deployment.Idempotent, false)
	route.Targets = []deployment.Target{{Service: "s", Weight: 9}, {Service: "t", Weight: 1}, {Service: "u", Weight: 0}}
	got := map[string]int{}
	for i := range 2000 {
		got[chooseTarget(&route, strings.Repeat("x", i%7)+string(rune('a'+i%26))+time.Duration(i).String())]++
	}
	if got["t"] < 130 || got["t"] > 270 || got["u"] != 0 {
		t.Errorf("requests by service: %v, want about 1 in 10 at t and none at u", got)
	}
	if chooseTarget(&deployment.Route{}, "x") != "" {
		t.Error("got a service for a route without targets")
	}
}

func TestAuthenticate(t *testing.T) {
	route := testRoute(deployment.Idempotent, false)
	route.Public = false
	config := &deployment.Config{Version: 1, Workspaces: []deployment.Workspace{{Name: "w", Keys: []deployment.KeyDigest{deployment.DigestKey("good")}}}}
	for credential, want := range map[string]string{"good": "w", "bad": "", "": ""} {
		for _, public := range []bool{false, true} {
			route.Public = public
			req := testRequest(route)
			req.Snapshot = &deployment.Snapshot{Config: config.Index()}
			req.Route, req.Credential = &route, credential
			var seen *Request
			_, err := Authenticate{}.Handle(context.Background(), req, handlerFunc(func(_ context.Context, r *Request) (*Response, error) {
				seen = r
				return &Response{}, nil
			}))
			if admitted := err == nil; admitted != (want != "" || public) {
				t.Errorf("key %q, public route %v: got error %v", credential, public, err)
			}
			if seen != nil && (seen.Credential != "" || seen.WorkspaceName() != want) {
				t.Errorf("key %q: the next handler got key %q of workspace %q", credential, seen.Credential, seen.WorkspaceName())
			}
		}
	}
}

func TestUnconfirmedConfiguration(t *testing.T) {
	for _, c := range []struct {
		staleness time.Duration
		public    bool
		served    bool
	}{{time.Second, false, true}, {6 * time.Second, false, false}, {6 * time.Second, true, true}} {
		route := testRoute(deployment.Idempotent, false)
		route.Public = c.public
		req := testRequest(route)
		req.Route = &route
		filter := &RequireConfirmed{Staleness: func() time.Duration { return c.staleness }, MaxStaleness: 5 * time.Second}
		_, err := filter.Handle(context.Background(), req, handlerFunc(func(context.Context, *Request) (*Response, error) { return &Response{}, nil }))
		if c.served != (err == nil) || err != nil && verdict.From(err).Verdict != verdict.NotRun {
			t.Errorf("%+v: %v", c, err)
		}
	}
}
