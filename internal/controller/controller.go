// Package controller makes engines load the weights that the current config
// document names. Only the router that holds a lease sends orders; the fencing
// token of the lease lets sidecars refuse orders of an earlier holder.
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
	// stepInterval is the time between comparisons of the engines with the
	// target state.
	stepInterval = 200 * time.Millisecond
	// acquireInterval is the mean time between attempts to acquire the lease.
	acquireInterval = 2 * time.Second
	// maxCandidates is the number of routers that try to acquire the lease, so
	// that calls to the key-value service do not grow with the fleet.
	maxCandidates = 3
)

// leaseDuration is the duration of the controller's lease.
var leaseDuration = lease.Duration{TTL: leaseTTL, Margin: time.Second}

const keyPrefix = "wasabigate/controller/"

// leaseKey returns the key of the lease of an environment.
func leaseKey(environment string) string { return keyPrefix + environment + "/lease" }

// SidecarClient calls sidecars by their RPC address.
type SidecarClient interface {
	GetLoad(ctx context.Context, address string) (*wire.Load, error)
	Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error)
}

// Options configures a Controller.
type Options struct {
	Self          string // RPC address of this router
	Environment   string
	KV            platform.KV
	Weights       platform.WeightStore // nil: all versions are assumed to exist
	Source        control.Source
	SidecarClient SidecarClient
	Timeout       time.Duration // of one call to the key-value service
}

// Controller sends orders while it holds the lease. Its state belongs to the
// goroutine of Run; other goroutines read only the atomic fields.
type Controller struct {
	opts    Options
	metrics metrics
	results chan func()    // handlers of finished calls, which Run runs
	calls   sync.WaitGroup // running calls

	candidate     *lease.Candidate
	term          *lease.Term // nil if this router does not hold the lease
	nextAcquire   time.Time
	nextRenewal   time.Time
	nextLoadWrite time.Time // earliest time of the next write of the load record
	renewFailed   bool      // the last renewal failed
	recordStore   *recordStore
	loads         []*runningLoad
	servers       map[string]*server // by RPC address
	storeCache    storeCache         // of the weight store

	heldTerm       atomic.Pointer[lease.Term] // term, for other goroutines
	runningLoads   atomic.Int64
	missingWeights atomic.Int64
}

// New returns a Controller. Run starts it.
func New(opts Options) *Controller {
	c := &Controller{
		opts:       opts,
		results:    make(chan func()),
		servers:    make(map[string]*server),
		storeCache: newStoreCache(),
		candidate:  lease.NewCandidate(opts.KV, leaseKey(opts.Environment), opts.Self, leaseDuration),
	}
	c.metrics = newMetrics(c)
	return c
}

// HoldsLease reports whether this router holds the lease.
func (c *Controller) HoldsLease() bool {
	t := c.heldTerm.Load()
	return t != nil && t.Valid()
}

// Run competes for the lease and sends orders while it holds it, until ctx is
// done. Then it releases the lease.
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

// step maintains the lease and, while it is held, sends the orders that are
// due.
func (c *Controller) step(ctx context.Context) {
	snapshot := c.opts.Source.Snapshot()
	if !c.isEligible(snapshot) {
		c.stepDown(ctx, "not eligible")
		return
	}
	if !c.maintainLease(ctx) {
		return
	}
	c.updateServers(snapshot)
	c.removeEndedLoads()
	c.pollServers(ctx)
	c.sendDueOrders(ctx, targetStateOf(snapshot))
}

// isEligible reports whether this router may hold the lease.
func (c *Controller) isEligible(snapshot *control.Snapshot) bool {
	return snapshot.Config != nil && !snapshot.Draining && snapshot.View.RouterRank(c.opts.Self) < maxCandidates
}

// maintainLease acquires or renews the lease and reports whether orders may be
// sent. None may while the last renewal has failed, as when the key-value
// service is unreachable.
func (c *Controller) maintainLease(ctx context.Context) bool {
	now := time.Now()
	if c.term == nil {
		if now.Before(c.nextAcquire) {
			return false
		}
		c.nextAcquire = now.Add(acquireInterval*3/4 + rand.N(acquireInterval/2))
		return c.acquire(ctx)
	}
	if !c.term.Valid() {
		c.stepDown(ctx, "lease expired")
		return false
	}
	if !now.Before(c.nextRenewal) {
		c.renew(ctx)
	}
	return c.term != nil && !c.renewFailed && c.term.Valid()
}

// acquire acquires the lease and takes over the load record of the previous
// holder.
func (c *Controller) acquire(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	t, err := c.candidate.Acquire(ctx)
	if err != nil {
		logger.Debug(fields{"error": err.Error()}, "lease not acquired")
		return false
	}
	records := &recordStore{kv: c.opts.KV, key: recordKey(c.opts.Environment)}
	if err := records.takeOver(ctx, uint64(t.Fence())); err != nil {
		logger.Warn(fields{"error": err.Error()}, "taking over load record failed")
		t.Release(context.WithoutCancel(ctx))
		return false
	}
	c.startTerm(t, records)
	return true
}

// startTerm starts a term. Nothing is known about the servers yet.
func (c *Controller) startTerm(t *lease.Term, records *recordStore) {
	now := time.Now()
	c.term = t
	c.recordStore = records
	c.nextRenewal = now.Add(renewInterval)
	c.renewFailed = false
	clear(c.servers)
	clear(c.storeCache.querying)
	c.nextLoadWrite = now
	c.loads = nil
	for _, l := range records.record.Loads {
		c.loads = append(c.loads, &runningLoad{load: l, startedAt: now})
	}
	c.heldTerm.Store(t)
	c.metrics.terms.Add(context.Background(), 1)
	logger.Info(fields{"fence": t.Fence(), "loads": len(c.loads)}, "lease acquired")
}

func (c *Controller) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	c.nextRenewal = time.Now().Add(renewInterval)
	err := c.term.Renew(ctx)
	c.renewFailed = err != nil
	switch {
	case errors.Is(err, platform.ErrNotFound):
		c.stepDown(ctx, "lease lost")
	case err != nil:
		c.nextRenewal = time.Now().Add(renewInterval / 4)
		logger.Warn(fields{"error": err.Error()}, "renewing lease failed")
	}
}

// stepDown ends the term and releases the lease. Loads that may be running stay
// in the record.
func (c *Controller) stepDown(ctx context.Context, reason string) {
	if c.term == nil {
		return
	}
	logger.Info(fields{"fence": c.term.Fence(), "reason": reason}, "lease released")
	ended := c.term
	c.term = nil
	c.heldTerm.Store(nil)
	c.missingWeights.Store(0)
	c.nextAcquire = time.Now().Add(acquireInterval)
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	ended.Release(ctx)
}

// updateServers adds and removes servers so that they match the view.
func (c *Controller) updateServers(snapshot *control.Snapshot) {
	listed := make(map[string]bool)
	for _, g := range targetStateOf(snapshot) {
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
