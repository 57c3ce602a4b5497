package serveraccess

import (
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
)

var start = time.Unix(1_000_000, 0)

type fixture struct {
	*Access
	snapshot *deployment.Snapshot
	left     []string
}

func newFixture(servers ...*deployment.Server) *fixture {
	f := &fixture{}
	f.list(servers...)
	f.Access = New(Options{
		Source: func() *deployment.Snapshot { return f.snapshot }, Fleet: fleet.New(), Limits: serverlimit.New("g"), Backoffs: serverbackoff.New(),
		OnLeaving: func(server *deployment.Server, requestID string) { f.left = append(f.left, server.ID+" "+requestID) },
	})
	return f
}

func (f *fixture) list(servers ...*deployment.Server) {
	snapshot := &deployment.Snapshot{Servers: make(map[string]*deployment.Server)}
	for _, server := range servers {
		snapshot.Servers[server.ID] = server
	}
	f.snapshot = snapshot.Index()
}

func testServer(id string) *deployment.Server {
	return &deployment.Server{ID: id, Service: "s", Address: id + ":1", Incarnation: 1}
}

// What is known of a server decides at the moment of sending, not what was known when the
// request was placed.
func TestDecisions(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(f *fixture, server *deployment.Server)
		call   Reason // of an order or a fetch
		send   Reason // of a request
	}{
		{"sound", func(*fixture, *deployment.Server) {}, Allowed, Allowed},
		{"removed", func(f *fixture, _ *deployment.Server) { f.list() }, Gone, Gone},
		{"another process", func(f *fixture, _ *deployment.Server) {
			next := testServer("a")
			next.Incarnation = 2
			f.list(next)
		}, Gone, Gone},
		{"leaves", func(f *fixture, _ *deployment.Server) {
			next := testServer("a")
			next.Draining = true
			f.list(next)
		}, Leaving, Leaving},
		{"wants nothing", func(f *fixture, s *deployment.Server) {
			f.Observe(s, "r", &backend.Description{Refused: true, Asked: serverbackoff.Asked{Wait: time.Second}}, start, start)
		}, Paused, Paused},
		{"refuses without a time", func(f *fixture, s *deployment.Server) {
			f.Observe(s, "r", &backend.Description{Refused: true}, start, start)
		}, Allowed, Allowed},
		{"limited", func(f *fixture, s *deployment.Server) {
			f.Observe(s, "r", &backend.Description{Signed: true, Limit: backend.Limit{Named: true, PerSecond: 0.1}}, start, start)
		}, Allowed, Limited},
	} {
		server := testServer("a")
		f := newFixture(server)
		test.change(f, server)
		if got := f.Check(server, start).Reason; got != test.call {
			t.Errorf("%s: a call is decided %q, want %q", test.name, got, test.call)
		}
		if _, got := f.Begin(server, start); got.Reason != test.send {
			t.Errorf("%s: a request is decided %q, want %q", test.name, got.Reason, test.send)
		}
	}
}

// The view of a service says of each server why it may not be used, and when the first may.
func TestView(t *testing.T) {
	f := newFixture(testServer("a"), testServer("b"), testServer("c"))
	f.Observe(f.snapshot.Servers["a"], "r", &backend.Description{Refused: true, Asked: serverbackoff.Asked{Wait: 3 * time.Second}}, start, start)
	f.Observe(f.snapshot.Servers["b"], "r", &backend.Description{Refused: true}, start, start)
	view, wait := f.View(f.snapshot, "s", "", start.Add(100*time.Millisecond))
	if !view[0].Paused || view[1].Paused || !view[1].Refusing || view[2].Paused || view[2].Refusing || wait != 2900*time.Millisecond {
		t.Errorf("view %+v, wait %v", view, wait)
	}
}

// The head of an answer counts for the process that it comes from only.
func TestObserveAnotherProcess(t *testing.T) {
	f := newFixture(testServer("a"))
	server := f.snapshot.Servers["a"]
	f.Observe(server, "r1", &backend.Description{ServerID: "b", Leaving: true, Refused: true, Asked: serverbackoff.Asked{Wait: time.Hour}}, start, start)
	if len(f.left) != 0 || f.Check(server, start).Reason != Allowed {
		t.Errorf("left %v, decision %+v", f.left, f.Check(server, start))
	}
	f.Observe(server, "r2", &backend.Description{ServerID: "a", Leaving: true}, start, start)
	f.Observe(server, "r3", &backend.Description{Leaving: true, NotRun: true}, start, start)
	if len(f.left) != 2 || f.left[0] != "a r2" {
		t.Errorf("left %v", f.left)
	}
}
