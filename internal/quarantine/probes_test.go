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
				gateway.EndProbe(decision.Part, ProbeBroke, r.now)
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

// blameRequest records three crashes under a request, the last at the third second.
func blameRequest(q *Quarantine, request []Part) {
	for i := range minCrashes {
		at := second(float64(i + 1))
		q.RecordCrash(Crash{Server: fmt.Sprint("s", i), Sent: at, Ended: at, Stage: Beginning, Parts: request}, at)
	}
}

// A probe that ended its server puts off the next one, also if the server had got further with
// other requests.
func TestProbeLostBesideYoungStreams(t *testing.T) {
	q := New(nil)
	request := []Part{RequestOf("s", "POST", "/x", "caller", nil)}
	blameRequest(q, request)
	at := second(3).Add(firstHold)
	if d := q.Check(request, at); !d.Probe {
		t.Fatalf("no probe: %+v", d)
	}
	q.RecordCrash(Crash{Server: "p", Sent: at, Ended: at.Add(time.Millisecond), Stage: Beginning, Parts: []Part{RequestOf("s", "POST", "/sound", "caller", nil)}}, at.Add(time.Second))
	q.RecordCrash(Crash{Server: "p", Sent: at, Ended: at.Add(time.Millisecond), Stage: Waiting, Parts: request}, at.Add(time.Second))
	for _, later := range []time.Duration{2 * time.Second, time.Minute, 10 * time.Minute} {
		if d := q.Check(request, at.Add(later)); !d.Held {
			t.Errorf("%v after a probe that ended its server another one is sent", later)
		}
	}
}

// What a request is blamed for is remembered beside many other crashes, and until the blame ends.
func TestBlameBesideManyCrashes(t *testing.T) {
	q := New(nil)
	request := []Part{RequestOf("s", "POST", "/x", "caller", nil)}
	blameRequest(q, request)
	at := second(3).Add(firstHold)
	q.RecordCrash(Crash{Server: "p", Sent: at, Ended: at, Stage: Beginning, Parts: request}, at)
	for i := range 2 * maxCrashes {
		at = at.Add(time.Second)
		q.RecordCrash(Crash{Server: fmt.Sprint("t", i), Sent: at, Ended: at, Parts: []Part{RequestOf("s", "GET", fmt.Sprint(i), "caller", nil)}}, at)
	}
	other := New(nil)
	other.Merge(q.News(0, at), at)
	for name, q := range map[string]*Quarantine{"the process": q, "another process": other} {
		if d := q.Check(request, at); !d.Held {
			t.Errorf("%s has forgotten the blame", name)
		}
	}
	if len(q.crashes) > maxCrashes {
		t.Errorf("%d crashes are remembered", len(q.crashes))
	}
	q.Check(request, at.Add(forgetBlameAfter))
	if left := q.Len() + len(q.crashes); left > 0 {
		t.Errorf("%d parts and crashes are left long after the last crash", left)
	}
}
