package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// backendFunc is a Backend of one function.
type backendFunc func(ctx context.Context, call *backend.Call) (*backend.Response, error)

func (f backendFunc) Do(ctx context.Context, call *backend.Call) (*backend.Response, error) {
	resp, err := f(ctx, call)
	if err == nil {
		call.Observe(&resp.Description)
	}
	return resp, err
}

// promptRequest returns a request of a stream with the given shared parts.
func promptRequest(id string, shared ...string) *Request {
	route := testRoute(deployment.Stream, true)
	req := testRequest(route)
	req.ID = id
	for _, part := range append(shared, "own of "+id) {
		req.Parts = append(req.Parts, Part{ID: part, Tokens: 10})
	}
	return req
}

func TestHeldRequests(t *testing.T) {
	for _, c := range []struct {
		name  string
		step  step
		ended bool // no process serves the address any more
		held  bool
	}{
		{"the server ends before an event", step{status: http.StatusOK, cut: io.ErrUnexpectedEOF}, true, true},
		{"the server ends without a response", step{failed: true, verdict: verdict.MayHaveRun, cause: io.EOF}, true, true},
		{"the server ends after an event", step{status: http.StatusOK, body: "id: 1\ndata: a\n\n", cut: io.ErrUnexpectedEOF}, true, true},
		{"the connection breaks", step{status: http.StatusOK, cut: io.ErrUnexpectedEOF}, false, false},
		{"the server was gone before", step{failed: true, verdict: verdict.NotRun, cause: io.EOF}, true, false},
		{"the server refuses", step{status: http.StatusServiceUnavailable, notRun: true}, true, false},
		{"the server fails", step{status: http.StatusInternalServerError, body: "failed"}, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := quarantine.New(func(quarantine.Part, int64) bool { return false })
			f := &fakeBackend{steps: []step{c.step}}
			relay := NewRelay(Relay{
				Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{}, Quarantine: q,
				ProcessEnded: func(context.Context, string) bool { return c.ended },
			})
			relay.Source = func() *deployment.Snapshot { return testSnapshot(testRoute(deployment.Stream, true)) }
			for i := range 6 {
				serve(relay, promptRequest(strconv.Itoa(i), "system", "bad"))
				time.Sleep(10 * time.Millisecond) // until the crash is recorded
			}
			calls := len(f.calls)
			resp, err := serve(relay, promptRequest("last", "system", "bad"))
			if !c.held {
				if len(f.calls) == calls {
					t.Errorf("held back: %v", err)
				}
				return
			}
			failure := verdict.From(err)
			if resp != nil || failure.Verdict != verdict.NotRun || failure.Code != verdict.CodeQuarantined || failure.RetryAfter <= 0 || len(f.calls) != calls {
				t.Errorf("got %v, %v after %d calls, want an error that says not run", resp, err, len(f.calls)-calls)
			}
			if _, _ = serve(relay, promptRequest("sound", "system", "other")); len(f.calls) == calls {
				t.Error("a request that shares one part only is held back")
			}
		})
	}
}

// serve handles a request and reads its stream to the end.
func serve(relay *Relay, req *Request) (*Response, error) {
	resp, err := Match{}.Handle(context.Background(), req, relay)
	if err != nil || resp.Events == nil {
		return resp, err
	}
	defer resp.Events.Close()
	for {
		if _, err := resp.Events.Next(context.Background()); err != nil {
			return resp, err
		}
	}
}

// A request that may have run is not said to have not run when its retry is held back.
func TestHeldRetryMayHaveRun(t *testing.T) {
	q := quarantine.New(func(quarantine.Part, int64) bool { return false })
	crash := func(server string, at time.Time) {
		q.RecordCrash(quarantine.Crash{Server: server, Sent: at, Ended: at, Parts: []quarantine.Part{quarantine.PartOf("s", "bad")}}, at)
	}
	now := time.Now()
	crash("x@1", now.Add(-2*time.Second))
	crash("y@1", now.Add(-time.Second))
	calls := 0
	relay := NewRelay(Relay{
		Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Budget: &fakeBudget{left: 5}, Quarantine: q,
		Backend: backendFunc(func(context.Context, *backend.Call) (*backend.Response, error) {
			calls++
			crash("z@1", time.Now())
			return nil, verdict.Wrap(io.EOF, verdict.MayHaveRun, verdict.CodeBackendFailed, "no response")
		}),
		ProcessEnded: func(context.Context, string) bool { return true },
	})
	relay.Source = func() *deployment.Snapshot { return testSnapshot(testRoute(deployment.Stream, true)) }
	_, err := serve(relay, promptRequest("r", "system", "bad"))
	if failure := verdict.From(err); calls != 1 || failure.Verdict != verdict.MayHaveRun || failure.Status() != http.StatusBadGateway {
		t.Errorf("%d calls, %v; want one call and an error that says it may have run", calls, err)
	}
}

// A probe that another gateway has claimed is held back.
func TestHeldProbeOfAnotherGateway(t *testing.T) {
	q := quarantine.New(nil)
	at := time.Now().Add(-time.Minute)
	parts := []quarantine.Part{quarantine.PartOf("s", "bad")}
	for i := range 3 {
		at = at.Add(time.Second)
		q.RecordCrash(quarantine.Crash{Server: strconv.Itoa(i), Sent: at, Ended: at, Parts: parts}, at)
	}
	f := &fakeBackend{steps: []step{{status: http.StatusOK, body: "id: 1\ndata: a\n\n"}}}
	claimed := true
	relay := NewRelay(Relay{
		Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: f, Budget: &fakeBudget{}, Quarantine: q, ProcessEnded: neverEnded,
		ClaimProbe: func(_ context.Context, probe *quarantine.Decision) bool { return !claimed && probe.ProbeID != "" },
	})
	relay.Source = func() *deployment.Snapshot { return testSnapshot(testRoute(deployment.Stream, true)) }
	_, err := serve(relay, promptRequest("r1", "bad"))
	if failure := verdict.From(err); failure.Code != verdict.CodeQuarantined || failure.Verdict != verdict.NotRun || failure.RetryAfter <= 0 || len(f.calls) != 0 {
		t.Errorf("%d calls, %v; want none and an error that says not run", len(f.calls), err)
	}
	claimed = false
	q.EndProbe(parts[0], quarantine.ProbeUnsent, time.Now().Add(-time.Minute))
	if _, err := serve(relay, promptRequest("r2", "bad")); len(f.calls) != 1 {
		t.Errorf("the probe is not sent: %v", err)
	}
}
