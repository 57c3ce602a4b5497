package follower

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// A server that has said that it leaves gets no new requests for as long as it lives: whatever
// the store lists, after an outage or a restore, and if it is listed again after a removal.
func TestServerThatLeavesStaysLeaving(t *testing.T) {
	runFollower(t, func(f *fakeFeed, follower *Follower) {
		check := func(when string) {
			t.Helper()
			if s := follower.Snapshot().Servers["a"]; s == nil || !s.Draining || s.LeavingSince.IsZero() {
				t.Errorf("%s: server %+v, want one that leaves", when, s)
			}
		}
		follower.ReportLeaving(Leaving{ID: "a"}, "r1")
		synctest.Wait()
		check("at once")
		f.put("servers/a", "server lm 10.0.0.1:80")
		time.Sleep(inForceWithin)
		check("listed as ready")
		f.set(func() { f.down = true })
		time.Sleep(6 * time.Second)
		check("in an outage")
		f.set(func() { f.down = false })
		time.Sleep(time.Second)
		check("after an outage")
		f.remove("servers/a")
		time.Sleep(time.Minute)
		f.put("servers/a", "server lm 10.0.0.1:80")
		time.Sleep(inForceWithin)
		check("listed again")
		if follower.Snapshot().Servers["b"] != nil || len(follower.LeavingServers()) != 1 {
			t.Errorf("servers %v, leaving %v", follower.Snapshot().Servers, follower.LeavingServers())
		}
	})
}

// Another process of the server, or another server at its address, does not leave.
func TestOnlyTheProcessLeaves(t *testing.T) {
	st := newState()
	now := time.Unix(1000, 0)
	st.leaving.add(Leaving{"a", 1}, now)
	for _, test := range []struct {
		server  deployment.Server
		leaving bool
	}{
		{deployment.Server{ID: "a", Incarnation: 1, Address: "x"}, true},
		{deployment.Server{ID: "a", Incarnation: 2, Address: "x"}, false},
		{deployment.Server{ID: "b", Incarnation: 1, Address: "x"}, false},
	} {
		st.applyServer(&test.server, now)
		if got := st.servers[test.server.ID].Draining; got != test.leaving {
			t.Errorf("%+v leaves: %v", test.server, got)
		}
	}
}

// What is known of servers that leave is bounded, and ends after them.
func TestLeavingServersAreBounded(t *testing.T) {
	l, now := newLeavingServers(), time.Unix(1000, 0)
	for i := range maxLeaving + 100 {
		l.add(Leaving{fmt.Sprint("s", i), int64(i)}, now)
	}
	if len(l.notes) != maxLeaving {
		t.Errorf("%d servers", len(l.notes))
	}
	listed := map[string]*deployment.Server{"s1": {ID: "s1", Incarnation: 1}}
	l.prune(listed, now.Add(leavingTTL))
	l.prune(listed, now.Add(leavingTTL+time.Second))
	if len(l.notes) != 1 {
		t.Errorf("%d servers long after the others were removed", len(l.notes))
	}
	if l.add(Leaving{ID: ""}, now) || l.add(Leaving{ID: string(make([]byte, maxLeavingID+1))}, now) {
		t.Error("a server with an unusable id leaves")
	}
	f := New(newFakeFeed(), textLayout{}, func(*deployment.Snapshot) {})
	for i := range 2 * maxLeavingTold {
		id := fmt.Sprint("s", i)
		f.ReportLeaving(Leaving{ID: id}, "r")
		f.state.applyServer(&deployment.Server{ID: id}, now)
	}
	f.state.removeExpired(time.Now())
	if told := len(f.LeavingServers()); told != maxLeavingTold {
		t.Errorf("%d servers are told to other gateways, want %d", told, maxLeavingTold)
	}
}
