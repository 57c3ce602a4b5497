package follower

import (
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// What other gateways know of a server's last entry stands against an earlier one, whichever of the
// two a gateway learns of first, but not against later entries of the server.
func TestLastEntryThatAnotherGatewayKnows(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(incarnation, sequence int64, draining bool) *deployment.Server {
		return &deployment.Server{ID: "s", Service: "lm", Incarnation: incarnation, Sequence: sequence, Draining: draining}
	}
	told := func(incarnation, sequence int64, removed bool) Retired {
		return Retired{ID: "s", Incarnation: incarnation, Sequence: sequence, Removed: removed, At: now}
	}
	type outcome int
	const (
		absent outcome = iota
		draining
		usable
	)
	for _, c := range []struct {
		name       string
		entry      *deployment.Server
		told       Retired
		entryFirst outcome
		toldFirst  outcome
	}{
		{"earlier entry of a server that leaves", entry(1, 4, false), told(1, 7, false), draining, absent},
		{"earlier entry of a removed server", entry(1, 4, false), told(1, 7, true), absent, absent},
		{"entry of a former process", entry(1, 9, false), told(2, 3, false), draining, absent},
		{"the same entry", entry(1, 7, true), told(1, 7, false), draining, draining},
		{"later entry", entry(1, 8, false), told(1, 7, true), usable, usable},
		{"later process", entry(2, 1, false), told(1, 7, true), usable, usable},
		{"entry without a count", entry(1, 0, false), told(1, 7, true), usable, usable},
		{"unusable incarnation", entry(1, 4, false), told(0, 7, true), usable, usable},
		{"unusable count", entry(1, 4, false), told(1, -1, true), usable, usable},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, entryFirst := range []bool{true, false} {
				st := newState()
				apply := []func(){
					func() { st.applyItem(&Item{Server: c.entry}, now) },
					func() { st.applyRetired([]Retired{c.told}, now) },
				}
				want := c.entryFirst
				if !entryFirst {
					apply[0], apply[1] = apply[1], apply[0]
					want = c.toldFirst
				}
				apply[0]()
				apply[1]()
				got := absent
				if server := st.servers["s"]; server != nil && server.Draining {
					got = draining
				} else if server != nil {
					got = usable
				}
				if got != want {
					t.Errorf("entry first %v: got %v, want %v", entryFirst, got, want)
				}
			}
		})
	}
}

// Gateways are told of a server's last entry for a minute, and of a server that is in use again no
// longer.
func TestLastEntriesAreTold(t *testing.T) {
	now := time.Now()
	f := New(newFakeFeed(), textLayout{}, func(*deployment.Snapshot) {})
	tell := func() []Retired {
		f.publish()
		return f.Retired()
	}
	server := deployment.Server{ID: "s", Incarnation: 1, Sequence: 7, Draining: true}
	f.state.applyServer(&server, now)
	if got := tell(); len(got) != 1 || got[0].Sequence != 7 || got[0].Removed {
		t.Errorf("told %+v of a server that leaves", got)
	}
	f.state.removeServer("s", 0, now.Add(time.Second))
	if got := tell(); len(got) != 1 || !got[0].Removed {
		t.Errorf("told %+v of a removed server", got)
	}
	f.state.removeExpired(now.Add(time.Second + departureTTL))
	if got := tell(); len(got) > 0 {
		t.Errorf("told %+v after a minute", got)
	}
	f.state.removeServer("s", 0, now)
	f.state.applyServer(&deployment.Server{ID: "s", Incarnation: 2, Sequence: 1}, now)
	if got := tell(); len(got) > 0 {
		t.Errorf("told %+v of a server that runs again", got)
	}
}

// A count that has started over is believed, whatever other gateways still tell.
func TestCountThatStartsOverIsNotTakenBack(t *testing.T) {
	now := time.Unix(1000, 0)
	st := newState()
	st.applyItem(&Item{Server: &deployment.Server{ID: "s", Incarnation: 1, Sequence: 7, Draining: true}}, now)
	lower := deployment.Server{ID: "s", Incarnation: 1, Sequence: 1}
	for _, at := range []time.Time{now, now.Add(overtakenTime)} {
		entry := lower
		st.applyItem(&Item{Server: &entry}, at)
	}
	st.applyRetired([]Retired{{ID: "s", Incarnation: 1, Sequence: 7, At: now}}, now.Add(overtakenTime))
	if got := st.servers["s"]; got == nil || got.Draining {
		t.Errorf("got %+v, want the entry whose count started over", got)
	}
}
