package quarantine

import (
	"fmt"
	"testing"
	"time"
)

func lookup(body string) Part { return RequestOf("desk", "GET", "/lookup/1", "north", []byte(body)) }

// A request is told from others by each of its traits, and from parts of prompts.
func TestRequestOf(t *testing.T) {
	same := lookup("a")
	if same != lookup("a") || !same.IsRequest() || PartOf("desk", "a").IsRequest() {
		t.Error("the same request has another part, or looks like a part of a prompt")
	}
	for name, other := range map[string]Part{
		"service": RequestOf("jobs", "GET", "/lookup/1", "north", []byte("a")),
		"method":  RequestOf("desk", "PUT", "/lookup/1", "north", []byte("a")),
		"target":  RequestOf("desk", "GET", "/lookup/1?x", "north", []byte("a")),
		"caller":  RequestOf("desk", "GET", "/lookup/1", "south", []byte("a")),
		"body":    lookup("b"),
		"shifted": RequestOf("desk", "GET", "/lookup/1", "north"+"\x00a", nil),
	} {
		if other == same {
			t.Errorf("a request with another %s is the same", name)
		}
	}
}

// Repeats that were sent together count each, but not those of a request that has succeeded
// lately: it is at several servers when these end together.
func TestRepeatsSentTogether(t *testing.T) {
	for _, c := range []struct {
		name      string
		succeeded time.Duration // before the crashes; 0: never
		held      bool
	}{
		{"that never succeeded", 0, true},
		{"of a sound request", 5 * time.Second, false},
		{"of a request that succeeded long ago", 3 * provenTime, true},
	} {
		one, other := New(func(Part, int64) bool { return false }), New(func(Part, int64) bool { return false })
		now := second(1000)
		if c.succeeded > 0 {
			one.RecordSuccess([]Part{lookup("a")}, now.Add(-c.succeeded))
		}
		for i := range 3 {
			ended := now.Add(time.Duration(i) * 10 * time.Millisecond)
			one.RecordCrash(Crash{Server: fmt.Sprint("s", i), Sent: now.Add(-time.Second), Ended: ended, Parts: []Part{lookup("a")}}, ended)
		}
		now = now.Add(time.Second)
		other.Merge(one.News(0, now), now) // a process that saw none of it comes to the same finding
		for name, q := range map[string]*Quarantine{"this process": one, "another": other} {
			if d := q.Check([]Part{lookup("a")}, now); d.Held != c.held {
				t.Errorf("a request %s, at %s: held %v, want %v", c.name, name, d.Held, c.held)
			}
			if d := q.Check([]Part{lookup("b")}, now); d.Held {
				t.Errorf("another request of the caller is held back at %s", name)
			}
		}
	}
}

// Sound requests, many of them alike, are at servers that end together, one after the other
// and again and again, for reasons of their own. None is blamed.
func TestOrdinaryEndsBlameNoRequest(t *testing.T) {
	q := New(func(Part, int64) bool { return false })
	now := second(0)
	for round := range 200 {
		q.RecordSuccess([]Part{lookup("popular")}, now)
		q.RecordSuccess([]Part{lookup("often")}, now)
		for i := range 3 {
			server := fmt.Sprintf("s%d@%d", i, round)
			ended := now.Add(time.Duration(100+i*(round%2)) * time.Millisecond)
			for _, body := range []string{"popular", "often", fmt.Sprint("new ", round, i)} {
				q.RecordCrash(Crash{Server: server, Sent: now.Add(50 * time.Millisecond), Ended: ended, Parts: []Part{lookup(body)}}, ended)
			}
		}
		now = now.Add(time.Second)
		for _, body := range []string{"popular", "often", "fresh"} {
			if d := q.Check([]Part{lookup(body)}, now); d.Held || d.Probe {
				t.Fatalf("round %d: %q is blamed: %+v", round, body, d)
			}
		}
	}
}

// Memory of successes is bounded while ever new requests succeed.
func TestProvenIsBounded(t *testing.T) {
	q := New(nil)
	for i := range 100_000 {
		q.RecordSuccess([]Part{lookup(fmt.Sprint(i))}, second(float64(i)/10_000))
	}
	if n := len(q.proven.current) + len(q.proven.former); n > maxProven {
		t.Errorf("%d successes are remembered, want at most %d", n, maxProven)
	}
}
