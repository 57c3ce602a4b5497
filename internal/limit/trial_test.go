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
	trialTime  = 120 * time.Second
	trialSeeds = 5
	peerDelay  = time.Millisecond // one way
	meanCost   = 1_500.0
	maxCost    = 20_000
)

// way is a way to share a bucket between routers.
type way struct {
	name  string
	debit bool
	even  bool
	wait  time.Duration
}

var (
	fixedShares = way{name: "fixed shares"}
	debitsAlone = way{name: "peer debits alone", debit: true}
	evenedOut   = way{name: "levels evened out", debit: true, even: true}
	allOfIt     = way{name: "evened out, wait 100 ms", debit: true, even: true, wait: 100 * time.Millisecond}
)

// site is where the traffic of a trial goes.
type site struct {
	owners int
	spread bool // over all owners, instead of the first one alone
	load   float64
}

func (s site) String() string {
	to := "on one"
	if s.spread {
		to = "on all"
	}
	return fmt.Sprintf("%d owners, %.0f%% %s", s.owners, 100*s.load, to)
}

// tally counts a trial's requests.
type tally struct {
	requests, refused, wrongful, peers, calls atomic.Int64
}

func (t *tally) String() string {
	part := func(n int64) float64 { return 100 * float64(n) / float64(t.requests.Load()) }
	return fmt.Sprintf("%6d requests, refused %5.2f%%, wrongly %5.2f%%, with debits %5.2f%%, calls/s %5.1f",
		t.requests.Load(), part(t.refused.Load()), part(t.wrongful.Load()), part(t.peers.Load()),
		float64(t.calls.Load())/trialTime.Seconds()/trialSeeds)
}

// link delays the calls between routers and counts them.
type link struct {
	network
	way   way
	tally *tally
	asked *sync.Map // requests that made debits
}

func (l *link) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	if !l.way.debit {
		return nil, errUnreachable
	}
	l.tally.calls.Add(1)
	l.asked.Store(req.RequestId, true)
	time.Sleep(peerDelay)
	reply, err := l.network.Debit(ctx, address, req)
	time.Sleep(peerDelay)
	return reply, err
}

func (l *link) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	if !l.way.even {
		return nil, errUnreachable
	}
	l.tally.calls.Add(1)
	time.Sleep(peerDelay)
	reply, err := l.network.Levels(ctx, address, req)
	time.Sleep(peerDelay)
	return reply, err
}

// run sends Poisson traffic of a share of the rate to the site, and compares
// each refusal with one exact bucket for all.
func (w way) run(seed uint64, at site, result *tally) {
	addresses := fleet(at.owners)
	x := newTester(addresses, snapshotOf(tableOf(1, addresses...), badges))
	links := &link{network: x.peers, way: w, tally: result, asked: &sync.Map{}}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, l := range x.peers {
		l.peers, l.wait = links, w.wait
		group.Go(func() { _ = l.Run(ctx) })
	}
	time.Sleep(4 * time.Second)
	exact := &bucket{own: share{burst: badges.Burst, rate: badges.Rate}, level: badges.Burst}
	random := rand.New(rand.NewPCG(seed, 1))
	began := time.Now()
	for n := 0; time.Since(began) < trialTime; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * meanCost / (at.load * float64(badges.Rate)) * float64(time.Second)))
		cost := int64(min(maxCost, 1+random.ExpFloat64()*meanCost))
		_, conforms := exact.take(moment{refill: time.Since(began)}, cost)
		to := addresses[0]
		if at.spread {
			to = addresses[random.IntN(at.owners)]
		}
		group.Go(func() { w.request(x.peers[to], links, fmt.Sprint(n), cost, conforms) })
	}
	time.Sleep(time.Second)
	cancel()
	group.Wait()
}

func (w way) request(l *Local, links *link, id string, cost int64, conforms bool) {
	_, err := l.Acquire(context.Background(), badges.Name, cost, id)
	links.tally.requests.Add(1)
	if err != nil {
		links.tally.refused.Add(1)
	}
	if err != nil && conforms {
		links.tally.wrongful.Add(1)
	}
	if _, ok := links.asked.Load(id); ok {
		links.tally.peers.Add(1)
	}
}

// The ways to share a bucket, in the order in which they are to refuse less.
// Waiting admits requests that the exact bucket refuses, so that its wrongful
// refusals are shown but not compared.
func TestWrongfulRefusals(t *testing.T) {
	t.Parallel()
	sites := []site{
		{3, false, 0.95}, {3, false, 0.80},
		{3, true, 0.80}, {8, false, 0.80}, {8, true, 0.80},
	}
	for _, at := range sites {
		last := int64(1 << 62)
		for _, w := range []way{fixedShares, debitsAlone, evenedOut, allOfIt} {
			result := &tally{}
			for seed := range uint64(trialSeeds) {
				synctest.Test(t, func(*testing.T) { w.run(seed, at, result) })
			}
			t.Logf("%v: %-24s %v", at, w.name, result)
			if w.wait > 0 {
				continue
			}
			if got := result.wrongful.Load(); got > last {
				t.Errorf("%v: %s refuses %d requests wrongly, more than the way before (%d)", at, w.name, got, last)
			}
			last = result.wrongful.Load()
		}
	}
}
