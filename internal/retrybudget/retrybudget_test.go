package retrybudget

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// In every window, the retries of all gateways together stay within the operators'
// bound.
func TestBoundHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := Bound{Ratio: 0.2, Window: 10 * time.Second, Slack: float64(rapid.IntRange(0, 60).Draw(t, "slack"))}
		n := rapid.IntRange(1, 5).Draw(t, "gateways")
		budgets := make([]*Budget, n)
		for i := range budgets {
			budgets[i] = New(bound, start.Add(time.Duration(i)*137*time.Millisecond))
			budgets[i].SetDaemons(n, true, start)
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(1, 600).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "gateway")]
			b.RecordRequest("s", now)
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(t, "wanted") {
				if b.AllowRetry("s", now) {
					retries = append(retries, now)
				}
			}
		}
		for _, from := range retries {
			in := within(retries, from, from.Add(bound.Window))
			allowed := bound.Ratio*max(within(requests, from, from.Add(bound.Window)), within(requests, from.Add(-bound.Window), from)) + bound.Slack
			half := bound.Ratio*within(requests, from.Add(-bound.Window/2), from.Add(bound.Window/2)) + bound.Slack
			if in > max(allowed, half)+1 {
				t.Fatalf("%f retries in a window, %f allowed", in, max(allowed, half))
			}
		}
	})
}

// within returns the number of times, which rise, from one time up to another.
func within(times []time.Time, from, to time.Time) float64 {
	first, _ := slices.BinarySearchFunc(times, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, to, time.Time.Compare)
	return float64(end - first)
}

func TestBudgetRecovers(t *testing.T) {
	b := New(Bound{Ratio: 0, Window: 10 * time.Second, Slack: 10}, start.Add(-10*time.Second))
	spend := func(now time.Time) (n int) {
		for b.AllowRetry("s", now) {
			n++
		}
		return n
	}
	if n := spend(start); n != 8 {
		t.Errorf("%d retries, want 8: the usable share of 10", n)
	}
	if n := spend(start.Add(5 * time.Second)); n != 0 {
		t.Errorf("%d retries in the same window, want 0", n)
	}
	if n := spend(start.Add(11 * time.Second)); n != 8 {
		t.Errorf("%d retries in the next window, want 8", n)
	}
	if n := spend(start.Add(time.Hour)); n != 8 {
		t.Errorf("%d retries after a long pause, want 8", n)
	}
	b.SetDaemons(4, true, start.Add(time.Hour))
	if n := spend(start.Add(2 * time.Hour)); n != 2 {
		t.Errorf("%d retries as one of four gateways, want 2", n)
	}
	b.SetBound(Bound{}, start.Add(3*time.Hour))
	if !b.AllowRetry("s", start.Add(3*time.Hour)) {
		t.Error("retry refused without a bound")
	}
}
