// Package controller makes engines hold the weights that the document in force
// names. Of all routers, the one that holds a lease gives orders; its fencing
// number lets sidecars refuse the orders of an earlier holder.
package controller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/lease"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var logger = logging.For("controller")

type fields = logging.Fields

const (
	// leaseTTL is how long the platform keeps a lease that is not renewed.
	leaseTTL = 10 * time.Second
	// renewInterval is the time between renewals of the lease.
	renewInterval = 2 * time.Second
	// stepInterval is the time between two looks at the desired state.
	stepInterval = 200 * time.Millisecond
	// acquireInterval is the time between two tries to get the lease.
	acquireInterval = 2 * time.Second
	// maxCandidates is the number of routers that try to get the lease, so that
	// calls to the key-value service don't grow with the fleet.
	maxCandidates = 3
)

// leaseDuration is that of the lease under which orders are given.
var leaseDuration = lease.Duration{TTL: leaseTTL, Margin: time.Second}

const keyPrefix = "wasabigate/controller/"

// leaseKey is the key that the holder of an environment's lease has created.
func leaseKey(environment string) string { return keyPrefix + environment + "/lease" }

// Servers reaches the sidecars.
type Servers interface {
	GetLoad(ctx context.Context, address string) (*wire.Load, error)
	Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error)
}

// Options are the parts that a Controller works with.
type Options struct {
	Self        string // rpc address of this router
	Environment string
	KV          platform.KV
	Weights     platform.WeightStore // nil: every version is taken to exist
	Source      control.Source
	Servers     Servers
	Timeout     time.Duration // of one call of the key-value service
}

// Controller gives orders while it holds the lease. One goroutine owns its state.
type Controller struct {
	opts    Options
	meters  meters
	results chan func()
	calls   sync.WaitGroup

	term        *lease.Term // nil: another router may hold the lease
	nextAcquire time.Time
	nextRenewal time.Time
	nextLoad    time.Time // of the next try to order loads
	unrenewed   bool      // the last renewal failed
	ledger      *ledger
	loads       []*runningLoad
	servers     map[string]*server // by rpc address
	store       storeView

	holding atomic.Pointer[lease.Term]
	running atomic.Int64
	missing atomic.Int64
}

// New returns a Controller that Run starts.
func New(opts Options) *Controller {
	c := &Controller{
		opts:    opts,
		results: make(chan func()),
		servers: make(map[string]*server),
		store:   newStoreView(),
	}
	c.meters = newMeters(c)
	return c
}

// Holding says whether this router is the controller.
func (c *Controller) Holding() bool {
	t := c.holding.Load()
	return t != nil && t.Valid()
}

// Run tries to be the controller until ctx ends. It gives the lease back then.
func (c *Controller) Run(ctx context.Context) {
	defer c.calls.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.stepDown(context.WithoutCancel(ctx), "stop")
			return
		case handle := <-c.results:
			handle()
		case <-ticker.C:
			c.step(ctx)
		}
	}
}

// step keeps the lease and, while it is held, gives the orders that are due.
func (c *Controller) step(ctx context.Context) {
	snapshot := c.opts.Source.Snapshot()
	if !c.mayHold(snapshot) {
		c.stepDown(ctx, "not eligible")
		return
	}
	if !c.keepLease(ctx) {
		return
	}
	c.follow(snapshot)
	c.settleLoads()
	c.poll(ctx)
	c.give(ctx, desiredOf(snapshot))
}

// mayHold says whether this router may be the controller.
func (c *Controller) mayHold(snapshot *control.Snapshot) bool {
	return snapshot.Config != nil && !snapshot.Draining && snapshot.View.RouterRank(c.opts.Self) < maxCandidates
}

// keepLease gets or renews the lease and says whether orders may be given. While
// the key-value service can't be reached, none are.
func (c *Controller) keepLease(ctx context.Context) bool {
	now := time.Now()
	if c.term == nil {
		if now.Before(c.nextAcquire) {
			return false
		}
		c.nextAcquire = now.Add(acquireInterval*3/4 + rand.N(acquireInterval/2))
		return c.acquire(ctx)
	}
	if !c.term.Valid() {
		c.stepDown(ctx, "lease lapsed")
		return false
	}
	if !now.Before(c.nextRenewal) {
		c.renew(ctx)
	}
	return c.term != nil && !c.unrenewed && c.term.Valid()
}

// acquire gets the lease and takes over the record of loads.
func (c *Controller) acquire(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	t, err := lease.Acquire(ctx, c.opts.KV, leaseKey(c.opts.Environment), c.opts.Self, leaseDuration)
	if err != nil {
		logger.Debug(fields{"error": err.Error()}, "lease not acquired")
		return false
	}
	taken := &ledger{kv: c.opts.KV, key: recordKey(c.opts.Environment)}
	if err := taken.takeOver(ctx, uint64(t.Fence())); err != nil {
		logger.Warn(fields{"error": err.Error()}, "record of loads not taken over")
		t.Release(context.WithoutCancel(ctx))
		return false
	}
	c.begin(t, taken)
	return true
}

// begin starts a term, in which nothing is known of the servers yet.
func (c *Controller) begin(t *lease.Term, taken *ledger) {
	now := time.Now()
	c.term = t
	c.ledger = taken
	c.nextRenewal = now.Add(renewInterval)
	c.unrenewed = false
	clear(c.servers)
	clear(c.store.asking)
	c.nextLoad = now
	c.loads = nil
	for _, l := range taken.record.Loads {
		c.loads = append(c.loads, &runningLoad{load: l, since: now})
	}
	c.holding.Store(t)
	c.meters.terms.Add(context.Background(), 1)
	logger.Info(fields{"fence": t.Fence(), "loads": len(c.loads)}, "lease acquired")
}

func (c *Controller) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	c.nextRenewal = time.Now().Add(renewInterval)
	err := c.term.Renew(ctx)
	c.unrenewed = err != nil
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.stepDown(ctx, "lease lost")
	case err != nil:
		c.nextRenewal = time.Now().Add(renewInterval / 4)
		logger.Warn(fields{"error": err.Error()}, "lease not renewed")
	}
}

// stepDown ends the term. Loads that may be running stay in the record.
func (c *Controller) stepDown(ctx context.Context, reason string) {
	if c.term == nil {
		return
	}
	logger.Info(fields{"fence": c.term.Fence(), "reason": reason}, "lease given up")
	ended := c.term
	c.term = nil
	c.holding.Store(nil)
	c.missing.Store(0)
	c.nextAcquire = time.Now().Add(acquireInterval)
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	ended.Release(ctx)
}

// follow keeps the servers in step with the listed ones.
func (c *Controller) follow(snapshot *control.Snapshot) {
	listed := make(map[string]bool)
	for _, g := range desiredOf(snapshot) {
		servers := snapshot.View.Group(g.group)
		for i := range servers {
			address := servers[i].Address
			listed[address] = true
			if c.servers[address] == nil {
				c.servers[address] = newServer(&servers[i])
			}
			c.servers[address].listed = servers[i]
		}
	}
	for address := range c.servers {
		if !listed[address] {
			delete(c.servers, address)
		}
	}
}
