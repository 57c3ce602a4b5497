package rollout

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/lease"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("rollout")

type fields = logging.Fields

const (
	// stepInterval is the time between two looks at what is to be done.
	stepInterval = 50 * time.Millisecond
	// acquirePause is the mean pause before a try to get the lease.
	acquirePause = 300 * time.Millisecond
	// renewals is how often a lease is renewed within its time.
	renewals = 4
	// marginShare is the part of the lease that its holder does not use.
	marginShare = 6
	// maxLeaseTime bounds the lease, whatever the settings say.
	maxLeaseTime = 10 * time.Minute
)

// Source gives the current belief.
type Source interface {
	Snapshot() *deployment.Snapshot
}

// Options are the parts that a Rollout works with.
type Options struct {
	Self    string // name of this gateway, shown to engines
	Lease   time.Duration
	LeaseKV platform.LeaseKV
	Key     string // of the lease
	Source  Source
	Fleet   *fleet.Fleet
	Engines Engines
}

// Rollout gives orders while this gateway holds the lease.
type Rollout struct {
	opts        Options
	term        *lease.Term
	nextAcquire time.Time
	nextRenewal time.Time

	mu     sync.Mutex
	jobs   map[string]*job // by server id
	limits map[string]int  // engines that may load at once, by service
	group  sync.WaitGroup
}

// New returns a Rollout that Run starts.
func New(opts Options) *Rollout {
	return &Rollout{opts: opts, jobs: make(map[string]*job), limits: make(map[string]int)}
}

// Run gives orders until ctx ends, and gives the lease back then.
func (r *Rollout) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.group.Wait()
			r.stepDown(context.WithoutCancel(ctx), "stop")
			return
		case <-ticker.C:
			r.step(ctx, time.Now())
		}
	}
}

func (r *Rollout) step(ctx context.Context, now time.Time) {
	snapshot := r.opts.Source.Snapshot()
	if !hasEngines(snapshot) || !r.holds(ctx, snapshot, now) {
		return
	}
	for model, wanted := range snapshot.Weights {
		for i := range snapshot.Config.Services {
			service := &snapshot.Config.Services[i]
			if service.Engine != nil && slices.Contains(service.Engine.Models, model) {
				r.advance(ctx, snapshot, service.Name, model, wanted.Version, now)
			}
		}
	}
}

// hasEngines says whether there may be orders to give. The lease is held before new
// weights are named, so that the first order is not late.
func hasEngines(snapshot *deployment.Snapshot) bool {
	return snapshot.Config != nil && slices.ContainsFunc(snapshot.Config.Services, func(s deployment.Service) bool { return s.Engine != nil })
}

// holds says whether this gateway may give orders. It gets and renews the lease.
func (r *Rollout) holds(ctx context.Context, snapshot *deployment.Snapshot, now time.Time) bool {
	if r.term == nil {
		return r.acquire(ctx, snapshot, now)
	}
	if !r.term.Valid() {
		r.stepDown(ctx, "lease lapsed")
		return false
	}
	if now.Before(r.nextRenewal) {
		return true
	}
	r.nextRenewal = now.Add(r.opts.Lease / renewals)
	err := r.term.Renew(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		r.stepDown(ctx, "lease lost")
		return false
	}
	if err != nil {
		logger.Warn(fields{"error": err.Error()}, "lease not renewed")
	}
	return r.term.Valid()
}

// acquire tries to get the lease when nobody is known to hold it.
func (r *Rollout) acquire(ctx context.Context, snapshot *deployment.Snapshot, now time.Time) bool {
	if snapshot.Leader != "" && !strings.HasPrefix(snapshot.Leader, r.opts.Self+" ") {
		r.nextAcquire = time.Time{}
		return false
	}
	if r.nextAcquire.IsZero() {
		r.nextAcquire = now.Add(rand.N(acquirePause))
	}
	if now.Before(r.nextAcquire) {
		return false
	}
	r.nextAcquire = now.Add(acquirePause + rand.N(acquirePause))
	last := lease.Duration{TTL: min(r.opts.Lease, maxLeaseTime), Margin: r.opts.Lease / marginShare}
	term, err := lease.Acquire(ctx, r.opts.LeaseKV, r.opts.Key, r.opts.Self, last)
	if err != nil {
		logger.Info(fields{"error": err.Error()}, "lease not acquired")
		return false
	}
	r.term = term
	r.nextRenewal = now.Add(r.opts.Lease / renewals)
	logger.Info(fields{"fence": uint64(term.Fence())}, "lease acquired")
	return true
}

// stepDown ends the term.
func (r *Rollout) stepDown(ctx context.Context, reason string) {
	if r.term == nil {
		return
	}
	logger.Info(fields{"fence": uint64(r.term.Fence()), "reason": reason}, "lease given up")
	ended := r.term
	r.term = nil
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	ended.Release(ctx)
}

// advance begins the loads that are due in a service.
func (r *Rollout) advance(ctx context.Context, snapshot *deployment.Snapshot, service, model string, version uint64, now time.Time) {
	view := r.opts.Fleet.View(snapshot, service, model, now)
	engines := make([]engine, 0, len(view))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range view {
		s := &view[i]
		e := engine{id: s.ID, behind: s.Weights < version, weights: s.Weights, running: s.Running, draining: s.Draining}
		if j := r.jobs[s.ID]; j != nil {
			e.phase, e.retryAt = j.phase, j.retryAt
		}
		engines = append(engines, e)
	}
	r.forget(snapshot)
	for _, id := range pick(engines, now) {
		r.begin(ctx, snapshot.Servers[id], model, version)
	}
	r.limits[service] = maxLoads(usable(engines))
}

// forget drops the jobs of engines that are listed no more. The caller holds the
// lock.
func (r *Rollout) forget(snapshot *deployment.Snapshot) {
	for id, j := range r.jobs {
		if snapshot.Servers[id] == nil && j.phase == phaseIdle {
			delete(r.jobs, id)
		}
	}
}

// begin starts the job of one engine. The caller holds the lock.
func (r *Rollout) begin(ctx context.Context, server *deployment.Server, model string, version uint64) {
	j := r.jobs[server.ID]
	if j == nil || j.server.Incarnation != server.Incarnation {
		j = &job{rollout: r}
		r.jobs[server.ID] = j
	}
	j.server, j.model, j.version = server, model, version
	j.phase = phaseEmptying
	j.term = r.term
	r.group.Go(func() { j.run(ctx) })
}

// wanted returns the version that operators want of a model now.
func (r *Rollout) wanted(model string) uint64 {
	return r.opts.Source.Snapshot().Weights[model].Version
}

// takeTurn says whether the job's engine may load now: few of a service do at once.
func (r *Rollout) takeTurn(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	loading := 0
	for _, other := range r.jobs {
		if other.phase == phaseLoading && other.server.Service == j.server.Service {
			loading++
		}
	}
	if loading >= max(1, r.limits[j.server.Service]) {
		return false
	}
	j.phase = phaseLoading
	return true
}

func (r *Rollout) setPhase(j *job, p phase, retryAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j.phase, j.retryAt = p, retryAt
}
