package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	trialDuration = 120 * time.Second
	trialSeeds    = 5
	peerDelay     = time.Millisecond // one way
	meanCost      = 1_500.0
	maxCost       = 20_000
)

// strategy is a way to share a bucket between routers.
type strategy struct {
	name      string
	debit     bool
	rebalance bool
	wait      time.Duration
}

var (
	fixedShares        = strategy{name: "fixed shares"}
	debitsOnly         = strategy{name: "peer debits only", debit: true}
	rebalanced         = strategy{name: "levels rebalanced", debit: true, rebalance: true}
	rebalancedWithWait = strategy{name: "rebalanced, wait 100 ms", debit: true, rebalance: true, wait: 100 * time.Millisecond}
)

// trafficPattern is the load of a trial and the routers that it goes to.
type trafficPattern struct {
	owners int
	spread bool // over all owners instead of only the first one
	load   float64
}

func (p trafficPattern) String() string {
	to := "on one"
	if p.spread {
		to = "on all"
	}
	return fmt.Sprintf("%d owners, %.0f%% %s", p.owners, 100*p.load, to)
}

// counts are the results of a trial.
type counts struct {
	requests, refused, wrongful, withDebits, calls atomic.Int64
}

func (c *counts) String() string {
	percent := func(n int64) float64 { return 100 * float64(n) / float64(c.requests.Load()) }
	return fmt.Sprintf("%6d requests, refused %5.2f%%, wrongly %5.2f%%, with debits %5.2f%%, calls/s %5.1f",
		c.requests.Load(), percent(c.refused.Load()), percent(c.wrongful.Load()), percent(c.withDebits.Load()),
		float64(c.calls.Load())/trialDuration.Seconds()/trialSeeds)
}

// countingNetwork delays the calls between routers and counts them.
type countingNetwork struct {
	network
	strategy strategy
	counts   *counts
	debited  *sync.Map // requests that made debits
}

func (n *countingNetwork) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	if !n.strategy.debit {
		return nil, errUnreachable
	}
	n.counts.calls.Add(1)
	n.debited.Store(req.RequestId, true)
	time.Sleep(peerDelay)
	reply, err := n.network.Debit(ctx, address, req)
	time.Sleep(peerDelay)
	return reply, err
}

func (n *countingNetwork) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	if !n.strategy.rebalance {
		return &wire.LevelsReply{}, nil // an error would keep requests from asking this peer
	}
	n.counts.calls.Add(1)
	time.Sleep(peerDelay)
	reply, err := n.network.Levels(ctx, address, req)
	time.Sleep(peerDelay)
	return reply, err
}

// run sends Poisson traffic of the pattern's load to the routers. It counts a refusal
// as wrongful if a single exact bucket for all routers would admit the request.
func (s strategy) run(seed uint64, pattern trafficPattern, result *counts) {
	addresses := routerAddresses(pattern.owners)
	x := newCluster(addresses, snapshotOf(tableOf(1, addresses...), badges))
	routers := &countingNetwork{network: x.peers, strategy: s, counts: result, debited: &sync.Map{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, l := range x.peers {
		l.peers, l.wait = routers, s.wait
		group.Go(func() { _ = l.Run(ctx) })
	}
	time.Sleep(4 * time.Second)
	exact := &bucket{own: limitsOf(&badges), level: badges.Burst}
	random := rand.New(rand.NewPCG(seed, 1))
	began := time.Now()
	for n := 0; time.Since(began) < trialDuration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * meanCost / (pattern.load * float64(badges.Rate)) * float64(time.Second)))
		cost := int64(min(maxCost, 1+random.ExpFloat64()*meanCost))
		_, conforms := exact.take(clockReading{refill: time.Since(began)}, cost)
		to := addresses[0]
		if pattern.spread {
			to = addresses[random.IntN(pattern.owners)]
		}
		group.Go(func() { s.request(x.peers[to], routers, fmt.Sprint(n), cost, conforms) })
	}
	time.Sleep(time.Second)
	cancel()
	group.Wait()
}

func (s strategy) request(l *Local, routers *countingNetwork, id string, cost int64, conforms bool) {
	_, err := l.Acquire(context.Background(), badges.Name, cost, id)
	routers.counts.requests.Add(1)
	if err != nil {
		routers.counts.refused.Add(1)
	}
	if err != nil && conforms {
		routers.counts.wrongful.Add(1)
	}
	if _, ok := routers.debited.Load(id); ok {
		routers.counts.withDebits.Add(1)
	}
}

// Each strategy must refuse no more requests wrongly than the one before it. Waiting
// admits requests that the exact bucket refuses, so its wrongful refusals are logged
// but not compared.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	patterns := []trafficPattern{
		{3, false, 0.95}, {3, false, 0.80},
		{3, true, 0.80}, {8, false, 0.80}, {8, true, 0.80},
	}
	for _, pattern := range patterns {
		last := int64(1 << 62)
		for _, s := range []strategy{fixedShares, debitsOnly, rebalanced, rebalancedWithWait} {
			result := &counts{}
			for seed := range uint64(trialSeeds) {
				synctest.Test(t, func(*testing.T) { s.run(seed, pattern, result) })
			}
			t.Logf("%v: %-24s %v", pattern, s.name, result)
			if s.wait > 0 {
				continue
			}
			if got := result.wrongful.Load(); got > last {
				t.Errorf("%v: %s refuses %d requests wrongly, more than the previous strategy (%d)", pattern, s.name, got, last)
			}
			last = result.wrongful.Load()
		}
	}
}
