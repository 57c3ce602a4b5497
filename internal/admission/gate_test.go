package admission

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// gateLoad is a load of less urgent requests in a replay.
type gateLoad struct {
	gate *Gate
	now  time.Time
	rng  *rand.Rand
}

func newGateLoad() *gateLoad {
	return &gateLoad{gate: NewGate(), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
}

// play offers requests of workspaces at their rates a second, and returns how many of each were
// offered and admitted.
func (l *gateLoad) play(duration time.Duration, rates map[string]float64, room func() Room, onAdmit func()) (offered, admitted map[string]int) {
	const tick = 10 * time.Millisecond
	offered, admitted = make(map[string]int), make(map[string]int)
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(tick) {
		for i := range len(rates) {
			name := fmt.Sprint("w", i)
			for due := rates[name] * tick.Seconds(); due > 0; due-- {
				if l.rng.Float64() >= due {
					continue
				}
				offered[name]++
				if ok, _ := l.gate.Admit(name, room(), l.now); ok {
					admitted[name]++
					onAdmit()
				}
			}
		}
	}
	return offered, admitted
}

func equalRates(n int, rate float64) map[string]float64 {
	rates := make(map[string]float64)
	for i := range n {
		rates[fmt.Sprint("w", i)] = rate
	}
	return rates
}

func at(occupancy float64) func() Room {
	return func() Room { return Room{Servers: 10, Occupancy: occupancy} }
}

func sum(counts map[string]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

func nothing() {}

// A quarter of 40 servers with 16 slots is lost, and less urgent requests, which take 2 s each,
// come at eight times their rate for 5 s. Admitted all, they would fill every slot. Urgent
// requests, which take three tenths of the slots that are left, must find a free one.
func TestUrgentRequestsKeepTheirRoom(t *testing.T) {
	const servers, slots, urgent = 30, 16, 0.3 * 30 * 16
	l := newGateLoad()
	var ends []time.Time // of the less urgent requests that run
	most := 0.0
	room := func() Room {
		for len(ends) > 0 && !ends[0].After(l.now) {
			ends = ends[1:]
		}
		occupancy := (urgent + float64(len(ends))) / (servers * slots)
		most = max(most, occupancy)
		return Room{Servers: servers, Occupancy: occupancy}
	}
	admit := func() { ends = append(ends, l.now.Add(2*time.Second)) }
	if offered, admitted := l.play(5*time.Second, equalRates(4, 5), room, admit); sum(admitted) != sum(offered) {
		t.Errorf("%d of %d requests admitted before the burst, want all", sum(admitted), sum(offered))
	}
	offered, admitted := l.play(5*time.Second, equalRates(4, 40), room, admit)
	t.Logf("%d of %d requests of the burst admitted, occupancy up to %.2f", sum(admitted), sum(offered), most)
	if most >= 0.9 || sum(admitted) < sum(offered)/4 {
		t.Errorf("%d of %d requests of the burst admitted, occupancy up to %f", sum(admitted), sum(offered), most)
	}
	l.play(3*time.Second, equalRates(4, 5), room, admit)
	if offered, admitted := l.play(3*time.Second, equalRates(4, 5), room, admit); sum(admitted) != sum(offered) {
		t.Errorf("%d of %d requests admitted 3 s after the burst, want all", sum(admitted), sum(offered))
	}
}

// A workspace at six times its rate must not take the share of the others, which stay below a
// fair share and must be admitted in full.
func TestGreedyWorkspaceGetsItsFairShare(t *testing.T) {
	l := newGateLoad()
	rates := equalRates(5, 20)
	rates["w0"] = 120
	l.play(5*time.Second, rates, at(shortFrom+shortSpan*0.4), nothing)
	offered, admitted := l.play(20*time.Second, rates, at(shortFrom+shortSpan*0.4), nothing) // 0.6 are admitted, 120 a second
	t.Logf("offered %v, admitted %v", offered, admitted)
	for name := range rates {
		want := 1.0
		if name == "w0" {
			want = 40.0 / 120
		}
		if share := float64(admitted[name]) / float64(offered[name]); share < 0.9*want || share > 1.1*want {
			t.Errorf("%f of the requests of %s admitted, want %f", share, name, want)
		}
	}
}

// No workspace may be shut out, however short room is and however many requests others send.
func TestEachWorkspaceKeepsTheFloor(t *testing.T) {
	l := newGateLoad()
	rates := equalRates(5, 5)
	rates["w0"], rates["w1"] = 500, 0.5
	offered, admitted := l.play(60*time.Second, rates, at(1), nothing)
	for name := range rates {
		if share := float64(admitted[name]) / float64(offered[name]); share < 0.9*minAdmitted {
			t.Errorf("%f of the requests of %s admitted", share, name)
		}
	}
}

// Without a shortage nothing may be refused, also in a burst or if no server is known.
func TestCalmLoadIsNotRefused(t *testing.T) {
	l := newGateLoad()
	for _, room := range []Room{{Servers: 10, Occupancy: shortFrom}, {Servers: 10}, {}} {
		offered, admitted := l.play(5*time.Second, map[string]float64{"w0": 1000, "w1": 1}, func() Room { return room }, nothing)
		if sum(offered) == 0 || sum(admitted) != sum(offered) {
			t.Errorf("%+v: %d of %d requests admitted", room, sum(admitted), sum(offered))
		}
	}
}

// checkShare plays equal workspaces while there is room for 0.3 of their requests, and checks the
// share that is admitted and that the gate forgets them.
func checkShare(t *testing.T, workspaces int, rate float64, duration time.Duration) {
	l := newGateLoad()
	rates := equalRates(workspaces, rate)
	l.play(12*time.Second, rates, at(shortFrom+shortSpan*0.7), nothing)
	offered, admitted := l.play(duration, rates, at(shortFrom+shortSpan*0.7), nothing)
	share := float64(sum(admitted)) / float64(sum(offered))
	t.Logf("%d workspaces with %.2f requests a second: %.3f of %d admitted", workspaces, rate, share, sum(offered))
	if share < 0.2 || share > 0.4 {
		t.Errorf("%f of the requests admitted, want 0.3", share)
	}
	l.now = l.now.Add(time.Minute)
	l.gate.Admit("another", Room{}, l.now)
	if n := len(l.gate.workspaces); n > 1 {
		t.Errorf("%d workspaces kept a minute after their last requests", n)
	}
}

// The share that is admitted must be that for which there is room, and state must be bounded.
func TestManyWorkspaces(t *testing.T) { checkShare(t, 1000, 5, 5*time.Second) }

// A workspace that is forgotten between two requests must not be admitted each time.
func TestRareRequests(t *testing.T) { checkShare(t, 1000, 0.05, 40*time.Second) }

// A gateway that is one of many sees few requests of each workspace. They must get the share
// for which there is room, too.
func TestOccasionalRequests(t *testing.T) { checkShare(t, 10, 0.3, 400*time.Second) }

// A burst after a time with few requests must not be admitted beyond the room because the gate has
// corrected the counts of that time.
func TestBurstAfterOccasionalRequests(t *testing.T) {
	l := newGateLoad()
	room := at(shortFrom + shortSpan*0.7)
	l.play(time.Minute, equalRates(100, 0.3), room, nothing)
	offered, admitted := l.play(time.Second, equalRates(100, 5), room, nothing)
	share := float64(sum(admitted)) / float64(sum(offered))
	t.Logf("%.3f of %d admitted", share, sum(offered))
	if share < 0.2 || share > 0.4 {
		t.Errorf("%f of the burst admitted, want 0.3", share)
	}
}

// Requests of many connections ask one gate. The race detector must find nothing, and every
// share must be within its bounds.
func TestConcurrentAdmissions(t *testing.T) {
	gate, now := NewGate(), time.Unix(1000, 0)
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			for n := range 2000 {
				_, share := gate.Admit(fmt.Sprint("w", (i+n)%5), Room{Servers: 10, Occupancy: 0.6}, now.Add(time.Duration(n)*time.Millisecond))
				if share < minAdmitted || share > 1 {
					t.Errorf("share %f", share)
				}
			}
		})
	}
	group.Wait()
}
