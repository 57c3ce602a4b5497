package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Of two requests that were lost at the same servers, one may be sound. It is sent once, and again
// once that has succeeded; if it crashes a server as well, it is held back.
func TestTwoRequestsThatCrashTheSameServers(t *testing.T) {
	one, two := []Part{lookup("one")}, []Part{lookup("two")}
	for _, sound := range []bool{false, true} {
		t.Run(fmt.Sprint("sound ", sound), func(t *testing.T) {
			q := New(nil)
			for i := range 4 {
				at := second(float64(i))
				for _, parts := range [][]Part{one, two} {
					q.RecordCrash(Crash{Server: fmt.Sprint("s", i), Sent: at, Ended: at.Add(time.Millisecond), Parts: parts}, at)
				}
			}
			at := second(4)
			var sent []Part
			for range 5 {
				for _, parts := range [][]Part{one, two} {
					if d := q.Check(parts, at); !d.Held {
						sent = append(sent, parts[0])
					}
				}
			}
			if len(sent) != 1 {
				t.Fatalf("%d of 10 requests were sent at once, want one", len(sent))
			}
			at = at.Add(50 * time.Millisecond)
			if sound {
				q.RecordSuccess(sent, at)
			} else {
				q.RecordCrash(Crash{Server: "p", Sent: second(4), Ended: at, Parts: sent}, at)
			}
			at = at.Add(time.Second)
			if held := q.Check(sent, at).Held; held == sound {
				t.Errorf("after the outcome the request is held back: %v", held)
			}
		})
	}
}

// A request that ends servers before they respond, beside streams, and is sent again at once is
// blamed, whoever saw the ends: news of them takes a while.
func TestEndsThatOthersSawAreInTurn(t *testing.T) {
	parts := []Part{lookup("one")}
	gateways := []*Quarantine{New(nil), New(nil)}
	at := second(1)
	for i := range 4 {
		server := fmt.Sprint("s", i)
		saw, other := gateways[i%2], gateways[1-i%2]
		ended := at.Add(10 * time.Millisecond)
		saw.RecordCrash(Crash{Server: server, Sent: at, Ended: ended, Parts: parts}, ended)
		saw.RecordCrash(Crash{Server: server, Sent: at, Ended: ended, Stage: Streaming, Parts: []Part{lookup(fmt.Sprint("sound", i))}}, ended)
		other.Merge(saw.News(other.Digest(), ended), ended.Add(5*time.Millisecond))
		at = ended.Add(time.Millisecond)
	}
	for i, q := range gateways {
		if !q.Check(parts, at.Add(time.Second)).Held {
			t.Errorf("gateway %d does not hold the request back", i)
		}
	}
}

// Two requests that crash servers share a part of their prompt with sound ones, which is blamed
// while no server is left. That a probe of one of them ends a server does not put off the probe
// of the part.
func TestSharedPartOfRequestsThatAreBlamed(t *testing.T) {
	q := New(nil)
	shared := PartOf("s", "system")
	requests := [][]Part{{shared, lookup("one")}, {shared, lookup("two")}}
	at := second(0)
	for i := range 8 {
		at = at.Add(10 * time.Millisecond)
		q.RecordCrash(Crash{Server: fmt.Sprint("s", i), Sent: at.Add(-time.Millisecond), Ended: at, Stage: Beginning, Parts: requests[i%2]}, at)
	}
	sound := []Part{shared, lookup("sound")}
	if !q.Check(sound, at.Add(time.Second)).Held {
		t.Fatal("the shared part is not blamed")
	}
	at = at.Add(firstHold)
	if d := q.Check(requests[0], at); !d.Probe {
		t.Fatalf("no probe: %+v", d)
	}
	q.RecordCrash(Crash{Server: "p", Sent: at, Ended: at.Add(10 * time.Millisecond), Stage: Beginning, Parts: requests[0]}, at.Add(time.Second))
	at = at.Add(2 * probeTime)
	if d := q.Check(sound, at); d.Held {
		t.Errorf("the sound request is held back for another %v", d.RetryAfter)
	}
	if d := q.Check(requests[0], at); !d.Held {
		t.Error("the request that ended a server again is sent")
	}
}
