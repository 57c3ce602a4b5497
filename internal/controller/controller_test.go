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
	// takeoverWithin bounds the time until another router holds a lapsed lease.
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
		{"one engine holds one version", 1, true, "v1"}, // its model would not be served meanwhile
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inWorld(t, c.engines, c.single, func(w *world) {
				a := w.start("a", nil, nil)
				w.eventually(takeoverWithin, "a controller", a.Holding)
				a.Publish(w.snapshot("v2"))
				for range rolloutWithin / checkTick {
					time.Sleep(checkTick)
					if !c.single && w.someLack("v1") && w.someLack("v2") {
						t.Fatal("an engine gave up the old version before all held the new one")
					}
				}
				if !w.allHold(c.want) {
					t.Errorf("the engines hold %v", w.engines[0].loaded())
				}
				if c.want == "v2" && w.begun() != 2*c.engines { // the model and its adapter
					t.Errorf("%d loads for %d engines", w.begun(), c.engines)
				}
			})
		})
	}
}

func TestUnreachableServerDoesNotHoldUpTheOthers(t *testing.T) {
	inWorld(t, 4, false, func(w *world) {
		w.cutOff(address(0))
		a := w.start("a", nil, nil)
		a.Publish(w.snapshot("v2"))
		time.Sleep(rolloutWithin)
		for _, e := range w.engines[1:] {
			if got := e.loaded(); len(got) != 1 || got[0] != "v2" {
				t.Errorf("a reachable engine holds %v", got)
			}
		}
		w.cutOff("")
		w.eventually(rolloutWithin, "the last engine follows", func() bool { return w.allHold("v2") })
	})
}

func TestOldVersionStaysUntilAnotherServerHoldsTheNew(t *testing.T) {
	inWorld(t, 2, false, func(w *world) {
		w.cutOff(address(1))
		a := w.start("a", nil, nil)
		a.Publish(w.snapshot("v2"))
		time.Sleep(rolloutWithin)
		if got := w.engines[0].loaded(); !slices.Equal(got, []string{"v1", "v2"}) {
			t.Errorf("the only engine that is reached holds %v", got)
		}
		w.cutOff("")
		w.eventually(rolloutWithin, "the rollout ends", func() bool { return w.allHold("v2") })
	})
}

func TestServerWithAnotherFenceDoesNotHoldUpTheOthers(t *testing.T) {
	inWorld(t, 3, false, func(w *world) {
		_, err := w.sidecars[address(0)].Order(w.ctx, &wire.OrderRequest{Fence: 1 << 40})
		if err != nil {
			t.Fatal(err)
		}
		a := w.start("a", nil, nil)
		a.Publish(w.snapshot("v2"))
		time.Sleep(rolloutWithin)
		for _, e := range w.engines[1:] {
			if got := e.loaded(); !slices.Equal(got, []string{"v2"}) {
				t.Errorf("another engine holds %v", got)
			}
		}
	})
}

func TestPausedHolderGivesNoOrder(t *testing.T) {
	inWorld(t, 3, false, func(w *world) {
		a := w.start("a", nil, nil)
		w.eventually(takeoverWithin, "a holds", a.Holding)
		a.pause()
		time.Sleep(leaseTTL + acquireInterval)
		if a.Holding() {
			t.Error("the paused router takes itself for the controller after its lease")
		}
		b := w.start("b", nil, nil)
		w.eventually(takeoverWithin, "b holds", b.Holding)
		a.Publish(w.snapshot("v3"))
		a.unpause()
		time.Sleep(rolloutWithin)
		if !w.allHold("v1") || w.begun() != 0 {
			t.Errorf("the paused router ordered %d loads", w.begun())
		}
	})
}

func TestLateOrderIsRefused(t *testing.T) {
	inWorld(t, 3, false, func(w *world) {
		a := w.start("a", nil, nil)
		w.eventually(takeoverWithin, "a holds", a.Holding)
		time.Sleep(2 * pollInterval)
		a.delayOrders(3 * leaseTTL)
		a.Publish(w.snapshot("v3"))
		time.Sleep(pollInterval) // the orders are under way
		a.pause()
		b := w.start("b", nil, nil)
		w.eventually(takeoverWithin, "b holds", b.Holding)
		time.Sleep(2 * rolloutWithin) // the late orders arrive
		if !w.allHold("v1") || w.begun() != 0 {
			t.Errorf("%d late loads ran", w.begun())
		}
		a.unpause()
	})
}

func TestLoadsOfAnEarlierHolderCount(t *testing.T) {
	inWorld(t, 6, false, func(w *world) {
		a := w.start("a", nil, nil)
		w.eventually(takeoverWithin, "a holds", a.Holding)
		a.Publish(w.snapshot("v2"))
		w.eventually(rolloutWithin, "loads run", func() bool { return a.running.Load() == maxLoads })
		a.cancel() // hands the lease back while its loads run
		b := w.start("b", nil, nil)
		b.Publish(w.snapshot("v2"))
		w.eventually(2*rolloutWithin, "the rollout ends", func() bool { return w.allHold("v2") })
	})
}

func TestAtMostOneController(t *testing.T) {
	inWorld(t, 2, false, func(w *world) {
		a, b := w.start("a", nil, nil), w.start("b", nil, nil)
		var last platform.Version
		for range 3 {
			w.eventually(takeoverWithin, "a controller", func() bool { return a.Holding() || b.Holding() })
			if a.Holding() && b.Holding() {
				t.Fatal("two controllers")
			}
			holder := a
			if b.Holding() {
				holder = b
			}
			if fence := holder.holding.Load().Fence(); fence <= last {
				t.Errorf("fence %d after %d", fence, last)
			} else {
				last = fence
			}
			drained := w.snapshot("v1")
			drained.Draining = true
			holder.Publish(drained)
			w.eventually(time.Second, "the lease is given back", func() bool { return !holder.Holding() })
			w.eventually(2*acquireInterval, "the other takes over", func() bool { return a.Holding() || b.Holding() })
			holder.Publish(w.snapshot("v1"))
		}
	})
}

// lossyKV loses the answer to each write of a key once.
type lossyKV struct {
	platform.KV
	lost map[string]bool
}

func (k *lossyKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	version, err := k.KV.CompareAndSwap(ctx, key, value, expected, lease)
	if err == nil && !k.lost[key] {
		k.lost[key] = true
		return 0, errors.Wrap(platform.ErrUnsure, "answer lost")
	}
	return version, err
}

func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	inWorld(t, 2, false, func(w *world) {
		a := w.start("a", &lossyKV{KV: w.kv, lost: make(map[string]bool)}, nil)
		w.eventually(time.Second, "a holds at the first try", a.Holding)
		entry, err := w.kv.Get(w.ctx, leaseKey("test"))
		if err != nil || entry.Version != a.holding.Load().Fence() {
			t.Errorf("lease key %+v, %v; fence %d", entry, err, a.holding.Load().Fence())
		}
	})
}

func TestOutageStopsOrders(t *testing.T) {
	const engines = 6
	for _, after := range []int{3, 2 * engines} { // among the loads, and before the unloads
		inWorld(t, engines, false, func(w *world) {
			a := w.start("a", nil, nil)
			w.eventually(takeoverWithin, "a holds", a.Holding)
			a.Publish(w.snapshot("v2"))
			w.eventually(rolloutWithin, "the rollout is under way", func() bool { return w.begun() >= after })
			w.kv.SetFaults(kv.Faults{Down: true})
			time.Sleep(renewInterval)
			before := w.orders.Load()
			time.Sleep(rolloutWithin)
			if given := w.orders.Load() - before; given != 0 || a.Holding() {
				t.Errorf("after %d loads: %d orders in the outage, holding %t", after, given, a.Holding())
			}
			w.kv.SetFaults(kv.Faults{})
			w.eventually(2*rolloutWithin, "the rollout ends", func() bool { return w.allHold("v2") })
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

func TestWeightsThatTheStoreLacksAreNotOrdered(t *testing.T) {
	inWorld(t, 3, false, func(w *world) {
		before := logged("does not have these weights")
		held := weightstore.New(version("v1"))
		store := &countingStore{WeightStore: held}
		a := w.start("a", nil, store)
		a.Publish(w.snapshot("v2"))
		time.Sleep(rolloutWithin)
		if lines := logged("does not have these weights") - before; w.begun() != 0 || lines != 1 {
			t.Errorf("%d loads, %d log lines", w.begun(), lines)
		}
		if calls := store.calls.Load(); calls > int64(rolloutWithin/storeInterval)+1 {
			t.Errorf("%d calls of the weight store", calls)
		}
		held.SetFaults(fault.Faults{Down: true})
		held.Add(version("v2"))
		held.Add(weights{Model: modelName, Adapter: adapterName, Version: "v2"})
		time.Sleep(rolloutWithin)
		held.SetFaults(fault.Faults{})
		w.eventually(rolloutWithin, "the rollout ends", func() bool { return w.allHold("v2") })
	})
}

// logged counts the log lines that hold text.
func logged(text string) int {
	n := 0
	for _, entry := range lines.Entries {
		if strings.HasPrefix(entry.Message, "controller: ") && strings.Contains(entry.Message, text) {
			n++
		}
	}
	return n
}
