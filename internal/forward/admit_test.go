package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// admissionTest is a relay to engines whose slots are all taken, and two routes, of which the
// second is less urgent.
type admissionTest struct {
	*fakeBackend
	relay    *Relay
	snapshot *deployment.Snapshot
	requests int
}

func newAdmissionTest(steps ...step) *admissionTest {
	a := &admissionTest{fakeBackend: &fakeBackend{steps: steps}}
	urgent := testRoute(deployment.Stream, true)
	config := testSnapshot(urgent).Config
	config.Services[0].Engine = &deployment.Engine{Models: []string{"m"}}
	other := urgent
	other.Name, other.Prefix, other.Priority = "other", "/other", 2
	config.Routes = append(config.Routes, other)
	a.snapshot = (&deployment.Snapshot{Config: config.Index(), Servers: testSnapshot(urgent).Servers}).Index()
	a.relay = NewRelay(Relay{AdmitByRoom: true, ProcessEnded: neverEnded, Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: a, Budget: &fakeBudget{left: 1000},
		Source: func() *deployment.Snapshot { return a.snapshot }})
	loads := make(map[string]fleet.Load)
	for id, server := range a.snapshot.Servers {
		loads[id] = fleet.Load{Running: server.Slots}
	}
	a.relay.Fleet.SetRemoteLoad("peer", loads, time.Now().Add(time.Hour))
	return a
}

// serve sends a request and returns its error, and the number of attempts.
func (a *admissionTest) serve(prefix string, change func(*Request)) (failure *verdict.Error, attempts int) {
	a.requests++
	req := testRequest(a.snapshot.Config.Routes[0])
	req.Route = a.snapshot.Config.Route("h", prefix)
	req.ID, req.Model, req.Snapshot = fmt.Sprint("r", a.requests), "m", a.snapshot
	if change != nil {
		change(req)
	}
	before := len(a.calls)
	resp, err := a.relay.Handle(context.Background(), req)
	for err == nil {
		_, err = resp.Events.Next(context.Background())
	}
	return verdict.From(err), len(a.calls) - before
}

var completeStream = step{status: 200, body: "id: 1\ndata: x\n\n"}

// Less urgent requests must be refused as not run, before any attempt and at once, with a time
// to come back; the urgent ones of the same service and the rest of streams are served.
func TestLessUrgentRequestsAreRefused(t *testing.T) {
	a := newAdmissionTest(completeStream)
	refused := 0
	const n = 60
	for range n {
		failure, attempts := a.serve("/other", nil)
		if failure == nil || failure.Code != verdict.CodeNoRoom {
			continue
		}
		refused++
		if status := failure.Status(); failure.Verdict != verdict.NotRun || status != http.StatusServiceUnavailable || failure.RetryAfter <= 0 || attempts != 0 {
			t.Fatalf("%v, verdict %v, status %d, retry after %v, %d attempts", failure, failure.Verdict, status, failure.RetryAfter, attempts)
		}
		if failure, attempts := a.serve("/", nil); attempts != 1 {
			t.Fatalf("urgent request: %v, %d attempts", failure, attempts)
		}
		rest := func(req *Request) { req.Resumes, req.LastEventID = "r1", "1" } // r1 was admitted
		if failure, attempts := a.serve("/other", rest); attempts == 0 {
			t.Fatalf("rest of a stream: %v", failure)
		}
	}
	if refused < n*3/4 || refused == n {
		t.Errorf("%d of %d less urgent requests refused, want nine tenths", refused, n)
	}
}

// What was done for a request must not be lost: neither its further attempts nor the rest of a
// stream that breaks off are refused.
func TestRetriesAreNotRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		step step
	}{
		{"refused by a server", step{status: 503, notRun: true}},
		{"stream broken off", step{status: 200, body: "id: 1\ndata: x\n\n", cut: context.DeadlineExceeded}},
	} {
		t.Run(c.name, func(t *testing.T) {
			steps := make([]step, 0, 80)
			for range 40 {
				steps = append(steps, c.step, completeStream)
			}
			a := newAdmissionTest(steps...)
			served := 0
			for range 40 {
				switch failure, attempts := a.serve("/other", nil); {
				case attempts > 0 && failure != nil && failure.Code == verdict.CodeNoRoom:
					t.Fatalf("refused after %d attempts", attempts)
				case attempts == 2:
					served++
				case attempts != 0:
					t.Fatalf("%d attempts: %v", attempts, failure)
				}
			}
			if served == 0 || served == 40 {
				t.Errorf("%d of 40 requests admitted, want a tenth", served)
			}
		})
	}
}

// TestAdmissionIsOptional guards against refusals in deployments that do not ask for them.
func TestAdmissionIsOptional(t *testing.T) {
	a := newAdmissionTest(completeStream)
	a.relay.AdmitByRoom = false
	for range 20 {
		if failure, _ := a.serve("/other", nil); failure != nil && failure.Code == verdict.CodeNoRoom {
			t.Fatal(failure)
		}
	}
}

// A request that was admitted must not be refused for lack of room when the first server turns out
// to be another process, to which nothing was sent; nor may it count as two offers.
func TestAdmissionIsDecidedOnce(t *testing.T) {
	a := newAdmissionTest(completeStream)
	asked := 0
	for _, server := range a.snapshot.Servers {
		server.Incarnation = 1
	}
	a.relay.Staleness = func() time.Duration { return time.Minute }
	a.relay.Processes = processesFunc(func(server *deployment.Server) int64 {
		if asked++; server.ID == "f" {
			return 1
		}
		return 2
	})
	for range 40 {
		before := asked
		a.relay.processes = newProcessChecks()
		if failure, _ := a.serve("/other", nil); asked > before && failure != nil && failure.Code == verdict.CodeNoRoom {
			t.Fatalf("refused after it was admitted and %d servers were asked", asked-before)
		}
	}
	if asked == 0 {
		t.Error("no request was admitted")
	}
}
