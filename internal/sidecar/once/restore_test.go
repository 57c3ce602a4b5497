package once

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// A restore of the key-value service loses the records of calls that ran. A repeat of such
// a call, through any sidecar and at any moment after the restore, is not executed again.
func TestRecordLostInARestore(t *testing.T) {
	for _, test := range []struct {
		name   string
		during bool          // the restore comes while the call runs
		wait   time.Duration // from the restore to the first repeat
	}{
		{"repeated at once", false, 0},
		{"repeated after a while", false, 2 * time.Second},
		{"repeated late", false, 30 * time.Second},
		{"restored while the call runs", true, 0},
		{"restored while the call runs, repeated late", true, 30 * time.Second},
	} {
		for other := range 2 {
			t.Run(test.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					store := kv.New(1)
					sidecars := []*Filter{New(Options{KV: store, Environment: "test"}), New(Options{KV: store, Environment: "test"})}
					s := &service{}
					if test.during {
						s.hook = func(call int) (job.Outcome, error) {
							if call == 1 {
								store.Restore(5 * time.Second)
							}
							return nil, nil
						}
					}
					unrelated := newBadgeJob("r0", "other")
					unrelated.Request.Call.IdempotencyKey = "order-0"
					if _, err := sidecars[1].Handle(t.Context(), unrelated, &service{}); err != nil {
						t.Fatal(err)
					}
					time.Sleep(10 * time.Second)
					if got := outcomeOf(sidecars[0].Handle(t.Context(), newBadgeJob("r1", "a"), s)); got != "badge 1" {
						t.Fatalf("the call gives %q", got)
					}
					if !test.during {
						store.Restore(5 * time.Second)
					}
					time.Sleep(test.wait)
					got := outcomeOf(sidecars[other].Handle(t.Context(), newBadgeJob("r2", "a"), s))
					if got != "replayed badge 1" && got != "store_unavailable/not-run" {
						t.Errorf("the first repeat gives %q", got)
					}
					time.Sleep(2 * settleTime)
					if got := outcomeOf(sidecars[other].Handle(t.Context(), newBadgeJob("r3", "a"), s)); got != "replayed badge 1" {
						t.Errorf("a later repeat gives %q, want the recorded reply", got)
					}
					if s.calls != 1 {
						t.Errorf("the call ran %d times", s.calls)
					}
				})
			})
		}
	}
}
