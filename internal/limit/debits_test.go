package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// still has no refill, so that its tokens can be counted.
var still = config.Workspace{Name: "badges", Burst: 60_000}

// delayedNetwork delays the responses of each peer.
type delayedNetwork struct {
	network
	mu     sync.Mutex
	delays map[string]time.Duration
}

func (n *delayedNetwork) set(address string, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[address] = delay
}

// respond waits for the response; one after the end of ctx does not arrive.
func (n *delayedNetwork) respond(ctx context.Context, address string) error {
	n.mu.Lock()
	delay := n.delays[address]
	n.mu.Unlock()
	select {
	case <-time.After(delay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *delayedNetwork) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	reply, _ := n.network.Debit(ctx, address, req)
	return reply, n.respond(ctx, address)
}

func (n *delayedNetwork) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	reply, _ := n.network.Levels(ctx, address, req)
	return reply, n.respond(ctx, address)
}

// newDelayedCluster returns a cluster in which each owner has the given level, and "a" is a
// gateway that has measured the others' response time.
func newDelayedCluster(ctx context.Context, w config.Workspace, level int64, owners ...string) (*cluster, *delayedNetwork) {
	x := newCluster(append([]string{"a"}, owners...), snapshotOf(tableOf(1, owners...), w))
	n := &delayedNetwork{network: x.peers, delays: map[string]time.Duration{}}
	for _, address := range owners {
		x.peers[address].state.Load().buckets[w.Name].level = level
		n.delays[address] = time.Millisecond
	}
	for _, l := range x.peers {
		l.peers, l.wait, l.rebalanceInterval, l.refusalTime = n, gatewayWait, gatewayInterval, gatewayRefusalTime
		go func() { _ = l.Run(ctx) }()
	}
	time.Sleep(2 * time.Second)
	return x, n
}

func (c *cluster) tokens() int64 {
	sum := int64(0)
	for _, l := range c.peers {
		b := l.state.Load().buckets[badges.Name]
		b.mu.Lock()
		sum += b.level
		b.mu.Unlock()
	}
	return sum
}

// Guards against tokens that stay with a request which needed them no more, and against
// tokens of a late response that are used twice.
func TestUnneededTokensAreReturned(t *testing.T) {
	cases := []struct {
		name  string
		delay time.Duration // of the responses of b and c
		cost  int64
		least int64 // tokens that are left afterwards
	}{
		{"all in time", time.Millisecond, 30_000, 15_000},
		{"late, after the others were asked", 100 * time.Millisecond, 15_000, 30_000},
		{"late, and the request is refused", 100 * time.Millisecond, 44_000, 45_000},
		{"after the time-out, lost", callTimeout + time.Millisecond, 15_000, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				x, n := newDelayedCluster(ctx, still, 15_000, "b", "c", "d")
				n.set("b", c.delay)
				n.set("c", c.delay)
				before, began := x.tokens(), time.Now()
				grant, err := x.peers["a"].Acquire(ctx, "badges", c.cost, "r")
				if held := time.Since(began); held > 100*time.Millisecond {
					t.Errorf("decided after %v, want at most 100ms", held)
				}
				if err == nil {
					drawn := int64(0)
					for _, d := range grant.Draws() {
						drawn += d.Tokens
					}
					if drawn != c.cost {
						t.Errorf("draws of %d tokens, want %d", drawn, c.cost)
					}
					before -= c.cost
				}
				time.Sleep(2 * time.Second)
				if after := x.tokens(); after < c.least || after > before {
					t.Errorf("%d tokens afterwards, want %d to %d", after, c.least, before)
				}
			})
		})
	}
}

// Guards against requests that wait for owners which are known not to respond, and against
// owners that stay left out after they respond again.
func TestAllOwnersCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		x, n := newDelayedCluster(ctx, badges, 0, "b", "c")
		n.set("b", time.Minute)
		n.set("c", time.Minute)
		for i, most := range []time.Duration{gatewayRefusalTime, 0, 0} {
			began := time.Now()
			_, err := x.peers["a"].Acquire(ctx, "badges", 9_000, "r")
			wantCode(t, err, verdict.CodeStoreUnavailable)
			if held := time.Since(began); held > most {
				t.Errorf("request %d: held %v, want at most %v", i, held, most)
			}
			time.Sleep(time.Second)
		}
		n.set("b", time.Millisecond)
		time.Sleep(callTimeout + 2*probeInterval)
		if _, err := x.peers["a"].Acquire(ctx, "badges", 9_000, "r"); err != nil {
			t.Errorf("after an owner responds again: %v", err)
		}
	})
}
