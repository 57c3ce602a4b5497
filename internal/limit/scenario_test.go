package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// takeoverTime is longer than it takes to revoke shards, wait out their quarantine
// and refill them.
const takeoverTime = 40 * time.Second

// Each scenario depends on one mechanism: without it the bound is exceeded.
func TestScenariosStayWithinRateAndBurst(t *testing.T) {
	cases := []struct {
		name         string
		lateSidecars bool // sidecars get no newer table by themselves
		run          func(w *simulation, n *node)
	}{
		{"paused until its shards belong to others", true, func(w *simulation, n *node) {
			n.pause(takeoverTime)
			n.unlist()
			w.advance(takeoverTime - simulationStep)
			n.pausedUntil = time.Now()
		}},
		{"paused, and cut off afterwards", true, func(w *simulation, n *node) {
			n.pause(takeoverTime)
			n.unlist()
			w.advance(takeoverTime - simulationStep)
			n.cut(true, true, true)
			w.advance(2 * time.Second)
		}},
		{"sees itself unlisted", true, func(w *simulation, n *node) {
			n.unlist()
			n.cut(false, true, true)
			w.advance(takeoverTime)
		}},
		{"unlisted and cut off from all but the sidecars", false, func(w *simulation, n *node) {
			n.unlist()
			n.cut(true, true, true)
			w.advance(takeoverTime)
		}},
		{"revoked just before it was unlisted and cut off", false, func(w *simulation, n *node) {
			n.unlist()
			n.cut(true, true, true)
			for range 2 * int(takeoverTime/time.Second) {
				w.advance(time.Second / 2)
				w.spendAll(1000)
			}
		}},
		{"restarted at the same address", true, func(w *simulation, n *node) {
			w.spendAll(1000)
			n.crash()
			n.boot()
			n.control()
		}},
		{"refunded after the bucket was full again", true, func(w *simulation, _ *node) {
			w.spendAll(1000)
			w.advance(10 * time.Second)
			w.spendAll(1000)
			w.settle(0, 0)
		}},
		{"shards move to a new router while tokens are short", true, func(w *simulation, _ *node) {
			w.spendAll(1000)
			w.addNode()
			w.advance(2500 * time.Millisecond)
		}},
		{"shards come back at a planned stop", true, func(w *simulation, n *node) {
			w.spendAll(1000)
			w.advance(time.Second)
			n.stop()
			w.advance(1500 * time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newSimulation(1, 3)
				w.lateSidecars = c.lateSidecars
				c.run(w, w.nodes[0])
				w.spendAll(1000)
				if excess := maxExcess(w.history, badges); excess > 0 {
					t.Errorf("admitted %d tokens above burst + rate × length", excess)
				}
			})
		})
	}
}
