package retrybudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Gateways that get listed one after the other, long after they started, do not each take a
// share among the few that are listed by then.
func TestBoundHoldsWhileGatewaysGetListed(t *testing.T) {
	for _, every := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond, time.Second} {
		for _, rate := range []int{20, 50, 110} {
			f, random := newFleet(27), rand.New(rand.NewPCG(1, 1))
			for i := range f.budgets {
				f.budgets[i] = New(f.bound, f.now)
				f.budgets[i].SetDaemons(4, false, f.now)
			}
			f.serve(30*time.Second, rate, 3, random)
			for listed := 1; listed <= len(f.budgets); listed++ {
				for _, b := range f.budgets[:listed] {
					b.SetDaemons(max(4, listed), true, f.now)
				}
				f.wish(54)
				f.serve(every, rate, 3, random)
			}
			f.serve(20*time.Second, rate, 3, random)
			f.check(t, fmt.Sprintf("one each %v, %d requests a second", every, rate))
		}
	}
}
