package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// Requests go to the servers whose limits allow them. If none does, they are rejected at
// once as not run, with the time after which one does.
func TestRequestsKeepToServersLimits(t *testing.T) {
	route := testRoute(deployment.Idempotent, false)
	snapshot := testSnapshot(route)
	limits := serverlimit.New("g")
	f := &fakeBackend{steps: []step{{status: http.StatusOK, body: "whole"}}}
	relay := NewRelay(Relay{ProcessEnded: neverEnded, Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{}, Limits: limits})
	relay.Source = func() *deployment.Snapshot { return snapshot }
	for id, server := range snapshot.Servers {
		if id != "a" {
			limits.RecordNamed(id, server.Incarnation, 0.1, time.Now())
		}
	}
	for range 20 {
		if resp, err := serve(relay, testRequest(route)); err != nil || resp.Status != http.StatusOK {
			t.Fatalf("%v, %v", resp, err)
		}
	}
	for _, call := range f.calls {
		if call.ServerID != "a" {
			t.Errorf("a call of server %s, whose limit allows none", call.ServerID)
		}
	}
	limits.RecordNamed("a", snapshot.Servers["a"].Incarnation, 0.1, time.Now())
	calls := len(f.calls)
	begun := time.Now()
	_, err := serve(relay, testRequest(route))
	failure := verdict.From(err)
	if failure.Verdict != verdict.NotRun || failure.RetryAfter < time.Second || len(f.calls) != calls || time.Since(begun) > time.Second {
		t.Errorf("%v after %v and %d calls, Retry-After %v", err, time.Since(begun), len(f.calls)-calls, failure.RetryAfter)
	}
}

// Limits come from the server's own responses; a malformed one, or one of another server at
// the address, limits nothing.
func TestLimitsInResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		resp    backend.Description
		limited int
	}{
		{"named", backend.Description{Signed: true, Limit: backend.Limit{Named: true, PerSecond: 2}}, 1},
		{"named in a refusal", backend.Description{NotRun: true, Limit: backend.Limit{Named: true, PerSecond: 2}}, 1},
		{"malformed", backend.Description{Signed: true, Limit: backend.Limit{Named: true}}, 0},
		{"absent", backend.Description{Signed: true}, 0},
		{"of another server", backend.Description{NotRun: true, ServerID: "z", Limit: backend.Limit{Named: true, PerSecond: 2}}, 0},
	} {
		route := testRoute(deployment.Idempotent, false)
		snapshot := testSnapshot(route)
		limits := serverlimit.New("g")
		relay := NewRelay(Relay{ProcessEnded: neverEnded,
			Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Budget: &fakeBudget{}, Limits: limits,
			Backend: backendFunc(func(context.Context, *backend.Call) (*backend.Response, error) {
				return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Description: c.resp, Body: http.NoBody}, nil
			}),
		})
		relay.Source = func() *deployment.Snapshot { return snapshot }
		_, _ = serve(relay, testRequest(route)) // only the limits matter here
		if limited := limits.Limited(time.Now()); (limited > 0) != (c.limited > 0) {
			t.Errorf("%s: %d servers limited", c.name, limited)
		}
	}
}
