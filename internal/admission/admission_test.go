package admission

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// delays is a policy by which refused clients come back.
type delays interface {
	Delay(rank int, now time.Time) time.Duration
	Served(now time.Time)
}

// constant is the policy of one delay for all.
type constant time.Duration

func (c constant) Delay(int, time.Time) time.Duration { return time.Duration(c) }
func (constant) Served(time.Time)                     {}

// request is a client's request in a replay.
type request struct {
	at      time.Duration
	rank    int
	retries int
}

// replay sends requests to servers that take roomPerTick of them every tick, but none
// between outage and recovery. A refused client comes back once. It returns the share of
// requests served.
func replay(policy delays, arrivals []request, roomPerTick int, outage, recovery time.Duration) float64 {
	const tick = 20 * time.Millisecond
	start := time.Unix(1000, 0)
	waiting := slices.Clone(arrivals)
	served := 0
	for at := time.Duration(0); len(waiting) > 0; at += tick {
		slices.SortStableFunc(waiting, func(a, b request) int { return int(a.at - b.at) })
		room := roomPerTick
		if at >= outage && at < recovery {
			room = 0
		}
		var later []request
		for _, r := range waiting {
			switch {
			case r.at > at:
				later = append(later, r)
			case room > 0:
				room--
				served++
				policy.Served(start.Add(at))
			case r.retries > 0:
				r.retries--
				r.at = at + policy.Delay(r.rank, start.Add(at))
				later = append(later, r)
			}
		}
		waiting = later
	}
	return float64(served) / float64(len(arrivals))
}

// TestReturnsFillTheRoom replays an outage, a burst, and both at once. More clients must be
// served than with the best constant delay.
func TestReturnsFillTheRoom(t *testing.T) {
	steady := func(perSecond int, from, to time.Duration) (list []request) {
		for at := from; at < to; at += time.Second / time.Duration(perSecond) {
			list = append(list, request{at: at, rank: len(list) % 2, retries: 1})
		}
		return list
	}
	for _, c := range []struct {
		name             string
		arrivals         []request
		outage, recovery time.Duration
	}{
		{"half a second of outage", steady(120, 0, 6*time.Second), 2 * time.Second, 2500 * time.Millisecond},
		{"burst at three times the room", append(steady(120, 0, 6*time.Second), steady(480, 2*time.Second, 2400*time.Millisecond)...), 0, 0},
		{"burst in an outage", append(steady(100, 0, 6*time.Second), steady(300, 2*time.Second, 2300*time.Millisecond)...), 2 * time.Second, 2300 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			const roomPerTick = 4 // 200 a second
			best := 0.0
			for delay := 200 * time.Millisecond; delay <= time.Second; delay += 100 * time.Millisecond {
				best = max(best, replay(constant(delay), c.arrivals, roomPerTick, c.outage, c.recovery))
			}
			own := replay(&Schedule{}, c.arrivals, roomPerTick, c.outage, c.recovery)
			t.Logf("served %.3f, %.3f with the best constant delay, %.3f with 400 ms", own, best,
				replay(constant(400*time.Millisecond), c.arrivals, roomPerTick, c.outage, c.recovery))
			if own < best {
				t.Errorf("served %.3f, %.3f with the best constant delay", own, best)
			}
		})
	}
}

// TestOrderOfReturn checks that clients come back in the order in which they were refused,
// urgent ones no later than others refused at the same time.
func TestOrderOfReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s Schedule
		now := time.Unix(1000, 0)
		var last [ranks]time.Time
		for range rapid.IntRange(1, 300).Draw(t, "refusals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "served") {
				s.Served(now)
			}
			rank := rapid.IntRange(-1, ranks).Draw(t, "rank")
			delay := s.Delay(rank, now)
			if delay < minDelay || delay > maxDelay {
				t.Fatalf("delay %v", delay)
			}
			rank = min(max(rank, 0), ranks-1)
			at := now.Add(delay)
			if at.Before(last[rank]) {
				t.Fatalf("rank %d returns at %v before an earlier one at %v", rank, at, last[rank])
			}
			last[rank] = at
		}
	})
}

func TestUrgentReturnsFirst(t *testing.T) {
	var s Schedule
	now := time.Unix(1000, 0)
	for range 10 {
		s.Delay(5, now)
	}
	if urgent, other := s.Delay(0, now), s.Delay(5, now); urgent != minDelay || other <= urgent {
		t.Errorf("urgent after %v, other after %v", urgent, other)
	}
}

func BenchmarkDelay(b *testing.B) {
	var s Schedule
	now := time.Unix(1000, 0)
	for b.Loop() {
		s.Delay(3, now)
	}
}
