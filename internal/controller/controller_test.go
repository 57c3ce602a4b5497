package controller

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	weightstore "github.com/wasabigate/wasabigate/internal/standin/weights"
)

const (
	// takeoverWithin limits the time until another router holds an expired
	// lease.
	takeoverWithin = leaseTTL + 2*acquireInterval
	rolloutWithin  = time.Minute
)

func TestRollout(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		single  bool // engines hold one version at a time
		want    string
	}{
		{"loaded beside the old version", 5, false, "v2"},
		{"one engine", 1, false, "v2"},
		{"engines hold one version", 5, true, "v2"},
		{"two engines hold one version", 2, true, "v2"},
		{"one engine holds one version", 1, true, "v1"}, // unloading it would leave the model unserved
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			runCluster(t, tc.engines, tc.single, func(c *cluster) {
				a := c.start("a", nil, nil)
				c.eventually(takeoverWithin, "a controller", a.HoldsLease)
				a.Publish(c.snapshot("v2"))
				for range rolloutWithin / checkTick {
					time.Sleep(checkTick)
					if !tc.single && c.anyLacks("v1") && c.anyLacks("v2") {
						t.Fatal("an engine unloaded the old version before all engines held the new one")
					}
				}
				if !c.allHold(tc.want) {
					t.Errorf("the engines hold %v", c.engines[0].loaded())
				}
				if tc.want == "v2" && c.startedLoads() != 2*tc.engines { // the model and its adapter
					t.Errorf("%d loads started for %d engines", c.startedLoads(), tc.engines)
				}
			})
		})
	}
}

func TestUnreachableServerDoesNotBlockRollout(t *testing.T) {
	runCluster(t, 4, false, func(c *cluster) {
		c.disconnect(address(0))
		a := c.start("a", nil, nil)
		a.Publish(c.snapshot("v2"))
		time.Sleep(rolloutWithin)
		for _, e := range c.engines[1:] {
			if got := e.loaded(); len(got) != 1 || got[0] != "v2" {
				t.Errorf("a reachable engine holds %v", got)
			}
		}
		c.disconnect("")
		c.eventually(rolloutWithin, "the unreachable engine catches up", func() bool { return c.allHold("v2") })
	})
}

func TestOldVersionStaysUntilAnotherServerHoldsNewVersion(t *testing.T) {
	runCluster(t, 2, false, func(c *cluster) {
		c.disconnect(address(1))
		a := c.start("a", nil, nil)
		a.Publish(c.snapshot("v2"))
		time.Sleep(rolloutWithin)
		if got := c.engines[0].loaded(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("the only reachable engine holds %v", got)
		}
		c.disconnect("")
		c.eventually(rolloutWithin, "the rollout ends", func() bool { return c.allHold("v2") })
	})
}

func TestServerWithHigherFenceDoesNotBlockRollout(t *testing.T) {
	runCluster(t, 3, false, func(c *cluster) {
		_, err := c.sidecars[address(0)].Order(c.ctx, &wire.OrderRequest{Fence: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		a := c.start("a", nil, nil)
		a.Publish(c.snapshot("v2"))
		time.Sleep(rolloutWithin)
		for _, e := range c.engines[1:] {
			if got := e.loaded(); !slices.Equal(got, []string{"v2"}) {
				t.Errorf("another engine holds %v", got)
			}
		}
	})
}

func TestPausedHolderSendsNoOrders(t *testing.T) {
	runCluster(t, 3, false, func(c *cluster) {
		a := c.start("a", nil, nil)
		c.eventually(takeoverWithin, "a holds the lease", a.HoldsLease)
		a.pause()
		time.Sleep(leaseTTL + acquireInterval)
		if a.HoldsLease() {
			t.Error("the paused router still counts as the controller after its lease expired")
		}
		b := c.start("b", nil, nil)
		c.eventually(takeoverWithin, "b holds the lease", b.HoldsLease)
		a.Publish(c.snapshot("v3"))
		a.unpause()
		time.Sleep(rolloutWithin)
		if !c.allHold("v1") || c.startedLoads() != 0 {
			t.Errorf("the paused router ordered %d loads", c.startedLoads())
		}
	})
}

func TestLateOrderIsRefused(t *testing.T) {
	runCluster(t, 3, false, func(c *cluster) {
		a := c.start("a", nil, nil)
		c.eventually(takeoverWithin, "a holds the lease", a.HoldsLease)
		time.Sleep(2 * pollInterval)
		a.delayOrders(3 * leaseTTL)
		a.Publish(c.snapshot("v3"))
		time.Sleep(pollInterval) // the orders are sent but delayed
		a.pause()
		b := c.start("b", nil, nil)
		c.eventually(takeoverWithin, "b holds the lease", b.HoldsLease)
		time.Sleep(2 * rolloutWithin) // the delayed orders arrive
		if !c.allHold("v1") || c.startedLoads() != 0 {
			t.Errorf("%d delayed loads ran", c.startedLoads())
		}
		a.unpause()
	})
}

func TestLoadsOfPreviousHolderCountTowardsLimit(t *testing.T) {
	runCluster(t, 6, false, func(c *cluster) {
		a := c.start("a", nil, nil)
		c.eventually(takeoverWithin, "a holds the lease", a.HoldsLease)
		a.Publish(c.snapshot("v2"))
		c.eventually(rolloutWithin, "loads run", func() bool { return a.runningLoads.Load() == maxLoads })
		a.cancel() // releases the lease while its loads run
		b := c.start("b", nil, nil)
		b.Publish(c.snapshot("v2"))
		c.eventually(2*rolloutWithin, "the rollout ends", func() bool { return c.allHold("v2") })
	})
}

func TestAtMostOneController(t *testing.T) {
	runCluster(t, 2, false, func(c *cluster) {
		a, b := c.start("a", nil, nil), c.start("b", nil, nil)
		var last platform.Version
		for range 3 {
			c.eventually(takeoverWithin, "a controller", func() bool { return a.HoldsLease() || b.HoldsLease() })
			if a.HoldsLease() && b.HoldsLease() {
				t.Fatal("two controllers")
			}
			holder := a
			if b.HoldsLease() {
				holder = b
			}
			if fence := holder.heldTerm.Load().Fence(); fence <= last {
				t.Errorf("fence %d after %d", fence, last)
			} else {
				last = fence
			}
			drained := c.snapshot("v1")
			drained.Draining = true
			holder.Publish(drained)
			c.eventually(time.Second, "the lease is released", func() bool { return !holder.HoldsLease() })
			c.eventually(2*acquireInterval, "the other takes over", func() bool { return a.HoldsLease() || b.HoldsLease() })
			holder.Publish(c.snapshot("v1"))
		}
	})
}

// lossyKV loses the reply to the first write of each key.
type lossyKV struct {
	platform.KV
	lost map[string]bool
}

func (k *lossyKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := k.KV.CompareAndSwap(ctx, key, value, expected, lease)
	if err == nil && !k.lost[key] {
		k.lost[key] = true
		return 0, errors.Wrap(platform.ErrOutcomeUnknown, "reply lost")
	}
	return version, err
}

func TestLostRepliesAreResolvedByReading(t *testing.T) {
	runCluster(t, 2, false, func(c *cluster) {
		a := c.start("a", &lossyKV{KV: c.kv, lost: make(map[string]bool)}, nil)
		c.eventually(time.Second, "a holds the lease at the first attempt", a.HoldsLease)
		entry, err := c.kv.Get(c.ctx, leaseKey("test"))
		if err != nil || entry.Version != a.heldTerm.Load().Fence() {
			t.Errorf("lease key %+v, %v; fence %d", entry, err, a.heldTerm.Load().Fence())
		}
	})
}

func TestOutageStopsOrders(t *testing.T) {
	const engines = 6
	for _, after := range []int{3, 2 * engines} { // during the loads, and before the unloads
		runCluster(t, engines, false, func(c *cluster) {
			a := c.start("a", nil, nil)
			c.eventually(takeoverWithin, "a holds the lease", a.HoldsLease)
			a.Publish(c.snapshot("v2"))
			c.eventually(rolloutWithin, "the rollout has begun", func() bool { return c.startedLoads() >= after })
			c.kv.SetFaults(kv.Faults{Down: true})
			time.Sleep(renewInterval)
			before := c.orders.Load()
			time.Sleep(rolloutWithin)
			if sent := c.orders.Load() - before; sent != 0 || a.HoldsLease() {
				t.Errorf("after %d loads: %d orders during the outage, holds the lease: %t", after, sent, a.HoldsLease())
			}
			c.kv.SetFaults(kv.Faults{})
			c.eventually(2*rolloutWithin, "the rollout ends", func() bool { return c.allHold("v2") })
		})
	}
}

// countingStore counts the calls of a weight store.
type countingStore struct {
	platform.WeightStore
	calls atomic.Int64
}

func (s *countingStore) Versions(ctx context.Context, model string) ([]weights, error) {
	s.calls.Add(1)
	return s.WeightStore.Versions(ctx, model)
}

func TestWeightsMissingFromStoreAreNotOrdered(t *testing.T) {
	runCluster(t, 3, false, func(c *cluster) {
		before := countLogLines("does not have these weights")
		held := weightstore.New(version("v1"))
		store := &countingStore{WeightStore: held}
		a := c.start("a", nil, store)
		a.Publish(c.snapshot("v2"))
		time.Sleep(rolloutWithin)
		if lines := countLogLines("does not have these weights") - before; c.startedLoads() != 0 || lines != 1 {
			t.Errorf("%d loads, %d log lines", c.startedLoads(), lines)
		}
		if calls := store.calls.Load(); calls > int64(rolloutWithin/storeQueryInterval)+1 {
			t.Errorf("%d calls to the weight store", calls)
		}
		held.SetFaults(fault.Faults{Down: true})
		held.Add(version("v2"))
		held.Add(weights{Model: modelName, Adapter: adapterName, Version: "v2"})
		time.Sleep(rolloutWithin)
		held.SetFaults(fault.Faults{})
		c.eventually(rolloutWithin, "the rollout ends", func() bool { return c.allHold("v2") })
	})
}

// countLogLines counts the controller's log lines that contain text.
func countLogLines(text string) int {
	n := 0
	for _, entry := range logLines.Entries {
		if strings.HasPrefix(entry.Message, "controller: ") && strings.Contains(entry.Message, text) {
			n++
		}
	}
	return n
}
