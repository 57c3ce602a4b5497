package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// fleet replays gateways that want as many retries as they get.
type fleet struct {
	bound    Bound
	budgets  []*Budget
	now      time.Time
	requests []time.Time
	retries  []time.Time
}

func newFleet(gateways int) *fleet {
	f := &fleet{bound: Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: 54}, budgets: make([]*Budget, gateways), now: start}
	for i := range f.budgets {
		f.restart(i, gateways)
	}
	return f
}

// restart replaces a gateway's process by one that knows of some gateways, itself included.
func (f *fleet) restart(i, known int) {
	f.budgets[i] = New(f.bound, f.now)
	f.budgets[i].SetDaemons(known, true, f.now)
}

// run lets every gateway take a request now and then, and all retries that it may.
func (f *fleet) run(length time.Duration, random *rand.Rand) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(20 * time.Millisecond) {
		b := f.budgets[random.IntN(len(f.budgets))]
		b.RecordRequest("s", f.now)
		f.requests = append(f.requests, f.now)
		for _, b := range f.budgets {
			if b.AllowRetry("s", f.now) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// check checks the operators' bound in every window.
func (f *fleet) check(t *testing.T, name string) {
	t.Helper()
	for _, from := range f.retries {
		in := within(f.retries, from, from.Add(f.bound.Window))
		requests := max(within(f.requests, from, from.Add(f.bound.Window)), within(f.requests, from.Add(-f.bound.Window), from),
			within(f.requests, from.Add(-f.bound.Window/2), from.Add(f.bound.Window/2)))
		if allowed := f.bound.Ratio*requests + f.bound.Slack; in > allowed {
			t.Errorf("%s: %v retries in a window, %v allowed", name, in, allowed)
			return
		}
	}
}

// Gateways that are killed in series, together or again and again start with no share that
// their former processes may have spent, and a gateway that knows no other one yet does
// not spend the whole allowance.
func TestBoundHoldsOverRestarts(t *testing.T) {
	for name, killed := range map[string][]int{"together": {0, 1, 2, 3}, "again and again": {0, 0, 0, 0, 0, 0}, "in series": {0, 1, 2, 3, 0, 1}} {
		for _, known := range []int{1, 4} {
			f, random := newFleet(4), rand.New(rand.NewPCG(1, uint64(known)))
			f.run(20*time.Second, random)
			for n, i := range killed {
				f.restart(i, known)
				if name == "together" && n < len(killed)-1 {
					continue
				}
				f.run(time.Second, random)
				for _, b := range f.budgets {
					b.SetDaemons(4, true, f.now)
				}
			}
			f.run(20*time.Second, random)
			f.check(t, name)
		}
	}
}

// Gateways that the others can't see, as the store takes no registrations, know few others.
// They do not each take a share of the slack among these few.
func TestBoundHoldsWhileGatewaysAreNotListed(t *testing.T) {
	for _, rate := range []int{20, 50, 110} {
		f, random := newFleet(27), rand.New(rand.NewPCG(1, 1))
		for i := range f.budgets {
			f.budgets[i] = New(f.bound, f.now)
			f.budgets[i].SetDaemons(4, false, f.now)
		}
		f.serve(30*time.Second, rate, 3, random)
		f.check(t, fmt.Sprintf("not listed, %d requests a second", rate))
		for _, b := range f.budgets {
			b.SetDaemons(27, true, f.now)
			b.SetDaemons(4, false, f.now)
		}
		f.serve(30*time.Second, rate, 3, random)
		f.check(t, fmt.Sprintf("no longer listed, %d requests a second", rate))
	}
}

// Gateways that lose sight of each other, one after the other, do not each take the shares
// of those that they no longer see.
func TestBoundHoldsOverPartitions(t *testing.T) {
	f, random := newFleet(4), rand.New(rand.NewPCG(2, 2))
	f.run(20*time.Second, random)
	for seen := 3; seen > 0; seen-- {
		for _, b := range f.budgets {
			b.SetDaemons(seen, true, f.now)
		}
		f.run(8*time.Second, random)
	}
	f.check(t, "partitions")
}

// The share of a gateway that is gone for good is used again after a while.
func TestShareOfAGoneGatewayReturns(t *testing.T) {
	b := New(Bound{Window: 10 * time.Second, Slack: 10}, start)
	b.SetDaemons(4, true, start)
	b.SetDaemons(1, true, start.Add(time.Minute))
	spend := func(now time.Time) (n int) {
		for b.AllowRetry("s", now) {
			n++
		}
		return n
	}
	if n := spend(start.Add(2 * time.Minute)); n != 2 {
		t.Errorf("%d retries while another gateway may still serve, want 2", n)
	}
	if n := spend(start.Add(time.Hour)); n != 8 {
		t.Errorf("%d retries later, want 8", n)
	}
}

// wish lets the gateways retry n requests at once, as when servers end with what they hold.
func (f *fleet) wish(n int) {
	for i := range n {
		if f.budgets[i%len(f.budgets)].AllowRetry("s", f.now) {
			f.retries = append(f.retries, f.now)
		}
	}
}

// serve lets the gateways take requests at a steady rate, and retry each of them as often
// as they may, at most retries times.
func (f *fleet) serve(length time.Duration, rate, retries int, random *rand.Rand) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(time.Second / time.Duration(rate)) {
		b := f.budgets[random.IntN(len(f.budgets))]
		b.RecordRequest("s", f.now)
		f.requests = append(f.requests, f.now)
		for range retries {
			if b.AllowRetry("s", f.now) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// Retries are not forgotten before the window is over: of two bursts in one window, the
// second one gets only what the first has left.
func TestBoundHoldsOverTwoBursts(t *testing.T) {
	for _, rate := range []int{20, 50, 110} {
		for offset := time.Duration(0); offset < time.Second; offset += 150 * time.Millisecond {
			for _, gap := range []time.Duration{8 * time.Second, 9 * time.Second, 9500 * time.Millisecond, 9900 * time.Millisecond} {
				f, random := newFleet(4), rand.New(rand.NewPCG(1, 1))
				f.serve(20*time.Second+offset, rate, 0, random)
				f.wish(200)
				f.serve(gap, rate, 0, random)
				f.wish(200)
				f.check(t, fmt.Sprintf("%v apart at %v, %d requests a second", gap, offset, rate))
			}
		}
	}
}

// Processes that are killed after a burst, and those that get the clients of others after
// one, do not spend what has been spent in the same window.
func TestBoundHoldsOverBurstsAndMoves(t *testing.T) {
	const length = 10 * time.Second
	for _, rate := range []int{20, 50, 110, 500} {
		for burst := time.Second; burst <= 5*time.Second; burst += time.Second {
			for name, play := range map[string]func(*fleet, []*Budget, *rand.Rand){
				"all killed": func(f *fleet, all []*Budget, random *rand.Rand) {
					for i := range all {
						f.restart(i, 4)
					}
					f.serve(length-burst, rate, 3, random)
				},
				"killed in series": func(f *fleet, all []*Budget, random *rand.Rand) {
					for i := range 24 {
						f.restart(i%4, 4)
						f.serve((length-burst)/24, rate, 3, random)
					}
				},
				"clients move": func(f *fleet, all []*Budget, random *rand.Rand) {
					f.budgets = all[3:]
					f.serve(length-burst, rate, 3, random)
				},
				"clients move in series": func(f *fleet, all []*Budget, random *rand.Rand) {
					for i := range 4 {
						f.budgets = all[3-i : 4-i]
						f.serve((length-burst)/4, rate, 3, random)
					}
				},
			} {
				f, random := newFleet(4), rand.New(rand.NewPCG(1, 1))
				all := f.budgets
				if strings.HasPrefix(name, "clients") {
					f.budgets = all[:3]
				}
				f.serve(20*time.Second, rate, 0, random)
				f.serve(burst, rate, 3, random)
				play(f, all, random)
				f.check(t, fmt.Sprintf("%s after %v, %d requests a second", name, burst, rate))
			}
		}
	}
}
