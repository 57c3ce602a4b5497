package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// takeover is longer than the wait, the rest and the refill of revoked shards.
const takeover = 40 * time.Second

// Each scenario needs one mechanism: the bound breaks without it.
func TestScenariosStayWithinRateAndBurst(t *testing.T) {
	cases := []struct {
		name string
		late bool // sidecars know no newer table
		run  func(w *world, n *node)
	}{
		{"paused until its shards belong to others", true, func(w *world, n *node) {
			n.pause(takeover)
			n.unlist()
			w.advance(takeover - worldStep)
			n.pausedTill = time.Now()
		}},
		{"paused, and cut off afterwards", true, func(w *world, n *node) {
			n.pause(takeover)
			n.unlist()
			w.advance(takeover - worldStep)
			n.cut(true, true, true)
			w.advance(2 * time.Second)
		}},
		{"sees itself unlisted", true, func(w *world, n *node) {
			n.unlist()
			n.cut(false, true, true)
			w.advance(takeover)
		}},
		{"unlisted and cut off from all but the sidecars", false, func(w *world, n *node) {
			n.unlist()
			n.cut(true, true, true)
			w.advance(takeover)
		}},
		{"revoked just before it was unlisted and cut off", false, func(w *world, n *node) {
			n.unlist()
			n.cut(true, true, true)
			for range 2 * int(takeover/time.Second) {
				w.advance(time.Second / 2)
				w.spendAll(1000)
			}
		}},
		{"restarted at the same address", true, func(w *world, n *node) {
			w.spendAll(1000)
			n.crash()
			n.boot()
			n.control()
		}},
		{"refunded after the bucket was full again", true, func(w *world, _ *node) {
			w.spendAll(1000)
			w.advance(10 * time.Second)
			w.spendAll(1000)
			w.settle(0, 0)
		}},
		{"shards move to a new router while tokens are short", true, func(w *world, _ *node) {
			w.spendAll(1000)
			w.addNode()
			w.advance(2500 * time.Millisecond)
		}},
		{"shards come back at a planned stop", true, func(w *world, n *node) {
			w.spendAll(1000)
			w.advance(time.Second)
			n.stop()
			w.advance(1500 * time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(1, 3)
				w.late = c.late
				c.run(w, w.nodes[0])
				w.spendAll(1000)
				if excess := worst(w.history, badges); excess > 0 {
					t.Errorf("admitted %d tokens above burst + rate × length", excess)
				}
			})
		})
	}
}
