package sidecar

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// fakeEngine counts orders and returns err for each.
type fakeEngine struct {
	engine.Engine
	err    error
	orders atomic.Int64
}

func (e *fakeEngine) Apply(context.Context, engine.Order) error {
	e.orders.Add(1)
	return e.err
}

func (*fakeEngine) State(context.Context) (engine.State, error) { return engine.State{}, nil }

func TestUnloadWaitsForRequests(t *testing.T) {
	old := engine.LoadedWeights{Model: "m", Version: "v1"}
	cases := []struct {
		name    string
		running time.Duration // of a request that uses the weights
		err     error         // returned by the engine
		code    uint64
		orders  int64
		usable  bool // afterwards
	}{
		{"not in use", 0, nil, 0, 1, false},
		{"request ends", retireTimeout - time.Second, nil, 0, 1, false},
		{"request runs too long", retireTimeout + time.Second, nil, OrderBusy, 0, true},
		{"engine refuses", 0, errors.Wrap(engine.ErrRefused, "no"), OrderFailed, 1, true},
		{"engine is down", 0, errors.Wrap(engine.ErrUnreachable, "no"), OrderUnreachable, 1, true},
		{"outcome unknown", 0, errors.Wrap(engine.ErrBroken, "no"), OrderUnknown, 1, true},
		{"old fence", 0, errors.Wrap(engine.ErrStaleFence, "no"), OrderStaleFence, 1, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				backend := &fakeEngine{err: c.err}
				usage := newWeightsUsage(func() uint64 { return 1 })
				o := newOrders(backend, usage, func() error { return nil })
				if c.running > 0 && usage.acquire(old) {
					time.AfterFunc(c.running, func() { usage.release(old) })
				}
				time.AfterFunc(time.Millisecond, func() {
					if c.running > 0 && (usage.acquire(old) || backend.orders.Load() > 0) {
						t.Error("a new request or the order did not wait for the running one")
					}
				})
				err := o.apply(t.Context(), engine.Order{Fence: 1, Unload: &old})
				if drpcerr.Code(err) != c.code || (c.code == 0) != (err == nil) || backend.orders.Load() != c.orders {
					t.Errorf("%v after %d orders", err, backend.orders.Load())
				}
				reported := usage.withoutRetired([]*wire.Weights{{Model: "m", Version: "v1"}})
				if usage.acquire(old) != c.usable || (len(reported) == 1) != c.usable {
					t.Errorf("usable %t, reported %v", !c.usable, reported)
				}
				time.Sleep(2 * time.Second)
			})
		})
	}
}

func TestRetiredWeightsRestored(t *testing.T) {
	w := engine.LoadedWeights{Model: "m", Version: "v1"}
	for _, c := range []string{"loaded again", "engine restarted"} {
		incarnation := uint64(1)
		usage := newWeightsUsage(func() uint64 { return incarnation })
		o := newOrders(&fakeEngine{}, usage, func() error { return nil })
		if err := o.apply(t.Context(), engine.Order{Fence: 1, Unload: &w}); err != nil || usage.acquire(w) {
			t.Fatalf("not unloaded: %v", err)
		}
		if c == "loaded again" {
			_ = o.apply(t.Context(), engine.Order{Fence: 1, Load: &w})
		} else {
			incarnation = 2
		}
		if !usage.acquire(w) {
			t.Errorf("%s: the weights stay retired", c)
		}
	}
}
