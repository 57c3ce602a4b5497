package limit

import (
	"encoding/binary"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

// inBubble runs a rapid property under synctest, which forbids T.Deadline.
func inBubble(t *testing.T, property func(*rapid.T)) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(struct{ rapid.TB }{t}, property)
	})
}

// action is one step of a random run, applied to a router. amount is from 0 to 1000.
type action func(s *simulation, n *node, amount int64)

var actions = []action{
	func(s *simulation, _ *node, amount int64) { s.advance(time.Duration(amount) * time.Millisecond / 2) },
	func(s *simulation, _ *node, amount int64) { s.advance(time.Duration(amount) * 20 * time.Millisecond) },
	func(s *simulation, n *node, amount int64) { s.acquire(n, 1+amount*60) },
	func(s *simulation, _ *node, amount int64) { s.spendAll(500 + amount*20) },
	func(s *simulation, _ *node, _ int64) { s.spendAll(1000); s.settleAll(50); s.spendAll(1000) },
	func(_ *simulation, n *node, _ int64) { n.crash(); n.boot() },
	func(s *simulation, n *node, amount int64) {
		n.crash()
		s.advance(time.Duration(amount) * time.Millisecond)
		n.boot()
	},
	func(s *simulation, n *node, _ int64) { n.crash(); n.unlist(); s.addNode() },
	func(_ *simulation, n *node, amount int64) { n.pause(time.Duration(amount) * 3 * time.Millisecond) },
	func(_ *simulation, n *node, _ int64) { n.pause(30 * time.Second); n.unlist() },
	func(s *simulation, n *node, amount int64) {
		n.cut(amount&1 > 0 && !s.lateSidecars, amount&2 > 0, amount&4 > 0)
	},
	func(_ *simulation, n *node, _ int64) { n.unlist() },
	func(s *simulation, n *node, _ int64) { n.unlist(); n.cut(!s.lateSidecars, true, true) },
	func(s *simulation, n *node, _ int64) { n.cut(false, false, false); n.relist() },
	func(s *simulation, _ *node, amount int64) {
		s.store.SetFaults(kv.Faults{Down: amount%3 == 0, LoseAnswers: 0.4, StaleReads: 0.4})
	},
	func(s *simulation, _ *node, _ int64) { s.store.SetFaults(kv.Faults{}) },
	func(s *simulation, n *node, _ int64) { n.stop(); s.addNode() },
}

func (n *node) unlist() {
	if n.unlisted.IsZero() {
		n.unlisted = time.Now()
	}
}

func (n *node) relist() {
	if !n.simulation.lateSidecars {
		n.unlisted = time.Time{}
	}
}

func (n *node) cut(list, kv, peers bool) { n.cutList, n.cutKV, n.cutPeers = list, kv, peers }

func (n *node) pause(d time.Duration) { n.pausedUntil = time.Now().Add(d) }

// spendAll sends requests to every router until they are refused.
func (s *simulation) spendAll(cost int64) {
	for _, n := range s.nodes {
		for s.acquire(n, cost) {
		}
	}
}

// settleAll settles the running requests with at most limit thousandths of their
// cost as used.
func (s *simulation) settleAll(limit int64) {
	for i := len(s.openRequests) - 1; i >= 0; i-- {
		s.settle(i, s.openRequests[i].cost*s.random.Int64N(limit+1)/1000)
	}
}

// settleOne settles the running request that amount selects, with at most limit
// thousandths of its cost as used.
func (s *simulation) settleOne(amount, limit int64) {
	if len(s.openRequests) == 0 {
		return
	}
	i := int(amount) % len(s.openRequests)
	s.settle(i, s.openRequests[i].cost*s.random.Int64N(limit+1)/1000)
}

func TestAdmittedStaysWithinRateAndBurst(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *rapid.T) { checkRandomRun(t, 1000) })
}

// A surplus may exceed the bound, but only by debt that refills have not covered
// yet, or never will, since the router crashed or lost its shards.
func TestSurplusExceedsTheBoundByTheDebtAtMost(t *testing.T) {
	t.Parallel()
	inBubble(t, func(t *rapid.T) { checkRandomRun(t, 1500) })
}

// checkRandomRun runs random actions and checks every window of the admissions.
// Requests use up to limit thousandths of what they reserved. The actions come from the
// seed, since rapid prefers small numbers, which give short pauses and waits.
func checkRandomRun(t *rapid.T, limit int64) {
	s := newSimulation(seedOf(rapid.SliceOfN(rapid.Uint64(), 4, 4).Draw(t, "seed")), 3)
	s.faulty = true
	s.lateSidecars = rapid.Bool().Draw(t, "late")
	if rapid.Bool().Draw(t, "gateways") {
		s.refusalTime = gatewayRefusalTime
		for _, n := range s.nodes {
			n.local.refusalTime = s.refusalTime
		}
	}
	for range rapid.IntRange(10, 60).Draw(t, "steps") {
		step := actions[s.random.IntN(len(actions))]
		n := s.nodes[s.random.IntN(len(s.nodes))]
		if !n.up {
			n.boot()
		}
		step(s, n, s.random.Int64N(1001))
		if s.random.IntN(4) == 0 {
			s.settleOne(s.random.Int64(), limit)
		}
	}
	s.advance(20 * time.Second)
	s.spendAll(1000)
	if excess := maxExcess(s.admissions, badges); excess > 0 {
		t.Fatalf("admitted %d tokens above burst + rate × length", excess)
	}
}

// seedOf hashes words into one seed, since rapid generates mostly small words.
func seedOf(words []uint64) uint64 {
	var data []byte
	for _, word := range words {
		data = binary.LittleEndian.AppendUint64(data, word)
	}
	return xxhash.Sum64(data)
}

func TestLoadWithinRateIsNotRefused(t *testing.T) {
	for _, interval := range []time.Duration{defaultRebalanceInterval, 4 * defaultRebalanceInterval} { // of routers, and of gateways
		synctest.Test(t, func(t *testing.T) {
			for seed := range uint64(5) {
				s := newSimulation(seed, 3)
				refused := 0
				for range 2000 {
					time.Sleep(10 * time.Millisecond)
					s.tick(interval)
					if !s.acquire(s.nodes[0], 100+s.random.Int64N(180)) {
						refused++
					}
				}
				if refused > 0 {
					t.Errorf("rebalanced every %v, seed %d: %d of 2000 requests refused at 95%% of the rate", interval, seed, refused)
				}
			}
		})
	}
}

// tick runs the background work if the time is a multiple of interval.
func (s *simulation) tick(interval time.Duration) {
	if time.Now().UnixMilli()%interval.Milliseconds() != 0 {
		return
	}
	for _, n := range s.nodes {
		n.work()
	}
}
