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
			cl := newCluster()
			cl.network.delay = callDelay
			cl.writeRevision(t, 1)
			for i := range daemons {
				role := config.RoleSidecar
				if i%5 == 0 {
					role = config.RoleRouter
				}
				cl.start(t, fmt.Sprintf("d%d", i), role)
			}
			time.Sleep(20 * time.Second)
			cl.checkRevisionEverywhere(t, 1)
			cl.writeRevision(t, 2)
			began := time.Now()
			for !cl.inForceEverywhere(2) && time.Since(began) < maxSpreadTime {
				time.Sleep(5 * time.Millisecond)
			}
			t.Logf("%d daemons: in force everywhere after %v", daemons, time.Since(began))
			cl.checkRevisionEverywhere(t, 2)
			cl.stop()
			time.Sleep(time.Second) // lets running calls end
		})
	}
}

// inForceEverywhere reports whether all daemons have the revision.
func (cl *cluster) inForceEverywhere(number uint64) bool {
	for _, loop := range cl.network.loops {
		if revision := loop.Snapshot().Config; revision == nil || revision.Number != number {
			return false
		}
	}
	return true
}
