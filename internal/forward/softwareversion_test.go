package forward

import (
	"context"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/streamversion"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// versionTest is a relay before servers of two software versions.
type versionTest struct {
	t       *testing.T
	route   deployment.Route
	current *deployment.Snapshot
	shown   atomic.Pointer[deployment.Snapshot] // current, for goroutines of the relay
	backend *fakeBackend
	budget  *fakeBudget
	relay   *Relay
	sentTo  []string // software versions of the calls' servers when they were called
}

// Do records the software version of the server and calls the fake backend.
func (v *versionTest) Do(ctx context.Context, call *backend.Call) (*backend.Response, error) {
	v.sentTo = append(v.sentTo, v.current.Servers[call.ServerID].Software)
	return v.backend.Do(ctx, call)
}

// newVersionTest returns a relay whose servers a, c and e have version v1, and b, d and f v2.
// Its servers perform steps in order.
func newVersionTest(t *testing.T, steps ...step) *versionTest {
	v := &versionTest{t: t, route: testRoute(deployment.Stream, true), backend: &fakeBackend{steps: steps}, budget: &fakeBudget{left: ampleRetries}}
	v.current = testSnapshot(v.route)
	v.relay = NewRelay(Relay{ProcessEnded: neverEnded, Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Backend: v, Budget: v.budget,
		Source: v.shown.Load})
	v.change(func(server *deployment.Server) {
		server.Incarnation = 1
		server.Software = []string{"v1", "v2"}[(server.ID[0]-'a')%2]
	})
	return v
}

// change publishes a snapshot with changed servers.
func (v *versionTest) change(change func(*deployment.Server)) {
	next := &deployment.Snapshot{Position: v.current.Position + 1, Config: v.current.Config, Streams: v.current.Streams, Servers: make(map[string]*deployment.Server)}
	for id, server := range v.current.Servers {
		changed := *server
		change(&changed)
		next.Servers[id] = &changed
	}
	v.current = next.Index()
	v.shown.Store(v.current)
}

// assign assigns all streams to a software version.
func (v *versionTest) assign(version string) {
	v.change(func(*deployment.Server) {})
	v.current.Streams = map[string]*streamversion.Assignment{"s": streamversion.Plan(nil, map[string]int{version: 1}, 0)}
}

// restartUnlisted lets all servers of v1 start again with other software, while the list is out
// of date.
func (v *versionTest) restartUnlisted() {
	v.current.Config.Services[0].Engine = &deployment.Engine{}
	v.relay.Staleness = func() time.Duration { return time.Minute }
	v.relay.Processes = processesFunc(func(server *deployment.Server) int64 {
		if server.Software == "v1" {
			return 2
		}
		return 1
	})
}

type processesFunc func(server *deployment.Server) int64

func (f processesFunc) Incarnation(_ context.Context, server *deployment.Server) (int64, error) {
	return f(server), nil
}

// assignmentsFunc implements Assignments.
type assignmentsFunc func() (*streamversion.Assignment, error)

func (f assignmentsFunc) Read(context.Context, string) (*streamversion.Assignment, platform.Era, error) {
	assignment, err := f()
	return assignment, 0, err
}

// knownOrigin are other gateways that know the version of each stream.
type knownOrigin string

func (k knownOrigin) AskOrigin(context.Context, string, string) (string, bool) {
	return string(k), true
}
func (k knownOrigin) TellOrigin(string, string, string) {}

// A gateway that was out of step while servers of a new software version joined does not tell
// clients that the version of their streams is gone for good, and does not send them to another.
func TestTakeUpOfAVersionThatIsNotKnownYet(t *testing.T) {
	for _, test := range []struct {
		name string
		read func() (*streamversion.Assignment, error)
		gone bool
	}{
		{"the store has it", func() (*streamversion.Assignment, error) {
			return streamversion.Plan(nil, map[string]int{"v1": 1, "v3": 1}, 0), nil
		}, false},
		{"the store does not answer", func() (*streamversion.Assignment, error) { return nil, io.ErrUnexpectedEOF }, false},
		{"it has left", func() (*streamversion.Assignment, error) {
			return streamversion.Plan(nil, map[string]int{"v1": 1, "v2": 1}, 0), nil
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := newVersionTest(t, step{status: 200, body: second})
			v.assign("v1")
			v.relay.Assignments, v.relay.OtherGateways = assignmentsFunc(test.read), knownOrigin("v3")
			_, err := v.begin("r2", "r1")
			if err == nil || err.Verdict != verdict.NotRun || (err.RetryAfter <= 0) != test.gone || len(v.sentTo) > 0 {
				t.Errorf("%+v, sent to servers of %v; refused for good: want %v", err, v.sentTo, test.gone)
			}
		})
	}
}

// unnamed stands for a take-up that does not name what it resumes.
const unnamed = "-"

// begin begins a request. A take-up names the request that it resumes after the first event.
func (v *versionTest) begin(id, resumes string) (*Response, *verdict.Error) {
	req := testRequest(v.route)
	req.ID, req.Route, req.Snapshot = id, &v.route, v.current
	if resumes != "" {
		req.Resumes, req.LastEventID = strings.Trim(resumes, unnamed), "1"
	}
	resp, err := v.relay.Handle(context.Background(), req)
	if err != nil {
		return nil, verdict.From(err)
	}
	return resp, nil
}

// read reads a stream to its end and reports whether it is complete.
func (v *versionTest) read(resp *Response) bool {
	var err error
	for err == nil {
		_, err = resp.Events.Next(context.Background())
	}
	resp.Events.Close()
	return err == io.EOF
}

// A stream goes on only at the software version that began it, in the same request or over
// the client's next ones. If that can't be told, it is refused before it is sent.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	broken := step{status: 200, body: first, cut: io.ErrUnexpectedEOF}
	whole := step{status: 200, body: first + second}
	rest := step{status: 200, body: second}
	drainItsVersion := func(v *versionTest) {
		v.change(func(server *deployment.Server) { server.Draining = server.Software == v.sentTo[0] })
	}
	for _, test := range []struct {
		name  string
		steps []step
		play  func(v *versionTest)
		calls int
	}{
		{"in the same request", []step{broken, rest}, func(v *versionTest) {
			if resp, err := v.begin("r1", ""); err != nil || !v.read(resp) {
				v.t.Errorf("not complete: %v", err)
			}
		}, 2},
		{"in the same request, without another server of its version", []step{broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			drainItsVersion(v)
			if v.read(resp) || v.budget.left != ampleRetries {
				v.t.Errorf("complete, or %d retries left", v.budget.left)
			}
		}, 1},
		{"in the same request, after all servers have started again with other software", []step{broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			v.change(func(server *deployment.Server) { server.Incarnation, server.Software = 2, "v3" })
			if v.read(resp) {
				v.t.Error("complete")
			}
		}, 1},
		{"in the same request, after its server has started again with other software", []step{broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			began := v.backend.calls[0].ServerID
			v.change(func(server *deployment.Server) {
				if server.ID == began {
					server.Incarnation, server.Software = 2, "v2"
				}
			})
			if !v.read(resp) {
				v.t.Error("not complete")
			}
		}, 2},
		{"taken up at the same gateway", []step{broken, broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			v.budget.left = 0
			v.read(resp)
			v.backend.steps = []step{rest}
			for _, id := range []string{"r2", "r3", "r4", "r5", "r6", "r7"} {
				if resp, err := v.begin(id, "r1"); err != nil || !v.read(resp) {
					v.t.Errorf("%s is not complete: %v", id, err)
				}
			}
		}, 7},
		{"taken up after its version has left", []step{broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			drainItsVersion(v)
			v.assign("v2")
			v.read(resp)
			if _, err := v.begin("r2", "r1"); err == nil || err.Verdict != verdict.NotRun || err.RetryAfter > 0 {
				v.t.Errorf("%+v, want a refusal for good", err)
			}
		}, 1},
		{"taken up where it is not known", []step{rest}, func(v *versionTest) {
			if _, err := v.begin("r2", "r1"); err == nil || err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
				v.t.Errorf("%+v, want a refusal for now", err)
			}
		}, 0},
		{"taken up without the name of what it resumes", []step{rest}, func(v *versionTest) {
			if _, err := v.begin("r2", unnamed); err == nil || err.Verdict != verdict.NotRun {
				v.t.Errorf("%+v, want a refusal", err)
			}
		}, 0},
		{"begun again before its first event, after its version has left", []step{{status: 200, body: "", cut: io.ErrUnexpectedEOF}, whole}, func(v *versionTest) {
			v.assign("v2")
			if resp, err := v.begin("r1", ""); err != nil || !v.read(resp) {
				v.t.Errorf("not complete: %v", err)
			}
		}, 2},
		{"begun where no server of its version is left", []step{whole}, func(v *versionTest) {
			v.assign("v3")
			if _, err := v.begin("r1", ""); err == nil || err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
				v.t.Errorf("%+v, want a refusal for now", err)
			}
		}, 0},
		{"begun while what is assigned may be out of date", []step{whole}, func(v *versionTest) {
			v.assign("v1")
			v.relay.Outdated = func() bool { return true }
			if _, err := v.begin("r1", ""); err == nil || err.Verdict != verdict.NotRun || err.RetryAfter <= 0 {
				v.t.Errorf("%+v, want a refusal for now", err)
			}
		}, 0},
		{"begun at a server that says it is another process, while the list may be out of date", []step{whole}, func(v *versionTest) {
			v.restartUnlisted()
			if resp, err := v.begin("r1", ""); err != nil || !v.read(resp) {
				v.t.Errorf("not complete: %v", err)
			}
			if v.sentTo[0] != "v2" {
				v.t.Errorf("sent to a server that is listed with %s", v.sentTo[0])
			}
		}, 1},
		{"taken up while all servers of its version are other processes, unlisted", []step{broken, rest}, func(v *versionTest) {
			resp, err := v.begin("r1", "")
			if err != nil {
				v.t.Fatal(err)
			}
			v.restartUnlisted()
			v.read(resp)
			if _, err := v.begin("r2", "r1"); err == nil || err.Verdict != verdict.NotRun {
				v.t.Errorf("%+v, want a refusal", err)
			}
		}, 1},
		{"begun where no version is assigned", []step{whole}, func(v *versionTest) {
			if resp, err := v.begin("r1", ""); err != nil || !v.read(resp) {
				v.t.Errorf("not complete: %v", err)
			}
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := newVersionTest(t, test.steps...)
			test.play(v)
			for _, version := range v.sentTo {
				if version != v.sentTo[0] {
					t.Errorf("sent to servers of %s and of %s", v.sentTo[0], version)
				}
			}
			if len(v.backend.calls) != test.calls {
				t.Errorf("%d calls, want %d", len(v.backend.calls), test.calls)
			}
		})
	}
}
