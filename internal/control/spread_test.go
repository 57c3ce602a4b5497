package control

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
)

const (
	// maxSpreadTime bounds how long a change takes to be in force everywhere.
	maxSpreadTime = 4 * time.Second
	// callDelay is the duration of a call between daemons in different regions.
	callDelay = 20 * time.Millisecond
)

// TestSpreadGrowsSlowly checks and logs how long a revision takes to reach all
// daemons, for docs/CAPACITY.md.
func TestSpreadGrowsSlowly(t *testing.T) {
	for _, daemons := range []int{25, 50, 100, 200} {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster()
			w.network.delay = callDelay
			w.writeRevision(t, 1)
			for i := range daemons {
				role := config.RoleSidecar
				if i%5 == 0 {
					role = config.RoleRouter
				}
				w.start(t, fmt.Sprintf("d%d", i), role)
			}
			time.Sleep(20 * time.Second)
			w.checkRevisionEverywhere(t, 1)
			w.writeRevision(t, 2)
			began := time.Now()
			for !w.inForceEverywhere(2) && time.Since(began) < maxSpreadTime {
				time.Sleep(5 * time.Millisecond)
			}
			t.Logf("%d daemons: in force everywhere after %v", daemons, time.Since(began))
			w.checkRevisionEverywhere(t, 2)
			w.stop()
			time.Sleep(time.Second) // lets running calls end
		})
	}
}

// inForceEverywhere reports whether all daemons have the revision.
func (w *cluster) inForceEverywhere(number uint64) bool {
	for _, loop := range w.network.loops {
		if revision := loop.Snapshot().Config; revision == nil || revision.Number != number {
			return false
		}
	}
	return true
}
