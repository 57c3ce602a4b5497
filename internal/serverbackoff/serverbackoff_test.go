package serverbackoff

import (
	"fmt"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

func TestParse(t *testing.T) {
	for text, want := range map[string]Asked{
		"0.2": {Wait: 200 * time.Millisecond}, "1": {Wait: time.Second}, "60": {Wait: time.Minute}, " 4 ": {Wait: 4 * time.Second},
		"0": {}, ".5": {Wait: 500 * time.Millisecond}, "600": {Wait: MaxWait}, "601": {Wait: MaxWait, Malformed: true},
		"99999999999999999999": {Wait: MaxWait, Malformed: true}, "-1": {Malformed: true}, "": {Malformed: true}, "1e9": {Malformed: true},
		"NaN": {Malformed: true}, "Inf": {Malformed: true}, "soon": {Malformed: true}, "1,5": {Malformed: true}, "0x10": {Malformed: true},
		"Sat, 05 Dec 2026 13:00:00 GMT": {Malformed: true}, "1111111111111111111111111": {Malformed: true},
	} {
		if got := Parse([]string{text}); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
	if got := Parse(nil); got != (Asked{}) {
		t.Errorf("no value: %+v", got)
	}
	if got := Parse([]string{"1", "x", "3"}); got != (Asked{Wait: 3 * time.Second, Malformed: true}) {
		t.Errorf("several values: %+v", got)
	}
}

// replay sends the requests of gateways to a server as often as they let them, one each 40 ms
// a gateway. The server refuses until a time, and answers after a delay.
type replay struct {
	gateways  []*Backoffs
	refuses   func(at time.Time) (asked Asked, refuses bool)
	delay     time.Duration
	arrivals  [][]time.Time // by gateway
	refused   int
	firstOkay time.Time
	pending   []pendingRequest
}

type pendingRequest struct {
	gateway  int
	sent     time.Time
	answered time.Time
	trial    *Trial
}

func (r *replay) run(key Key, length time.Duration) {
	const tick = 10 * time.Millisecond
	r.arrivals = make([][]time.Time, len(r.gateways))
	for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
		r.answer(key, now)
		for i, b := range r.gateways {
			if (now.Sub(start)/tick+time.Duration(i))%4 != 0 || b.Check(key, now).Avoided {
				continue
			}
			if trial, ok := b.Begin(key, now); ok {
				r.arrivals[i] = append(r.arrivals[i], now)
				r.pending = append(r.pending, pendingRequest{gateway: i, sent: now, answered: now.Add(r.delay), trial: trial})
			}
		}
	}
}

func (r *replay) answer(key Key, now time.Time) {
	var left []pendingRequest
	for _, p := range r.pending {
		if now.Before(p.answered) {
			left = append(left, p)
			continue
		}
		p.trial.End()
		if asked, refuses := r.refuses(p.sent); refuses {
			r.refused++
			r.gateways[p.gateway].RecordRefusal(key, asked, now)
			continue
		}
		if r.firstOkay.IsZero() {
			r.firstOkay = now
		}
		r.gateways[p.gateway].RecordAccepted(key, p.sent)
	}
	r.pending = left
}

func newReplay(gateways int, delay time.Duration, refuses func(at time.Time) (Asked, bool)) *replay {
	r := &replay{refuses: refuses, delay: delay}
	for range gateways {
		r.gateways = append(r.gateways, New())
	}
	return r
}

// A replay of load on a server that names a time: from half a second after each refusal on, a
// gateway sends it two requests at most until the time ends, and the server is used soon after
// it takes requests again, with few at once.
func TestReplayOfServerThatNamesATime(t *testing.T) {
	for _, wait := range []time.Duration{200 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 300 * time.Millisecond} {
			until := start.Add(3*wait - time.Millisecond)
			r := newReplay(4, delay, func(at time.Time) (Asked, bool) { return Asked{Wait: wait}, at.Before(until) })
			r.run(Key{"s", 1}, 4*wait+5*time.Second)
			for g, arrivals := range r.arrivals {
				first := arrivals[0].Add(delay) // its refusal
				late := 0
				for _, at := range arrivals {
					if at.After(first.Add(500*time.Millisecond)) && at.Before(first.Add(wait)) {
						late++
					}
				}
				if late > 2 {
					t.Errorf("wait %v, delay %v: %d requests of gateway %d within the time that the server named", wait, delay, late, g)
				}
			}
			if unused := r.firstOkay.Sub(until); r.firstOkay.IsZero() || unused > wait+maxAvoidance {
				t.Errorf("wait %v, delay %v: used again %v after the last refusal", wait, delay, unused)
			}
		}
	}
}

// A replay of load on a server that names no time: over ten seconds it gets at most a tenth of
// its share of the load, and it is used again soon after it recovers.
func TestReplayOfServerThatNamesNoTime(t *testing.T) {
	recovery := start.Add(10 * time.Second)
	r := newReplay(4, 5*time.Millisecond, func(at time.Time) (Asked, bool) { return Asked{}, at.Before(recovery) })
	r.run(Key{"s", 1}, 20*time.Second)
	if share := 100 * 10 / 3; r.refused > share/10 {
		t.Errorf("%d requests refused in 10 s, want %d at most", r.refused, share/10)
	}
	if after := r.firstOkay.Sub(recovery); after < 0 || after > maxAvoidance+time.Second {
		t.Errorf("used again %v after its recovery", after)
	}
	last := r.arrivals[0][len(r.arrivals[0])-1]
	if last.Before(start.Add(19 * time.Second)) {
		t.Errorf("the last request of the first gateway is sent at %v", last.Sub(start))
	}
}

// A later refusal may make the time longer, and a shorter one does not end it. Neither does a
// response to a request that was sent before.
func TestLaterRefusals(t *testing.T) {
	b, key := New(), Key{"s", 1}
	b.RecordRefusal(key, Asked{Wait: 4 * time.Second}, start)
	for _, asked := range []Asked{{Wait: time.Second}, {}, {Malformed: true}} {
		b.RecordRefusal(key, asked, start.Add(100*time.Millisecond))
	}
	b.RecordAccepted(key, start.Add(200*time.Millisecond))
	if state := b.Check(key, start.Add(3900*time.Millisecond)); !state.Blocked || state.Until != start.Add(4*time.Second) {
		t.Errorf("state %+v, want blocked until 4 s", state)
	}
	if until, extended := b.RecordRefusal(key, Asked{Wait: 9 * time.Second}, start.Add(time.Second)); !extended || until != start.Add(10*time.Second) {
		t.Errorf("until %v, extended %v", until, extended)
	}
	if b.Check(Key{"s", 2}, start) != (State{}) {
		t.Error("another process of the server is blocked too")
	}
	if b.Check(key, start.Add(10*time.Second)).Blocked {
		t.Error("blocked beyond the time")
	}
}

// Requests come back gradually.
func TestServerComesBackGradually(t *testing.T) {
	b, key := New(), Key{"s", 1}
	b.RecordRefusal(key, Asked{Wait: time.Second}, start)
	now := start.Add(2 * time.Second)
	for want := 1; want < fullTrials; want *= 2 {
		var trials []*Trial
		for {
			trial, ok := b.Begin(key, now)
			if !ok || len(trials) > fullTrials {
				break
			}
			trials = append(trials, trial)
		}
		if len(trials) != want {
			t.Fatalf("%d requests at once, want %d", len(trials), want)
		}
		for _, trial := range trials {
			trial.End()
			trial.End() // has no effect
		}
		b.RecordAccepted(key, now)
	}
	if trial, ok := b.Begin(key, now); trial != nil || !ok || len(b.servers) != 0 {
		t.Errorf("the server has not recovered: %v", b.servers)
	}
}

// What is remembered is bounded, and ends.
func TestBackoffsAreBounded(t *testing.T) {
	b := New()
	for i := range maxServers + 100 {
		b.RecordRefusal(Key{fmt.Sprint("s", i), int64(i)}, Asked{Wait: time.Minute}, start)
	}
	if len(b.servers) > maxServers {
		t.Errorf("%d servers are remembered", len(b.servers))
	}
	later := start.Add(time.Hour)
	b.RecordRefusal(Key{"new", 1}, Asked{}, later)
	if len(b.servers) > 1 {
		t.Errorf("%d servers are remembered an hour later", len(b.servers))
	}
	if b.Check(Key{"new", 1}, later.Add(time.Hour)); b.any.Load() {
		t.Error("a server is remembered that got no requests for an hour")
	}
}
