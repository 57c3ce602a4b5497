package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// A request that comes each second for a day, at any of five gateways, and crashes each server
// that answers it, reaches few of them once it is blamed.
func TestProbesOfADay(t *testing.T) {
	r := newReplay(1, 5, 0)
	request := []Part{RequestOf("s", "POST", "/x", "caller", []byte("body"))}
	var ends []time.Time
	for range 24 * 60 * 60 {
		gateway := r.gateways[r.random.IntN(len(r.gateways))]
		if decision := gateway.Check(request, r.now); !decision.Held {
			if decision.Probe {
				gateway.EndProbe(decision.Part, r.now)
			}
			gateway.RecordCrash(Crash{Server: fmt.Sprint("s", len(ends)), Sent: r.now, Ended: r.now.Add(20 * time.Millisecond), Parts: request}, r.now.Add(100*time.Millisecond))
			ends = append(ends, r.now)
		}
		for range 40 {
			r.now = r.now.Add(time.Second / 40)
			r.exchange()
		}
	}
	late := 0
	for _, at := range ends {
		if at.After(ends[2].Add(contactTime)) {
			late++
		}
	}
	t.Logf("%d servers ended, %d late", len(ends), late)
	if late > maxLate {
		t.Errorf("%d servers ended, %d of them later than %v after the third; allowed %d", len(ends), late, contactTime, maxLate)
	}
}
