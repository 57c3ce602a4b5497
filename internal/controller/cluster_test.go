package controller

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
	"github.com/wasabigate/wasabigate/internal/standin/model"
)

func TestMain(m *testing.M) {
	log.SetHandler(logLines)
	goleak.VerifyTestMain(m)
}

// logLines collects the log of all tests.
var logLines = memory.New()

const (
	modelName   = "m"
	adapterName = "names"
	loadTime    = 2 * time.Second
	checkTick   = 10 * time.Millisecond
)

func version(v string) weights { return weights{Model: modelName, Version: v} }

// testEngine is a model engine that accepts orders with any fencing token,
// since its sidecar has to check them. It reports a fault if the token
// decreases.
type testEngine struct {
	*model.Engine
	cluster *cluster
	single  bool // refuses to hold two versions of a model

	mu      sync.Mutex
	highest uint64 // highest fencing token so far
}

func (e *testEngine) Apply(ctx context.Context, order engine.Order) error {
	e.mu.Lock()
	if order.Fence < e.highest {
		e.cluster.reportFault("engine got an order with fence %d after one with fence %d", order.Fence, e.highest)
	}
	e.highest = max(e.highest, order.Fence)
	e.mu.Unlock()
	if order.Load != nil || order.Unload != nil {
		e.cluster.orders.Add(1)
	}
	if order.Load != nil {
		if e.single && e.holdsOtherVersion(*order.Load) {
			return errors.Wrap(engine.ErrRefused, "no memory")
		}
		e.cluster.loadStarted()
	}
	return e.Engine.Apply(ctx, order)
}

// holdsOtherVersion reports whether the engine holds another version of w.
func (e *testEngine) holdsOtherVersion(w engine.LoadedWeights) bool {
	return slices.ContainsFunc(e.versions(w.Adapter), func(v string) bool { return v != w.Version })
}

// versions returns the loaded versions of the test model with that adapter.
func (e *testEngine) versions(adapter string) []string {
	state, err := e.State(context.Background())
	if err != nil {
		return nil
	}
	var versions []string
	for _, w := range state.Loaded {
		if w.Adapter == adapter {
			versions = append(versions, w.Version)
		}
	}
	slices.Sort(versions)
	return versions
}

// loaded returns the loaded versions of the base model.
func (e *testEngine) loaded() []string { return e.versions("") }

// cluster is a group of engines with their sidecars, whose invariants are
// checked throughout a test.
type cluster struct {
	t        *testing.T
	kv       *kv.Store
	engines  []*testEngine
	sidecars map[string]*sidecar.Sidecar
	ctx      context.Context
	running  sync.WaitGroup
	orders   atomic.Int64 // that reached engines

	mu           sync.Mutex
	disconnected string // address of an unreachable sidecar
	loads        int    // running now
	started      int    // started so far
	faults       []string
}

// runCluster runs a test with n engines that hold v1.
func runCluster(t *testing.T, n int, single bool, test func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, kv: kv.New(1), sidecars: make(map[string]*sidecar.Sidecar), ctx: ctx}
		for i := range n {
			e := &testEngine{cluster: c, single: single, Engine: model.New(model.Options{
				Loaded: []engine.LoadedWeights{
					{Model: modelName, Version: "v1"}, {Model: modelName, Adapter: adapterName, Version: "v1"},
				},
				LoadTime: loadTime,
			})}
			c.engines = append(c.engines, e)
			c.sidecars[address(i)] = sidecar.New(sidecar.Options{
				Settings: &config.SidecarSettings{Kind: config.GroupEngines, Group: "engines", MaxConcurrent: 1},
				Source:   control.NewAtomicSource(&control.Snapshot{View: membership.NewView(nil)}),
				KV:       c.kv,
				Engine:   e,
			})
		}
		c.running.Go(func() { c.checkInvariants(ctx) })
		test(c)
		cancel()
		c.running.Wait()
		time.Sleep(time.Minute) // delayed orders arrive and loads end
		for _, e := range c.engines {
			e.Close()
		}
		for _, fault := range slices.Compact(c.faults) {
			t.Error(fault)
		}
	})
}

func address(i int) string { return fmt.Sprintf("engine-%d:1", i) }

func (c *cluster) reportFault(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *cluster) loadStarted() {
	c.mu.Lock()
	c.loads++
	c.started++
	now := c.loads
	c.mu.Unlock()
	if now > maxLoads {
		c.reportFault("%d loads at once", now)
	}
	time.AfterFunc(loadTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.loads--
	})
}

// startedLoads returns the number of loads started so far.
func (c *cluster) startedLoads() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started
}

// sidecarAt returns the sidecar at address, or nil if it is unreachable.
func (c *cluster) sidecarAt(address string) *sidecar.Sidecar {
	c.mu.Lock()
	defer c.mu.Unlock()
	if address == c.disconnected {
		return nil
	}
	return c.sidecars[address]
}

func (c *cluster) disconnect(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected = address
}

// checkInvariants repeatedly checks that the model is served, that at most
// maxLoads engines hold nothing, and that no adapter is loaded without its
// base.
func (c *cluster) checkInvariants(ctx context.Context) {
	for ctx.Err() == nil {
		empty, serving := 0, 0
		for _, e := range c.engines {
			for _, v := range e.versions(adapterName) {
				if !slices.Contains(e.loaded(), v) {
					c.reportFault("an adapter of %s is loaded without its base", v)
				}
			}
			if len(e.loaded()) == 0 {
				empty++
			} else {
				serving++
			}
		}
		if serving == 0 || empty > maxLoads {
			c.reportFault("%d engines serve the model, %d hold nothing", serving, empty)
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkTick):
		}
	}
}

// anyLacks reports whether any engine does not hold that version.
func (c *cluster) anyLacks(v string) bool {
	return slices.ContainsFunc(c.engines, func(e *testEngine) bool { return !slices.Contains(e.loaded(), v) })
}

// allHold reports whether all engines hold that version only.
func (c *cluster) allHold(v string) bool {
	for _, e := range c.engines {
		if !slices.Equal(e.loaded(), []string{v}) || !slices.Equal(e.versions(adapterName), []string{v}) {
			return false
		}
	}
	return true
}

func (c *cluster) eventually(within time.Duration, what string, condition func() bool) {
	c.t.Helper()
	for range within / checkTick {
		if condition() {
			return
		}
		time.Sleep(checkTick)
	}
	c.t.Errorf("not within %v: %s", within, what)
}

// testRouter is a router with a controller.
type testRouter struct {
	*Controller
	*control.AtomicSource
	name    string
	cluster *cluster
	cancel  context.CancelFunc

	mu         sync.Mutex
	resume     chan struct{} // non-nil while the router is paused
	orderDelay time.Duration // delay of orders
}

// start starts a router. A nil store means that of the cluster.
func (c *cluster) start(name string, store platform.KV, weightStore platform.WeightStore) *testRouter {
	ctx, cancel := context.WithCancel(c.ctx)
	r := &testRouter{name: name, cluster: c, cancel: cancel, AtomicSource: control.NewAtomicSource(c.snapshot("v1"))}
	if store == nil {
		store = c.kv
	}
	r.Controller = New(Options{
		Self: name, Environment: "test", KV: store, Weights: weightStore, Source: r, SidecarClient: r, Timeout: time.Second,
	})
	c.running.Go(func() { r.Run(ctx) })
	return r
}

// snapshot returns a control snapshot in which the model has the given target
// version.
func (c *cluster) snapshot(v string) *control.Snapshot {
	document := &config.Document{
		Models: []config.Model{
			{Name: "with-adapter", Base: modelName, Adapter: adapterName, Group: "engines", WeightsVersion: v},
			{Name: modelName, Group: "engines", WeightsVersion: v},
		},
		Groups: []config.Group{{Name: "engines", Kind: config.GroupEngines}, {Name: "desk", Kind: config.GroupService}},
	}
	document.BuildIndex()
	var vms []platform.VM
	for i := range c.engines {
		vms = append(vms, platform.VM{Name: address(i), Address: address(i), Group: "engines", State: platform.VMLive})
	}
	for _, name := range []string{"a", "b"} {
		vms = append(vms, platform.VM{Name: name, Address: name, Group: platform.GroupRouters, State: platform.VMLive})
	}
	return &control.Snapshot{Config: &config.Revision{Document: document}, View: membership.NewView(vms)}
}

// Snapshot implements control.Source. It blocks while the router is paused.
func (r *testRouter) Snapshot() *control.Snapshot {
	r.mu.Lock()
	paused := r.resume
	r.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return r.AtomicSource.Snapshot()
}

func (r *testRouter) pause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resume = make(chan struct{})
}

func (r *testRouter) unpause() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.resume)
	r.resume = nil
}

func (r *testRouter) delayOrders(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orderDelay = d
}

// GetLoad implements SidecarClient.
func (r *testRouter) GetLoad(ctx context.Context, address string) (*wire.Load, error) {
	s := r.cluster.sidecarAt(address)
	if s == nil {
		return nil, errors.Wrap(rpc.ErrDial, address)
	}
	return s.GetLoad(ctx, &wire.LoadRequest{})
}

// Order implements SidecarClient.
func (r *testRouter) Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	s := r.cluster.sidecarAt(address)
	if s == nil {
		return nil, errors.Wrap(rpc.ErrDial, address)
	}
	r.mu.Lock()
	orderDelay := r.orderDelay
	r.mu.Unlock()
	if orderDelay == 0 || (req.Load == nil && req.Unload == nil) {
		return s.Order(ctx, req)
	}
	r.cluster.running.Go(func() {
		time.Sleep(orderDelay)
		_, _ = s.Order(context.Background(), req)
	})
	<-ctx.Done()
	return nil, ctx.Err()
}
