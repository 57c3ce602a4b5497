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
	log.SetHandler(lines)
	goleak.VerifyTestMain(m)
}

// lines are the log of all tests.
var lines = memory.New()

const (
	modelName   = "m"
	adapterName = "names"
	loadTime    = 2 * time.Second
	checkTick   = 10 * time.Millisecond
)

func version(v string) weights { return weights{Model: modelName, Version: v} }

// testEngine is a model engine that ignores fencing numbers.
type testEngine struct {
	*model.Engine
	world  *world
	single bool // refuses to hold two versions of a model

	mu      sync.Mutex
	highest uint64 // fencing number
}

func (e *testEngine) Apply(ctx context.Context, order engine.Order) error {
	e.mu.Lock()
	if order.Fence < e.highest {
		e.world.fault("order with fence %d after %d", order.Fence, e.highest)
	}
	e.highest = max(e.highest, order.Fence)
	e.mu.Unlock()
	if order.Load != nil || order.Unload != nil {
		e.world.orders.Add(1)
	}
	if order.Load != nil {
		if e.single && e.holdsOther(*order.Load) {
			return errors.Wrap(engine.ErrRefused, "no memory")
		}
		e.world.loadBegins()
	}
	return e.Engine.Apply(ctx, order)
}

// holdsOther says whether the engine holds another version of w.
func (e *testEngine) holdsOther(w engine.LoadedWeights) bool {
	return slices.ContainsFunc(e.versions(w.Adapter), func(v string) bool { return v != w.Version })
}

// versions returns the loaded versions of the model with that adapter.
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

// world is a few engines with their sidecars, and what must hold of them.
type world struct {
	t        *testing.T
	kv       *kv.Store
	engines  []*testEngine
	sidecars map[string]*sidecar.Sidecar
	ctx      context.Context
	running  sync.WaitGroup
	orders   atomic.Int64 // that reached engines

	mu     sync.Mutex
	cut    string // address of a sidecar that can't be reached
	loads  int    // running now
	loaded int    // begun ever
	faults []string
}

// inWorld runs a test with n engines that hold v1.
func inWorld(t *testing.T, n int, single bool, test func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := &world{t: t, kv: kv.New(1), sidecars: make(map[string]*sidecar.Sidecar), ctx: ctx}
		for i := range n {
			e := &testEngine{world: w, single: single, Engine: model.New(model.Options{
				Loaded: []engine.LoadedWeights{
					{Model: modelName, Version: "v1"}, {Model: modelName, Adapter: adapterName, Version: "v1"},
				},
				LoadTime: loadTime,
			})}
			w.engines = append(w.engines, e)
			w.sidecars[address(i)] = sidecar.New(sidecar.Options{
				Settings: &config.SidecarSettings{Kind: config.GroupEngines, Group: "engines", MaxConcurrent: 1},
				Source:   control.NewCell(&control.Snapshot{View: membership.NewView(nil)}),
				KV:       w.kv,
				Engine:   e,
			})
		}
		w.running.Go(func() { w.watch(ctx) })
		test(w)
		cancel()
		w.running.Wait()
		time.Sleep(time.Minute) // late orders arrive, loads end
		for _, e := range w.engines {
			e.Close()
		}
		for _, fault := range slices.Compact(w.faults) {
			t.Error(fault)
		}
	})
}

func address(i int) string { return fmt.Sprintf("engine-%d:1", i) }

func (w *world) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) loadBegins() {
	w.mu.Lock()
	w.loads++
	w.loaded++
	now := w.loads
	w.mu.Unlock()
	if now > maxLoads {
		w.fault("%d loads at once", now)
	}
	time.AfterFunc(loadTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.loads--
	})
}

// begun returns the number of loads that ever began.
func (w *world) begun() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded
}

// reach returns the sidecar at address, or nil if it can't be reached.
func (w *world) reach(address string) *sidecar.Sidecar {
	w.mu.Lock()
	defer w.mu.Unlock()
	if address == w.cut {
		return nil
	}
	return w.sidecars[address]
}

func (w *world) cutOff(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = address
}

// watch checks at all times that the model is served, and by which versions.
func (w *world) watch(ctx context.Context) {
	for ctx.Err() == nil {
		empty, serving := 0, 0
		for _, e := range w.engines {
			for _, v := range e.versions(adapterName) {
				if !slices.Contains(e.loaded(), v) {
					w.fault("an adapter of %s is loaded without its base", v)
				}
			}
			if len(e.loaded()) == 0 {
				empty++
			} else {
				serving++
			}
		}
		if serving == 0 || empty > maxLoads {
			w.fault("%d engines serve the model, %d hold nothing", serving, empty)
		}
		select {
		case <-ctx.Done():
		case <-time.After(checkTick):
		}
	}
}

// someLack says whether an engine does not hold that version.
func (w *world) someLack(v string) bool {
	return slices.ContainsFunc(w.engines, func(e *testEngine) bool { return !slices.Contains(e.loaded(), v) })
}

// allHold says whether all engines hold just that version.
func (w *world) allHold(v string) bool {
	for _, e := range w.engines {
		if !slices.Equal(e.loaded(), []string{v}) || !slices.Equal(e.versions(adapterName), []string{v}) {
			return false
		}
	}
	return true
}

func (w *world) eventually(within time.Duration, what string, condition func() bool) {
	w.t.Helper()
	for range within / checkTick {
		if condition() {
			return
		}
		time.Sleep(checkTick)
	}
	w.t.Errorf("not within %v: %s", within, what)
}

// node is a router that may be the controller.
type node struct {
	*Controller
	*control.Cell
	name   string
	world  *world
	cancel context.CancelFunc

	mu     sync.Mutex
	resume chan struct{} // not nil while the process is paused
	late   time.Duration // delay of orders
}

// start starts a router. nil for kv means the world's.
func (w *world) start(name string, store platform.KV, weightStore platform.WeightStore) *node {
	ctx, cancel := context.WithCancel(w.ctx)
	n := &node{name: name, world: w, cancel: cancel, Cell: control.NewCell(w.snapshot("v1"))}
	if store == nil {
		store = w.kv
	}
	n.Controller = New(Options{
		Self: name, Environment: "test", KV: store, Weights: weightStore, Source: n, Servers: n, Timeout: time.Second,
	})
	w.running.Go(func() { n.Run(ctx) })
	return n
}

// snapshot returns control state in which the model has the given version.
func (w *world) snapshot(v string) *control.Snapshot {
	document := &config.Document{
		Models: []config.Model{
			{Name: "with-adapter", Base: modelName, Adapter: adapterName, Group: "engines", WeightsVersion: v},
			{Name: modelName, Group: "engines", WeightsVersion: v},
		},
		Groups: []config.Group{{Name: "engines", Kind: config.GroupEngines}, {Name: "desk", Kind: config.GroupService}},
	}
	document.BuildIndex()
	var vms []platform.VM
	for i := range w.engines {
		vms = append(vms, platform.VM{Name: address(i), Address: address(i), Group: "engines", State: platform.VMLive})
	}
	for _, name := range []string{"a", "b"} {
		vms = append(vms, platform.VM{Name: name, Address: name, Group: platform.GroupRouters, State: platform.VMLive})
	}
	return &control.Snapshot{Config: &config.Revision{Document: document}, View: membership.NewView(vms)}
}

// Snapshot implements control.Source. It blocks while the process is paused.
func (n *node) Snapshot() *control.Snapshot {
	n.mu.Lock()
	paused := n.resume
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	return n.Cell.Snapshot()
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resume = make(chan struct{})
}

func (n *node) unpause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.resume)
	n.resume = nil
}

func (n *node) delayOrders(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.late = d
}

// GetLoad implements Servers.
func (n *node) GetLoad(ctx context.Context, address string) (*wire.Load, error) {
	s := n.world.reach(address)
	if s == nil {
		return nil, errors.Wrap(rpc.ErrDial, address)
	}
	return s.GetLoad(ctx, &wire.LoadRequest{})
}

// Order implements Servers.
func (n *node) Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	s := n.world.reach(address)
	if s == nil {
		return nil, errors.Wrap(rpc.ErrDial, address)
	}
	n.mu.Lock()
	late := n.late
	n.mu.Unlock()
	if late == 0 || (req.Load == nil && req.Unload == nil) {
		return s.Order(ctx, req)
	}
	n.world.running.Go(func() {
		time.Sleep(late)
		_, _ = s.Order(context.Background(), req)
	})
	<-ctx.Done()
	return nil, ctx.Err()
}
