package limit

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
)

// A workspace gets its rate also if that is a fraction of a token per second, if its burst is
// smaller than the number of shards, and while the shard table changes.
func TestSmallRatesAreGranted(t *testing.T) {
	const attempts, interval = 3000, 20 * time.Millisecond
	var eight []string
	for i := range 8 {
		eight = append(eight, fmt.Sprint("router", i))
	}
	for _, test := range []struct {
		name    string
		owners  []string
		limits  config.Workspace
		changes bool // of the shard table's epoch, each second
	}{
		{"half a token per second", []string{"a"}, config.Workspace{RateMicros: 500_000, Burst: 1}, false},
		{"half a token per second, eight owners", eight, config.Workspace{RateMicros: 500_000, Burst: 1}, false},
		{"half a token per second, while the table changes", []string{"a"}, config.Workspace{RateMicros: 500_000, Burst: 1}, true},
		{"one and a half", []string{"a"}, config.Workspace{Rate: 1, RateMicros: 500_000, Burst: 2}, false},
		{"eight tokens per second, eight owners", eight, config.Workspace{Rate: 8, Burst: 1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				test.limits.Name = "badges"
				table := tableOf(1, test.owners...)
				x := newCluster(test.owners, snapshotOf(table, test.limits))
				granted := 0
				for step := range attempts {
					x.advance(interval)
					if test.changes && step%50 == 25 {
						next := *table
						next.Epoch += uint64(step)
						x.publish(snapshotOf(&next, test.limits))
					}
					if _, err := x.peers[test.owners[step%len(test.owners)]].Acquire(context.Background(), "badges", 1, fmt.Sprint(step)); err == nil {
						granted++
					}
				}
				// A full bucket gets no refill until the next attempt.
				length, perSecond := attempts*interval.Seconds(), limitsOf(&test.limits).perSecond()
				least := int(length/(1/perSecond+interval.Seconds())) - 1
				most := int(length*perSecond) + int(test.limits.Burst)
				if granted < least || granted > most {
					t.Errorf("%d grants in %v s, want %d to %d", granted, length, least, most)
				}
			})
		})
	}
}
