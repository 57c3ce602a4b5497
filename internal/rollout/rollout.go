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
	// stepInterval is the time between two checks for loads to start.
	stepInterval = 50 * time.Millisecond
	// acquireDelay is the upper bound of the random delay before the first attempt to
	// acquire the lease. Further attempts follow after one to two times this.
	acquireDelay = 300 * time.Millisecond
	// renewalsPerLease is the number of renewals within the duration of a lease.
	renewalsPerLease = 4
	// marginDivisor is the duration of a lease divided by the safety margin at its end, in
	// which the holder no longer uses it.
	marginDivisor = 6
	// maxLeaseTime bounds the configured duration of a lease.
	maxLeaseTime = 10 * time.Minute
)

// Source provides the current snapshot of the deployment.
type Source interface {
	Snapshot() *deployment.Snapshot
}

// Options configures a Rollout.
type Options struct {
	Self    string // name of this gateway, sent to engines as the holder of the lease
	Lease   time.Duration
	LeaseKV platform.LeaseKV
	Key     string // key of the lease in LeaseKV
	Source  Source
	Fleet   *fleet.Fleet
	Engines Engines
	// MayCall reports whether an engine may be called now; nil: it always may.
	MayCall func(server *deployment.Server) bool
}

// Rollout sends orders to engines while this gateway holds the lease.
type Rollout struct {
	opts        Options
	candidate   *lease.Candidate
	term        *lease.Term
	nextAcquire time.Time
	nextRenewal time.Time

	mu         sync.Mutex
	jobs       map[string]*job // by server id
	loadLimits map[string]int  // engines that may load concurrently, by service
	group      sync.WaitGroup
}

// New returns a Rollout, to be started by Run.
func New(opts Options) *Rollout {
	duration := lease.Duration{TTL: min(opts.Lease, maxLeaseTime), Margin: opts.Lease / marginDivisor}
	if opts.MayCall == nil {
		opts.MayCall = func(*deployment.Server) bool { return true }
	}
	candidate := lease.NewCandidate(opts.LeaseKV, opts.Key, opts.Self, duration)
	return &Rollout{opts: opts, candidate: candidate, jobs: make(map[string]*job), loadLimits: make(map[string]int)}
}

// Run sends orders until ctx ends. It then waits for its jobs and releases the lease.
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

// step starts the loads that are due, if this gateway holds the lease.
func (r *Rollout) step(ctx context.Context, now time.Time) {
	snapshot := r.opts.Source.Snapshot()
	if !hasEngines(snapshot) || !r.holdsLease(ctx, snapshot, now) {
		return
	}
	for model, target := range snapshot.Weights {
		for i := range snapshot.Config.Services {
			service := &snapshot.Config.Services[i]
			if service.Engine != nil && slices.Contains(service.Engine.Models, model) {
				r.startLoads(ctx, snapshot, service.Name, model, target.Version, now)
			}
		}
	}
}

// hasEngines reports whether any service has engines. If so the lease is held even
// while no load is due, so that the first order after a new target is not delayed.
func hasEngines(snapshot *deployment.Snapshot) bool {
	return snapshot.Config != nil && slices.ContainsFunc(snapshot.Config.Services, func(s deployment.Service) bool { return s.Engine != nil })
}

// holdsLease reports whether this gateway may send orders. It acquires and renews the
// lease as needed.
func (r *Rollout) holdsLease(ctx context.Context, snapshot *deployment.Snapshot, now time.Time) bool {
	if r.term == nil {
		return r.acquire(ctx, snapshot, now)
	}
	if !r.term.Valid() {
		r.stepDown(ctx, "lease expired")
		return false
	}
	if now.Before(r.nextRenewal) {
		return true
	}
	r.nextRenewal = now.Add(r.opts.Lease / renewalsPerLease)
	err := r.term.Renew(ctx)
	if errors.Is(err, platform.ErrNotFound) {
		r.stepDown(ctx, "lease lost")
		return false
	}
	if err != nil {
		logger.Warn(fields{"error": err.Error()}, "lease renewal failed")
	}
	return r.term.Valid()
}

// acquire tries to acquire the lease unless another gateway is known to hold it.
func (r *Rollout) acquire(ctx context.Context, snapshot *deployment.Snapshot, now time.Time) bool {
	if snapshot.Leader != "" && !strings.HasPrefix(snapshot.Leader, r.opts.Self+" ") {
		r.nextAcquire = time.Time{}
		return false
	}
	if r.nextAcquire.IsZero() {
		r.nextAcquire = now.Add(rand.N(acquireDelay))
	}
	if now.Before(r.nextAcquire) {
		return false
	}
	r.nextAcquire = now.Add(acquireDelay + rand.N(acquireDelay))
	term, err := r.candidate.Acquire(ctx)
	if errors.Is(err, lease.ErrRestored) {
		return false // logged once by lease
	}
	if err != nil {
		logger.Info(fields{"error": err.Error()}, "lease not acquired")
		return false
	}
	r.term = term
	r.nextRenewal = now.Add(r.opts.Lease / renewalsPerLease)
	logger.Info(fields{"fence": uint64(term.Fence())}, "lease acquired")
	return true
}

// stepDown ends the term and releases the lease.
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

// startLoads starts the loads that are due in a service.
func (r *Rollout) startLoads(ctx context.Context, snapshot *deployment.Snapshot, service, model string, version uint64, now time.Time) {
	view := r.opts.Fleet.View(snapshot, service, model, now)
	engines := make([]engine, 0, len(view))
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range view {
		s := &view[i]
		e := engine{id: s.ID, outdated: s.Weights < version, weights: s.Weights, running: s.Running, draining: s.Draining}
		if j := r.jobs[s.ID]; j != nil {
			e.phase, e.retryAt = j.phase, j.retryAt
		}
		engines = append(engines, e)
	}
	r.pruneJobs(snapshot)
	for _, id := range pickNext(engines, now) {
		r.startJob(ctx, snapshot.Servers[id], model, version)
	}
	r.loadLimits[service] = maxLoads(usable(engines))
}

// pruneJobs removes the idle jobs of engines that are no longer listed. The caller
// holds the lock.
func (r *Rollout) pruneJobs(snapshot *deployment.Snapshot) {
	for id, j := range r.jobs {
		if snapshot.Servers[id] == nil && j.phase == phaseIdle {
			delete(r.jobs, id)
		}
	}
}

// startJob starts the job of an engine. The caller holds the lock.
func (r *Rollout) startJob(ctx context.Context, server *deployment.Server, model string, version uint64) {
	j := r.jobs[server.ID]
	if j == nil || j.server.Incarnation != server.Incarnation {
		j = &job{rollout: r}
		r.jobs[server.ID] = j
	}
	j.server, j.model, j.version = server, model, version
	j.phase = phaseQuiescing
	j.term = r.term
	r.group.Go(func() { j.run(ctx) })
}

// targetVersion returns the current target version of a model's weights.
func (r *Rollout) targetVersion(model string) uint64 {
	return r.opts.Source.Snapshot().Weights[model].Version
}

// acquireLoadSlot moves the job to phaseLoading and returns true, unless the maximum
// number of its service's engines is loading.
func (r *Rollout) acquireLoadSlot(j *job) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	loading := 0
	for _, other := range r.jobs {
		if other.phase == phaseLoading && other.server.Service == j.server.Service {
			loading++
		}
	}
	if loading >= max(1, r.loadLimits[j.server.Service]) {
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
