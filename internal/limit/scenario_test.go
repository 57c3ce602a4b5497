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
		run          func(s *simulation, n *node)
	}{
		{"paused until its shards belong to others", true, func(s *simulation, n *node) {
			n.pause(takeoverTime)
			n.unlist()
			s.advance(takeoverTime - simulationStep)
			n.pausedUntil = time.Now()
		}},
		{"paused, and cut off afterwards", true, func(s *simulation, n *node) {
			n.pause(takeoverTime)
			n.unlist()
			s.advance(takeoverTime - simulationStep)
			n.cut(true, true, true)
			s.advance(2 * time.Second)
		}},
		{"sees itself unlisted", true, func(s *simulation, n *node) {
			n.unlist()
			n.cut(false, true, true)
			s.advance(takeoverTime)
		}},
		{"unlisted and cut off from all but the sidecars", false, func(s *simulation, n *node) {
			n.unlist()
			n.cut(true, true, true)
			s.advance(takeoverTime)
		}},
		{"revoked just before it was unlisted and cut off", false, func(s *simulation, n *node) {
			n.unlist()
			n.cut(true, true, true)
			for range 2 * int(takeoverTime/time.Second) {
				s.advance(time.Second / 2)
				s.spendAll(1000)
			}
		}},
		{"restarted at the same address", true, func(s *simulation, n *node) {
			s.spendAll(1000)
			n.crash()
			n.boot()
			n.control()
		}},
		{"refunded after the bucket was full again", true, func(s *simulation, _ *node) {
			s.spendAll(1000)
			s.advance(10 * time.Second)
			s.spendAll(1000)
			s.settle(0, 0)
		}},
		{"shards move to a new router while tokens are short", true, func(s *simulation, _ *node) {
			s.spendAll(1000)
			s.addNode()
			s.advance(2500 * time.Millisecond)
		}},
		{"shards come back at a planned stop", true, func(s *simulation, n *node) {
			s.spendAll(1000)
			s.advance(time.Second)
			n.stop()
			s.advance(1500 * time.Millisecond)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSimulation(1, 3)
				s.lateSidecars = c.lateSidecars
				c.run(s, s.nodes[0])
				s.spendAll(1000)
				if excess := maxExcess(s.admissions, badges); excess > 0 {
					t.Errorf("admitted %d tokens above burst + rate × length", excess)
				}
			})
		})
	}
}
