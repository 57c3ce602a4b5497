package matrixtest

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/configstore"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/standin/kv"
)

const (
	environment = "test"
	modelName   = "greeter"
	weights     = "v1"

	// probeRate and probeBurst are the limits of the workspace under test, in
	// tokens.
	probeRate  = 4000
	probeBurst = 800

	routerCount    = 2
	serversPerKind = 2
)

// cluster is a system in one process. The test sets its control state.
type cluster struct {
	t          *testing.T
	ctx        context.Context // cancelled when the test ends
	work       sync.WaitGroup  // background work of the daemons
	kv         *kv.Store
	store      *configstore.Store
	key        string // of workspace north, which is under test
	otherKey   string // of workspace south
	engines    []*server
	services   []*server
	triggers   []*trigger
	admissions admissionCounter

	mu      sync.Mutex
	routers []*router
	config  *config.Revision
	table   *shard.Table
	view    *membership.View
	repairs []func()
}

// newCluster starts a system whose sidecars admit slots requests at once.
func newCluster(t *testing.T, slots int) *cluster {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	w := &cluster{
		t:        t,
		ctx:      ctx,
		kv:       kv.New(1),
		key:      config.NewKey("north-1"),
		otherKey: config.NewKey("south-1"),
	}
	t.Cleanup(func() { cancel(); w.work.Wait() })
	w.store = configstore.New(w.kv, environment)
	w.config = w.applyDocument(w.document(""))
	w.table = tableOf(1, routerAddress(0), routerAddress(1))
	for i := range serversPerKind {
		w.engines = append(w.engines, w.newEngine(i, slots))
		w.services = append(w.services, w.newService(i, slots))
	}
	w.view = w.fullView()
	for i := range routerCount {
		w.routers = append(w.routers, w.newRouter(i))
	}
	w.publish()
	w.awaitServing(w.servers()...)
	return w
}

func routerAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", i+1) }

// tableOf assigns the shards to the owners in turn.
func tableOf(epoch uint64, owners ...string) *shard.Table {
	table := &shard.Table{Epoch: epoch}
	for i := range table.Owners {
		table.Owners[i] = shard.Owner{Address: owners[i%len(owners)], SinceEpoch: epoch}
	}
	return table
}

func (w *cluster) servers() []*server {
	return append(append([]*server(nil), w.engines...), w.services...)
}

// fullView returns the view of all VMs.
func (w *cluster) fullView() *membership.View {
	var vms []platform.VM
	for _, s := range w.servers() {
		vms = append(vms, s.vm)
	}
	for i := range routerCount {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("router-%d", i), Address: routerAddress(i), Group: platform.GroupRouters, State: platform.VMLive})
	}
	return membership.NewView(vms)
}

// applyDocument stores a document in the key-value service and returns its revision.
func (w *cluster) applyDocument(text string) *config.Revision {
	w.t.Helper()
	base, err := w.store.Read(w.ctx)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := w.store.Apply(w.ctx, base, []byte(text), "test"); err != nil {
		w.t.Fatal(err)
	}
	entry, err := w.kv.Get(w.ctx, configstore.Key(environment))
	if err != nil {
		w.t.Fatal(err)
	}
	revision, err := configstore.Open(entry.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return revision
}

// snapshot returns the current control state. The caller holds w.mu.
func (w *cluster) snapshot() *control.Snapshot {
	return &control.Snapshot{Config: w.config, Shards: w.table, View: w.view, Listed: true}
}

// publish publishes the control state to all daemons.
func (w *cluster) publish() {
	w.publishSidecars()
	w.publishRouters()
}

func (w *cluster) publishSidecars() {
	w.mu.Lock()
	snapshot := w.snapshot()
	w.mu.Unlock()
	for _, s := range w.servers() {
		s.source.Publish(snapshot)
		s.sidecar.SnapshotChanged()
	}
}

func (w *cluster) publishRouters() {
	w.mu.Lock()
	snapshot := w.snapshot()
	routers := append([]*router(nil), w.routers...)
	w.mu.Unlock()
	for _, r := range routers {
		r.source.Publish(snapshot)
		r.inflight.CancelWithdrawn(snapshot.Config.KeyWithdrawn)
	}
}

// router returns the current router i.
func (w *cluster) router(i int) *router {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.routers[i]
}

// onRepair registers a function that ends a fault.
func (w *cluster) onRepair(repair func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.repairs = append(w.repairs, repair)
}

// repair ends all faults.
func (w *cluster) repair() {
	w.mu.Lock()
	repairs := w.repairs
	w.repairs = nil
	w.mu.Unlock()
	for _, repair := range repairs {
		repair()
	}
}

// document returns the configuration document with a section added.
func (w *cluster) document(added string) string {
	return fmt.Sprintf(documentText, modelName, weights, probeRate, probeBurst, config.HashKey(w.key), config.HashKey(w.otherKey)) + added
}

const documentText = `[environment]
name = test
[model %s]
group = engines
weights_version = %s
context_tokens = 32768
default_max_tokens = 16
[group engines]
kind = engines
[group desk]
kind = service
[workspace north]
rate = %d
burst = %d
[workspace south]
rate = 100000
burst = 1000000
[key north-1]
workspace = north
sha256 = %x
[key south-1]
workspace = south
sha256 = %x
[route completions]
path = /v1/completions
class = urgent
[route lookup]
path = /desk/lookup/*
method = GET
group = desk
strip_prefix = /desk
class = urgent
timeout = 5s
[route orders]
path = /desk/orders
method = POST
group = desk
strip_prefix = /desk
once = yes
timeout = 5s
`

// eventually waits until condition holds.
func eventually(t *testing.T, timeout time.Duration, what string, condition func() bool) bool {
	t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("not within %v: %s", timeout, what)
			return false
		}
	}
	return true
}
