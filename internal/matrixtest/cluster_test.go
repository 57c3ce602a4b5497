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
	c := &cluster{
		t:        t,
		ctx:      ctx,
		kv:       kv.New(1),
		key:      config.NewKey("north-1"),
		otherKey: config.NewKey("south-1"),
	}
	t.Cleanup(func() { cancel(); c.work.Wait() })
	c.store = configstore.New(c.kv, environment)
	c.config = c.applyDocument(c.document(""))
	c.table = tableOf(1, routerAddress(0), routerAddress(1))
	for i := range serversPerKind {
		c.engines = append(c.engines, c.newEngine(i, slots))
		c.services = append(c.services, c.newService(i, slots))
	}
	c.view = c.fullView()
	for i := range routerCount {
		router := c.newRouter(i)
		c.mu.Lock() // the routers that run look for their peers
		c.routers = append(c.routers, router)
		c.mu.Unlock()
	}
	c.publish()
	c.awaitServing(c.servers()...)
	return c
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

func (c *cluster) servers() []*server {
	return append(append([]*server(nil), c.engines...), c.services...)
}

// fullView returns the view of all VMs.
func (c *cluster) fullView() *membership.View {
	var vms []platform.VM
	for _, s := range c.servers() {
		vms = append(vms, s.vm)
	}
	for i := range routerCount {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("router-%d", i), Address: routerAddress(i), Group: platform.GroupRouters, State: platform.VMLive})
	}
	return membership.NewView(vms)
}

// applyDocument stores a document in the key-value service and returns its revision.
func (c *cluster) applyDocument(text string) *config.Revision {
	c.t.Helper()
	base, err := c.store.Read(c.ctx)
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.store.Apply(c.ctx, base, []byte(text), "test"); err != nil {
		c.t.Fatal(err)
	}
	entry, err := c.kv.Get(c.ctx, configstore.Key(environment))
	if err != nil {
		c.t.Fatal(err)
	}
	revision, err := configstore.Open(entry.Value)
	if err != nil {
		c.t.Fatal(err)
	}
	return revision
}

// snapshot returns the current control state. The caller holds c.mu.
func (c *cluster) snapshot() *control.Snapshot {
	return &control.Snapshot{Config: c.config, Shards: c.table, View: c.view, Listed: true}
}

// publish publishes the control state to all daemons.
func (c *cluster) publish() {
	c.publishSidecars()
	c.publishRouters()
}

func (c *cluster) publishSidecars() {
	c.mu.Lock()
	snapshot := c.snapshot()
	c.mu.Unlock()
	for _, s := range c.servers() {
		s.source.Publish(snapshot)
		s.sidecar.SnapshotChanged()
	}
}

func (c *cluster) publishRouters() {
	c.mu.Lock()
	snapshot := c.snapshot()
	routers := append([]*router(nil), c.routers...)
	c.mu.Unlock()
	for _, r := range routers {
		r.source.Publish(snapshot)
		r.inflight.CancelWithdrawn(snapshot.Config.KeyWithdrawn)
	}
}

// router returns the current router i.
func (c *cluster) router(i int) *router {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.routers[i]
}

// onRepair registers a function that ends a fault.
func (c *cluster) onRepair(repair func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.repairs = append(c.repairs, repair)
}

// repair ends all faults.
func (c *cluster) repair() {
	c.mu.Lock()
	repairs := c.repairs
	c.repairs = nil
	c.mu.Unlock()
	for _, repair := range repairs {
		repair()
	}
}

// document returns the configuration document with a section added.
func (c *cluster) document(added string) string {
	return fmt.Sprintf(documentText, modelName, weights, probeRate, probeBurst, config.HashKey(c.key), config.HashKey(c.otherKey)) + added
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

// eventually waits until condition holds and reports whether it did within timeout.
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
