package quarantine

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var start = time.Unix(1_000_000, 0)

func second(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }

// step is a crash (server is set) or a success.
type step struct {
	server, parts string
	sent, at      float64 // seconds
	stage         Stage
}

func apply(q *Quarantine, steps []step) {
	for _, s := range steps {
		if s.server == "" {
			q.RecordSuccess(partsOf(s.parts), second(s.at))
			continue
		}
		q.RecordCrash(Crash{Server: s.server, Sent: second(s.sent), Ended: second(s.at), Stage: s.stage, Parts: partsOf(s.parts)}, second(s.at))
	}
}

func TestWhoIsBlamed(t *testing.T) {
	three := func(parts ...string) []step {
		var steps []step
		for i, p := range parts {
			steps = append(steps, step{server: fmt.Sprint("s", i), parts: p, sent: float64(i) + 0.1, at: float64(i) + 0.5, stage: Beginning})
		}
		return steps
	}
	for _, c := range []struct {
		name  string
		steps []step
		held  []string
		sent  []string
	}{
		{"two crashes are too few", three("AP", "BP"), nil, []string{"AP", "BP", "P"}},
		{"the part that all have", three("AP", "BP", "CP"), []string{"P", "AP", "DPE"}, []string{"A", "B", "AB", "ABC"}},
		{"parts that come together hold back only together", three("AP", "AP", "AP"), []string{"AP", "APB", "PA"}, []string{"A", "P", "AB"}},
		{"a success excludes the other part", append(three("AP", "AP", "AP"), step{parts: "AB", at: 3}), []string{"AP", "P", "BP"}, []string{"A", "AB"}},
		{"a success in between", append(three("AP", "BP"), step{parts: "P", at: 2}, step{server: "s9", parts: "CP", sent: 2.5, at: 3, stage: Beginning}), nil, []string{"P", "CP"}},
		{"servers that end together count once", []step{
			{server: "s0", parts: "AP", sent: 0, at: 1, stage: Beginning}, {server: "s1", parts: "BP", sent: 0.1, at: 1, stage: Beginning},
			{server: "s2", parts: "CP", sent: 0.2, at: 1.01, stage: Beginning}, {server: "s3", parts: "P", sent: 0.3, at: 1.02, stage: Beginning},
		}, nil, []string{"P", "AP"}},
		{"the same server counts once", []step{
			{server: "s0", parts: "AP", sent: 0, at: 1}, {server: "s0", parts: "BP", sent: 0, at: 1}, {server: "s0", parts: "CP", sent: 0, at: 1}, {server: "s1", parts: "P", sent: 2, at: 3},
		}, nil, []string{"P"}},
		{"without responses", []step{
			{server: "s0", parts: "AP", sent: 0, at: 1}, {server: "s1", parts: "BP", sent: 1, at: 2}, {server: "s2", parts: "P", sent: 2, at: 3},
		}, []string{"P", "AP"}, []string{"A", "B"}},
		{"a begun response explains the waiting requests", []step{
			{server: "s0", parts: "W", sent: 0, at: 1}, {server: "s0", parts: "P", sent: 0, at: 1, stage: Beginning},
			{server: "s1", parts: "W", sent: 1, at: 2}, {server: "s1", parts: "P", sent: 1, at: 2, stage: Beginning},
			{server: "s2", parts: "W", sent: 2, at: 3}, {server: "s2", parts: "P", sent: 2, at: 3, stage: Beginning},
		}, []string{"P"}, []string{"W"}},
		{"no shared parts", three("", "", ""), nil, []string{""}},
	} {
		q := New(func(Part, int64) bool { return false })
		apply(q, c.steps)
		for _, parts := range c.held {
			if d := q.Check(partsOf(parts), second(4)); !d.Held || d.RetryAfter <= 0 {
				t.Errorf("%s: %q is not held back: %+v", c.name, parts, d)
			}
		}
		for _, parts := range c.sent {
			if d := q.Check(partsOf(parts), second(4)); d.Held || d.Probe {
				t.Errorf("%s: %q: %+v", c.name, parts, d)
			}
		}
	}
}

// A request that crashes servers on which many others wait is blamed also if the process
// learns of it last, and if the request goes to another gateway each time.
func TestRequestLostBesideMany(t *testing.T) {
	deadly := RequestOf("s", "POST", "/", "c", []byte("deadly"))
	const neighbors = maxOwnPerServer - 1
	for gateways := 1; gateways <= 3; gateways++ {
		all := make([]*Quarantine, gateways)
		for i := range all {
			all[i] = New(func(Part, int64) bool { return false })
		}
		sends := 0
		for ; sends < 60 && !all[sends%gateways].Check([]Part{deadly}, second(float64(sends+1))).Held; sends++ {
			at := float64(sends + 1)
			for i := range neighbors + 1 {
				part := RequestOf("s", "POST", "/", "c", []byte(fmt.Sprint(sends, i)))
				if i == neighbors {
					part = deadly
				}
				q := all[(sends+neighbors-i)%gateways]
				q.RecordCrash(Crash{Server: fmt.Sprint("i", sends), Sent: second(at - 0.1), Ended: second(at), Parts: []Part{part}}, second(at))
			}
			for range 8 {
				for _, from := range all {
					for _, to := range all {
						if from != to {
							to.Merge(from.News(to.Digest(), second(at)), second(at+0.1))
						}
					}
				}
			}
		}
		if sends > minCrashes+1 {
			t.Errorf("%d gateways: sent %d times", gateways, sends)
		}
	}
}

// A request, or a part of prompts, that ends servers before they respond is blamed also if a
// young stream of another request is lost with it each time.
func TestEndsBesideYoungStreams(t *testing.T) {
	for _, c := range []struct {
		part Part
		ends int
	}{{RequestOf("s", "POST", "/", "c", []byte("deadly")), minWaitingRequests}, {PartOf("s", "deadly"), minWaitingCrashes}} {
		q := New(func(Part, int64) bool { return false })
		for i := range c.ends {
			at := float64(i + 1)
			if d := q.Check([]Part{c.part}, second(at)); d.Held {
				t.Errorf("held back after %d ends", i)
			}
			server := fmt.Sprint("i", i)
			q.RecordCrash(Crash{Server: server, Sent: second(at - 0.4), Ended: second(at), Stage: Streaming, Parts: partsOf(string(rune('A' + i)))}, second(at))
			q.RecordCrash(Crash{Server: server, Sent: second(at - 0.1), Ended: second(at), Parts: []Part{c.part}}, second(at))
		}
		if d := q.Check([]Part{c.part}, second(10)); !d.Held {
			t.Errorf("not held back after %d ends", c.ends)
		}
	}
}

// Probes come one at a time, each after twice the time of the one before.
func TestProbes(t *testing.T) {
	q := New(nil)
	apply(q, []step{
		{server: "s0", parts: "P", at: 1}, {server: "s1", parts: "P", sent: 1, at: 2}, {server: "s2", parts: "P", sent: 2, at: 3},
	})
	at, wait := second(3), firstHold
	for i := range 8 {
		if d := q.Check(partsOf("P"), at.Add(wait-time.Millisecond)); !d.Held {
			t.Fatalf("probe %d comes before %v", i, wait)
		}
		at = at.Add(wait)
		if d := q.Check(partsOf("P"), at); !d.Probe {
			t.Fatalf("probe %d does not come after %v: %+v", i, wait, d)
		}
		if d := q.Check(partsOf("P"), at); !d.Held {
			t.Fatalf("a second probe beside probe %d", i)
		}
		q.EndProbe(PartOf("service", "P"), ProbeBroke, at)
		q.RecordCrash(Crash{Server: fmt.Sprint("p", i), Sent: at, Ended: at, Parts: partsOf("P")}, at)
		wait = min(holdFactor*wait, maxHold)
	}
	q.RecordSuccess(partsOf("P"), at.Add(time.Second))
	if d := q.Check(partsOf("P"), at.Add(time.Second)); d.Held || q.Len() != 0 {
		t.Errorf("after a success: %+v, %d parts blamed", d, q.Len())
	}
}

// A probe that the server refused allows another one soon, and one whose connection broke later.
func TestProbeWithoutOutcome(t *testing.T) {
	q := New(nil)
	apply(q, []step{
		{server: "s0", parts: "P", at: 1}, {server: "s1", parts: "P", sent: 1, at: 2}, {server: "s2", parts: "P", sent: 2, at: 3},
	})
	at := second(3).Add(firstHold)
	if d := q.Check(partsOf("P"), at); !d.Probe {
		t.Fatalf("no probe: %+v", d)
	}
	q.EndProbe(PartOf("service", "P"), ProbeUnsent, at)
	at = at.Add(probePause)
	if d := q.Check(partsOf("P"), at); !d.Probe {
		t.Errorf("no other probe after %v: %+v", probePause, d)
	}
	q.EndProbe(PartOf("service", "P"), ProbeBroke, at)
	if d := q.Check(partsOf("P"), at.Add(brokenProbePause-time.Millisecond)); !d.Held {
		t.Errorf("a probe within %v after one that broke: %+v", brokenProbePause, d)
	}
	if d := q.Check(partsOf("P"), at.Add(brokenProbePause)); !d.Probe {
		t.Errorf("no probe %v after one that broke: %+v", brokenProbePause, d)
	}
}

// What is remembered and told stays bounded, whatever ends, and is forgotten in time.
func TestMemoryIsBounded(t *testing.T) {
	q := New(nil)
	for i := range 20_000 {
		parts := make([]Part, 100)
		for j := range parts {
			parts[j] = Part(i*7919 + j)
		}
		q.RecordCrash(Crash{Server: fmt.Sprint("s", i/20), Sent: start, Ended: second(float64(i) / 1000), Parts: parts}, second(float64(i)/1000))
		q.RecordSuccess(parts, second(float64(i)/1000))
	}
	if len(q.crashes) > maxCrashes || len(q.known) > maxCrashes || len(q.servers) > maxCrashes || len(q.rumors) > maxRumors ||
		len(q.byPart) > maxCrashes*MaxParts || len(q.success) > len(q.byPart) {
		t.Errorf("%d crashes, %d known, %d servers, %d rumors, %d parts, %d successes", len(q.crashes), len(q.known), len(q.servers), len(q.rumors), len(q.byPart), len(q.success))
	}
	if news := q.News(1, second(20)); len(news.Crashes) > maxTold || len(news.Successes) > maxTold*MaxParts {
		t.Errorf("%d crashes and %d successes told", len(news.Crashes), len(news.Successes))
	}
	for range 10 * rumorSends {
		q.News(0, second(20))
	}
	if news := q.News(0, second(20)); len(news.Crashes) > 0 {
		t.Errorf("%d crashes are still told", len(news.Crashes))
	}
	q.RecordCrash(Crash{Server: "last", Sent: second(20).Add(forgetAfter), Ended: second(20).Add(forgetAfter), Parts: partsOf("A")}, second(20).Add(forgetAfter+time.Second))
	if len(q.crashes) != 1 || len(q.byPart) != 1 || len(q.success) != 0 || len(q.probes) != 0 {
		t.Errorf("%d crashes of %d parts are remembered", len(q.crashes), len(q.byPart))
	}
}

// Malformed news changes nothing.
func TestMalformedNews(t *testing.T) {
	long := make([]uint64, MaxParts+1)
	for _, entry := range []*wire.ServerCrash{
		nil, {}, {Server: "s"}, {Server: "s", Parts: long}, {Parts: []uint64{1}}, {Server: "s", Parts: []uint64{1}, SentAgeMs: -1},
		{Server: "s", Parts: []uint64{1}, SentAgeMs: 1, EndedAgeMs: 2}, {Server: "s", Parts: []uint64{1}, SentAgeMs: math.MaxInt64, EndedAgeMs: 1},
		{Server: "s", Parts: []uint64{1}, Stage: uint32(stages)}, {Server: "s", Parts: []uint64{1}, EndedAgeMs: math.MinInt64},
	} {
		q := New(nil)
		q.Merge(&wire.QuarantineNews{Crashes: []*wire.ServerCrash{entry}, Successes: []*wire.PartSuccess{nil, {Part: 1, AgeMs: -5}, {AgeMs: math.MaxInt64}}}, start)
		if q.Remembers() || len(q.success) > 0 {
			t.Errorf("%v is remembered", entry)
		}
	}
	New(nil).Merge(nil, start)
}

// Of many gateways one may probe at first, and all in the end.
func TestElected(t *testing.T) {
	var names []string
	for i := range 1000 {
		names = append(names, fmt.Sprint("g", i))
	}
	for turn, want := range map[int64]int{0: 1, 1: 2, 5: 32, 20: 1000, math.MaxInt64: 1000, -1: 1} {
		elected := 0
		for _, name := range names {
			if Elected(7, turn, name, names) {
				elected++
			}
		}
		if elected != want {
			t.Errorf("turn %d: %d elected, want %d", turn, elected, want)
		}
	}
}

// A gateway that joins after several probes waits as long as the others for the next one.
func TestJoiningGatewayWaitsForTheProbe(t *testing.T) {
	q, joined := New(nil), New(nil)
	at := start
	for i := range 7 {
		q.RecordCrash(Crash{Server: fmt.Sprint("s", i), Sent: at, Ended: at, Parts: partsOf("AP")}, at)
		if i >= minCrashes-1 {
			at = at.Add(maxHold)
		} else {
			at = at.Add(time.Second)
		}
	}
	at = at.Add(time.Second - maxHold) // after the last crash
	for range 2 * rumorSends {
		q.News(q.Digest(), at)
	}
	joined.Merge(q.News(joined.Digest(), at), at)
	want, got := q.Check(partsOf("AP"), at), joined.Check(partsOf("AP"), at)
	if !got.Held || got.RetryAfter != want.RetryAfter || joined.Digest() != q.Digest() {
		t.Errorf("the joining gateway decides %+v, the other one %+v", got, want)
	}
}

// Sound requests that a crashing one took with it must not be blamed together with it, even
// if none of them succeeded in between: they could not succeed any more.
func TestSoundRequestsLostWithACrashingOne(t *testing.T) {
	lost := func(server int, lists ...string) []step {
		var steps []step
		for _, parts := range lists {
			steps = append(steps, step{server: fmt.Sprint("s", server), parts: parts, sent: float64(server) + 0.1, at: float64(server) + 0.5})
		}
		return steps
	}
	for _, c := range []struct {
		name       string
		steps      [][]step
		held, sent []string
	}{
		{"with the crashing part's requests", [][]step{lost(0, "RP", "R"), lost(1, "PO", "R"), lost(2, "R", "RP", "O")},
			[]string{"P", "RP", "PO"}, []string{"R", "RO", "O"}},
		{"more sound ones than crashing ones", [][]step{lost(0, "R", "R1", "P"), lost(1, "R2", "R", "P"), lost(2, "P", "R", "R3")},
			[]string{"P", "PR"}, []string{"R", "R1"}},
		{"the crashing part ended one more", [][]step{lost(0, "R", "P"), lost(1, "R", "P"), lost(2, "R", "P"), lost(3, "P")},
			[]string{"P", "PR"}, []string{"R"}},
		{"the other part ended one more", [][]step{lost(0, "R", "P"), lost(1, "R", "P"), lost(2, "R", "P"), lost(3, "R")},
			[]string{"R", "PR"}, []string{"P"}},
	} {
		for _, reversed := range []bool{false, true} { // in any order of learning
			q := New(func(Part, int64) bool { return false })
			steps := slices.Concat(c.steps...)
			if reversed {
				slices.Reverse(steps)
			}
			apply(q, steps)
			for _, parts := range c.held {
				if d := q.Check(partsOf(parts), second(5)); !d.Held {
					t.Errorf("%s, reversed %v: %q is not held back", c.name, reversed, parts)
				}
			}
			for _, parts := range c.sent {
				if d := q.Check(partsOf(parts), second(5)); d.Held || d.Probe {
					t.Errorf("%s, reversed %v: %q: %+v", c.name, reversed, parts, d)
				}
			}
		}
	}
}
