package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

const (
	overloadGateways   = 24
	overloadTime       = 20 * time.Second
	outageStart        = 4 * time.Second
	outageTime         = 12 * time.Second
	gatewayInterval    = 200 * time.Millisecond // between two rebalances
	gatewayWait        = 300 * time.Millisecond
	gatewayRefusalTime = 80 * time.Millisecond
)

var heavy = config.Workspace{Name: "heavy", Rate: 180_000, Burst: 360_000}

// overload is a replay of one workspace's requests at gateways of which a third is
// cut off or paused for a while.
type overload struct {
	load      float64 // offered tokens, as a multiple of the rate
	outage    bool
	paused    bool // calls reach the other side, and their responses are lost
	delay     time.Duration
	addresses []string
	cluster   *cluster

	mu         sync.Mutex
	out        map[string]bool // gateways cut off
	held       []time.Duration // refused requests at gateways in contact
	retryAfter []time.Duration
	requests   int
	wrongful   int // refused, although the rate allows them
	admissions []*admission
}

// overloadPeers are the calls of one gateway.
type overloadPeers struct {
	network
	self   string
	replay *overload
}

// call delivers a message, or blocks until the call's time-out if one side is cut off.
func (p *overloadPeers) call(ctx context.Context, address string, deliver func()) error {
	time.Sleep(p.replay.delay)
	lost := p.replay.separated(p.self, address)
	if !lost || p.replay.paused {
		deliver()
	}
	time.Sleep(p.replay.delay)
	if lost || p.replay.separated(p.self, address) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (o *overload) separated(a, b string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.out[a] != o.out[b]
}

func (p *overloadPeers) Debit(ctx context.Context, address string, req *wire.DebitRequest) (reply *wire.DebitReply, err error) {
	err = p.call(ctx, address, func() { reply, _ = p.network.Debit(ctx, address, req) })
	return reply, err
}

func (p *overloadPeers) Credit(ctx context.Context, address string, req *wire.CreditRequest) (reply *wire.CreditReply, err error) {
	err = p.call(ctx, address, func() { reply, _ = p.network.Credit(ctx, address, req) })
	return reply, err
}

func (p *overloadPeers) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (reply *wire.LevelsReply, err error) {
	err = p.call(ctx, address, func() { reply, _ = p.network.Levels(ctx, address, req) })
	return reply, err
}

// gatewayTable assigns shards as roster.Members does.
func gatewayTable(addresses []string) *shard.Table {
	t := &shard.Table{Epoch: 1}
	for i := range t.Owners {
		t.Owners[i].Address = addresses[(i/8+i%8)%len(addresses)]
		t.Owners[i].SinceEpoch = 1
	}
	return t
}

// run replays the load. A refusal is wrongful if one exact bucket for all gateways would
// admit the request; requests at gateways that are cut off are not judged.
func (o *overload) run(seed uint64) {
	o.addresses = routerAddresses(overloadGateways)
	o.out = map[string]bool{}
	o.cluster = newCluster(o.addresses, snapshotOf(gatewayTable(o.addresses), heavy))
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for address, l := range o.cluster.peers {
		o.configure(l, address)
		group.Go(func() { _ = l.Run(ctx) })
	}
	time.Sleep(4 * time.Second)
	random := rand.New(rand.NewPCG(seed, 1))
	exact := &bucket{own: limitsOf(&heavy), level: heavy.Burst}
	began := time.Now()
	for n := 0; time.Since(began) < overloadTime; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() * 13_500 / (o.load * float64(heavy.Rate)) * float64(time.Second)))
		o.setOutage(time.Since(began))
		cost := 9_000 + random.Int64N(9_001)
		_, conforms := exact.take(clockReading{refill: time.Since(began)}, cost)
		to := o.addresses[random.IntN(len(o.addresses))]
		group.Go(func() { o.request(to, fmt.Sprint(n), cost, conforms) })
	}
	time.Sleep(time.Second)
	cancel()
	group.Wait()
}

func (o *overload) configure(l *Local, address string) {
	l.peers = &overloadPeers{network: o.cluster.peers, self: address, replay: o}
	l.wait, l.rebalanceInterval, l.refusalTime = gatewayWait, gatewayInterval, gatewayRefusalTime
}

// setOutage cuts off a third of the gateways from the others during the outage.
func (o *overload) setOutage(elapsed time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for i, address := range o.addresses {
		o.out[address] = o.outage && i%3 == 0 && elapsed >= outageStart && elapsed < outageStart+outageTime
	}
}

func (o *overload) request(to, id string, cost int64, conforms bool) {
	began := time.Now()
	_, err := o.cluster.peers[to].Acquire(context.Background(), heavy.Name, cost, id)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.admissions = append(o.admissions, &admission{at: time.Now(), tokens: cost})
	}
	if o.out[to] {
		return
	}
	o.requests++
	if err == nil {
		return
	}
	o.held = append(o.held, time.Since(began))
	o.retryAfter = append(o.retryAfter, verdict.From(err).RetryAfter)
	if conforms {
		o.wrongful++
	}
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1))]
}

func (o *overload) String() string {
	return fmt.Sprintf("%d requests, %d refused, held %v at the median, %v at p99, %v at most; %d wrongly",
		o.requests, len(o.held), quantile(o.held, 0.5), quantile(o.held, 0.99), quantile(o.held, 1), o.wrongful)
}

// Guards against refusals that are held by debits from owners that don't respond, and
// against refusals inside the rate while the gateways are in contact.
func TestRefusalsAreDecidedInTime(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name           string
		load           float64
		outage, paused bool
		delay          time.Duration
		wrongful       int // -1: not bounded, since tokens of owners that are cut off are missing
	}{
		{"five times the rate", 5, false, false, time.Millisecond, -1},
		{"five times the rate, a third cut off", 5, true, false, time.Millisecond, -1},
		{"five times the rate, a third paused", 5, true, true, time.Millisecond, -1},
		{"four fifths of the rate", 0.8, false, false, time.Millisecond, 0},
		{"four fifths of the rate, distant gateways", 0.8, false, false, 70 * time.Millisecond, 0},
		{"half the rate, a third cut off", 0.5, true, false, time.Millisecond, 0},
	}
	for _, c := range cases {
		for seed := range uint64(3) {
			o := &overload{load: c.load, outage: c.outage, paused: c.paused, delay: c.delay}
			synctest.Test(t, func(*testing.T) { o.run(seed) })
			t.Logf("%s, seed %d: %v", c.name, seed, o)
			if p99 := quantile(o.held, 0.99); c.delay == time.Millisecond && p99 > 100*time.Millisecond {
				t.Errorf("%s, seed %d: a refusal is held %v at the 99th percentile, want at most 100ms", c.name, seed, p99)
			}
			if c.wrongful >= 0 && o.wrongful > c.wrongful {
				t.Errorf("%s, seed %d: %d requests inside the rate refused", c.name, seed, o.wrongful)
			}
			// Admissions are dated at the grant, at most one wait after the draw.
			limits := heavy
			limits.Burst += int64(gatewayWait.Seconds() * float64(heavy.Rate))
			if excess := maxExcess(o.admissions, limits); excess > 0 {
				t.Errorf("%s, seed %d: admitted %d tokens above the bound", c.name, seed, excess)
			}
		}
	}
}
