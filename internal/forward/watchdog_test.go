package forward

import (
	"context"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// relayTo returns a relay of a request to f. If the servers respond, they have done so to
// another request shortly after this one is sent.
func relayTo(f *fakeBackend, req *Request, retries int, serversRespond bool) *Relay {
	snapshot := req.Snapshot
	relay := NewRelay(Relay{
		ProcessEnded: neverEnded,
		Fleet:        fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{left: retries},
		Source: func() *deployment.Snapshot { return snapshot },
	})
	if serversRespond {
		for id := range req.Snapshot.Servers {
			relay.Fleet.RecordResponse(id, time.Now().Add(50*time.Millisecond))
		}
	}
	return relay
}

// Comments are no progress: a server that sends nothing else is replaced, before its
// first event or after it.
func TestPingsDoNotKeepAStream(t *testing.T) {
	for _, begin := range []string{"", first} {
		rest := strings.TrimPrefix(first+second, begin)
		handler, f := testRelay([]step{{status: 200, body: begin, pings: true}, {status: 200, body: rest}}, ampleRetries)
		route := testRoute(deployment.Stream, true)
		route.TargetLatency, route.TargetGap = 50*time.Millisecond, 50*time.Millisecond
		resp, err := handler.Handle(context.Background(), testRequest(route))
		if err != nil {
			t.Fatal(err)
		}
		events := ""
		for err == nil {
			var raw []byte
			raw, err = resp.Events.Next(context.Background())
			events += string(raw)
		}
		events = strings.ReplaceAll(events, ": ping\n\n", "")
		if err != io.EOF || events != first+second || len(f.calls) != 2 {
			t.Errorf("after %q got events %q, %v after %d attempts", begin, events, err, len(f.calls))
		}
	}
}

// A slow attempt is given up only for another one, or if its server responds to nobody:
// without a retry in the budget the client gets the late response of a sound server.
func TestSlowAttemptGoesOnWithoutBudget(t *testing.T) {
	for _, c := range []struct {
		name     string
		retries  int
		responds bool // to other requests
		calls    int
		served   bool
	}{
		{"no retry left, sound server", 0, true, 1, true},
		{"no retry left, silent server", 0, false, 1, false},
		{"one retry left, silent server", 1, false, 2, true},
		{"one retry left, busy server", 1, true, 2, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackend{steps: []step{{status: 200, body: "whole", delay: 500 * time.Millisecond}}}
			route := testRoute(deployment.Idempotent, false)
			route.TargetLatency = 30 * time.Millisecond
			req := testRequest(route)
			req.Route, req.Deadline = &route, time.Now().Add(5*time.Second)
			relay := relayTo(f, req, c.retries, c.responds)
			resp, err := relay.Handle(context.Background(), req)
			if (err == nil && resp.Status == 200) != c.served || len(f.calls) != c.calls {
				t.Errorf("got %+v, %v after %d attempts, want served %v after %d", resp, err, len(f.calls), c.served, c.calls)
			}
		})
	}
}

// A stream whose events the client gets is not broken off while its server is silent, unless it
// can go on at another one.
func TestSilentStreamIsNotCutWithoutBudget(t *testing.T) {
	for _, c := range []struct {
		name    string
		retries int
		calls   int
	}{{"no retry left", 0, 1}, {"one retry left", 1, 2}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				route := testRoute(deployment.Stream, true)
				route.TargetLatency, route.TargetGap = 100*time.Millisecond, 100*time.Millisecond
				handler, f := testRelay([]step{{status: 200, body: first, late: second, lateBy: 2 * time.Second}, {status: 200, body: second}}, c.retries)
				resp, err := handler.Handle(context.Background(), testRequest(route))
				if err != nil {
					t.Fatal(err)
				}
				defer resp.Events.Close()
				events := ""
				for err == nil {
					var raw []byte
					raw, err = resp.Events.Next(context.Background())
					events += string(raw)
				}
				if err != io.EOF || events != first+second || len(f.calls) != c.calls {
					t.Errorf("got events %q, %v after %d attempts, want all after %d", events, err, len(f.calls), c.calls)
				}
			})
		})
	}
}

// Under load a server that responds to others is slow for a while, and its requests are not
// sent to a second server, which would prefill their prompts again. A server that
// responds to nobody is left at once.
func TestBusyServerIsNotRetriedAtOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		responds bool
		delay    time.Duration
		calls    int
	}{{"busy", true, 150 * time.Millisecond, 1}, {"silent", false, time.Second, 2}} {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackend{steps: []step{{status: 200, body: "whole", delay: c.delay}}}
			route := testRoute(deployment.Idempotent, false)
			route.TargetLatency = 40 * time.Millisecond // given up after 120 ms, or 240 if busy
			req := testRequest(route)
			req.Route, req.Deadline = &route, time.Now().Add(5*time.Second)
			relay := relayTo(f, req, ampleRetries, c.responds)
			if resp, err := relay.Handle(context.Background(), req); err != nil || resp.Status != 200 || len(f.calls) != c.calls {
				t.Errorf("got %+v, %v after %d attempts, want 200 after %d", resp, err, len(f.calls), c.calls)
			}
		})
	}
}

// An attempt that the gateway itself gives up must not look as if the client had left.
func TestGivenUpAttemptIsAFailedServer(t *testing.T) {
	handler, _ := testRelay([]step{{silent: true}}, ampleRetries)
	req := testRequest(testRoute(deployment.Idempotent, false))
	req.Timeout = 30 * time.Millisecond // too little is left for a second attempt
	_, err := handler.Handle(context.Background(), req)
	if failure := verdict.From(err); failure.Status() < 500 || failure.Verdict != verdict.MayHaveRun {
		t.Errorf("got %v with status %d, want a server error that may have run", failure, failure.Status())
	}
}

// A server that stops sending does not use up the whole time of a request that may be
// retried elsewhere.
func TestSilentServers(t *testing.T) {
	cases := []struct {
		name   string
		route  deployment.Route
		steps  []step
		calls  int
		status int
		within time.Duration
	}{
		{"idempotent", testRoute(deployment.Idempotent, false), []step{{silent: true}, {status: 200, body: "whole"}}, 2, 200, 300 * time.Millisecond},
		{"at most once", testRoute(deployment.AtMostOnce, false), []step{{silent: true}, {status: 200, body: "whole"}}, 1, 0, 5 * time.Second},
		{"stream before its first event", testRoute(deployment.Stream, true), []step{{silent: true}, {status: 200, body: first + second}}, 2, 200, 300 * time.Millisecond},
		{"stream between events", testRoute(deployment.Stream, true), []step{{status: 200, body: first, silent: true}, {status: 200, body: second}}, 2, 200, minStallTime + 300*time.Millisecond},
		{"last attempt", testRoute(deployment.Idempotent, false), []step{{silent: true}}, 2, 0, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.route.TargetLatency, c.route.TargetGap = 100*time.Millisecond, 100*time.Millisecond
				handler, f := testRelay(c.steps, ampleRetries)
				start := time.Now()
				resp, err := handler.Handle(context.Background(), testRequest(c.route))
				events := ""
				for err == nil && resp.Events != nil {
					var raw []byte
					raw, err = resp.Events.Next(context.Background())
					events += string(raw)
				}
				if resp != nil && resp.Events != nil {
					resp.Events.Close()
					if events != first+second || err != io.EOF {
						t.Errorf("got events %q, end of stream %v", events, err)
					}
					err = nil
				}
				if took := time.Since(start); len(f.calls) != c.calls || took > c.within || (err == nil) != (c.status == 200) {
					t.Errorf("%d attempts in %v, %v", len(f.calls), took, err)
				}
			})
		})
	}
}
