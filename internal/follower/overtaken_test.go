package follower

import (
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// A write of a server that the store executes late, after later ones of the same server, does not
// make a draining server ready again, nor bring back one that has left. A server that starts
// again, or whose count starts over, is not mistaken for that.
func TestLateWriteMakesADrainingServerReady(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(incarnation, sequence int64, draining bool) *deployment.Server {
		return &deployment.Server{ID: "s", Service: "lm", Incarnation: incarnation, Sequence: sequence, Draining: draining}
	}
	for _, c := range []struct {
		name     string
		known    *deployment.Server
		gone     bool // it was removed since
		late     *deployment.Server
		listed   bool
		draining bool
	}{
		{"late write", entry(1, 7, true), false, entry(1, 4, false), true, true},
		{"late write of a former process", entry(2, 1, true), false, entry(1, 9, false), true, true},
		{"late write of a server that has left", entry(1, 7, true), true, entry(1, 4, false), false, false},
		{"next write", entry(1, 7, false), false, entry(1, 8, true), true, true},
		{"the same write", entry(1, 7, false), false, entry(1, 7, true), true, true},
		{"started again", entry(1, 7, true), false, entry(2, 1, false), true, false},
		{"started again after it had left", entry(1, 7, true), true, entry(2, 1, false), true, false},
		{"listed again after an outage", entry(1, 7, false), true, entry(1, 8, false), true, false},
		{"no incarnation", entry(0, 7, true), false, entry(0, 4, false), true, false},
		{"no count", entry(1, 7, true), false, entry(1, 0, false), true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			st := newState()
			st.applyItem(&Item{Server: c.known}, now)
			if c.gone {
				st.removeServer("s", 0, now)
			}
			at := now.Add(time.Second)
			st.applyItem(&Item{Server: c.late}, at)
			got := st.servers["s"]
			if (got != nil) != c.listed || got != nil && got.Draining != c.draining {
				t.Errorf("got %+v, want listed %v, draining %v", got, c.listed, c.draining)
			}
			again := *c.late
			st.applyItem(&Item{Server: &again}, at.Add(overtakenTime))
			if got := st.servers["s"]; got == nil || got.Draining != c.late.Draining {
				t.Errorf("after %v of such entries: %+v", overtakenTime, got)
			}
			st.removeExpired(at.Add(2 * departureTTL))
			if len(st.overtaken) > 0 {
				t.Error("late writes are not forgotten")
			}
		})
	}
}

// A late write of the operators does not bring an older version back.
func TestLateWriteOfTheOperators(t *testing.T) {
	st := newState()
	now := time.Unix(1000, 0)
	for _, version := range []uint64{7, 5} {
		st.applyItem(&Item{Config: (&deployment.Config{Version: version}).Index()}, now)
		st.applyItem(&Item{Weights: Weights{Model: "m", Version: version}}, now)
	}
	if st.config.Version != 7 || st.weights["m"].Version != 7 {
		t.Errorf("configuration %d, weights %d", st.config.Version, st.weights["m"].Version)
	}
}
