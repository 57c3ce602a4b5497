package quarantine

import (
	"testing"
	"time"
)

// A process whose time of day is ahead of that of the one that saved the findings knows them
// too: the step of a clock does not let a request that crashes servers go on.
func TestSavedFindingsOutlastAClockStep(t *testing.T) {
	for _, ahead := range []time.Duration{time.Minute, time.Hour} {
		q := New(nil)
		apply(q, []step{
			{server: "s0", parts: "P", at: 1}, {server: "s1", parts: "P", sent: 1, at: 2}, {server: "s2", parts: "P", sent: 2, at: 3},
		})
		text, _, err := q.Save(second(4))
		if err != nil {
			t.Fatal(err)
		}
		later := New(nil)
		now := second(10).Add(ahead)
		if _, err := later.Restore(text, now); err != nil {
			t.Fatal(err)
		}
		if !later.Blames() {
			t.Errorf("%v ahead: nothing is blamed", ahead)
		}
		if d := later.Check(partsOf("P"), now); !d.Held {
			t.Errorf("%v ahead: the request is sent at once: %+v", ahead, d)
		}
	}
}
