// Package route implements the pipeline filter that chooses the backend server
// of a request: it gathers candidates, filters and scores them, and picks one.
package route

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/tokens"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

var logger = logging.For("route")

// Index records which backend servers hold which prefixes.
type Index interface {
	// Holders appends to dst the backend servers known to hold a prefix of the
	// chain, each with the length of its longest one.
	Holders(dst []prefix.Holder, blocks []uint64) []prefix.Holder
	// Add records that the backend server at address holds the chain.
	Add(blocks []uint64, address string, incarnation uint64)
	// Restore records that the backend server at address holds the blocks.
	Restore(blocks []uint64, address string, incarnation uint64)
	// Remove removes all entries of the backend server at address.
	Remove(address string)
}

// Filter chooses the target of each request.
type Filter struct {
	zone        string
	source      control.Source
	policy      *policy
	tracker     *Tracker
	index       Index
	scratchPool sync.Pool // of *scratch
	countCache  countCache

	started time.Time
	warm    chan struct{} // closed once the index has the engines' prefixes
}

// warmTimeout limits how long requests wait for a warm index, counted from the
// router's start.
const warmTimeout = 500 * time.Millisecond

// scratch is the reusable memory of a decision.
type scratch struct {
	indexes  []int32
	holders  []prefix.Holder
	decision decision
}

// Name implements pipeline.Filter.
func (*Filter) Name() string { return "route" }

// Handle implements pipeline.Filter. It chooses a target for each attempt,
// except for a request that resumes a stream, whose target is already known.
func (f *Filter) Handle(ctx context.Context, req *request.Request, next request.Handler) (request.Stream, error) {
	if req.ResumeToken != "" {
		return next.Handle(ctx, req)
	}
	f.awaitWarm(ctx)
	target, err := f.choose(req)
	if err != nil {
		return nil, err
	}
	req.Target = target
	return next.Handle(ctx, req)
}

// awaitWarm waits for a warm index, up to warmTimeout after the start.
func (f *Filter) awaitWarm(ctx context.Context) {
	select {
	case <-f.warm:
		return
	default:
	}
	timer := time.NewTimer(time.Until(f.started.Add(warmTimeout)))
	defer timer.Stop()
	select {
	case <-f.warm:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// choose returns the backend server for the request's next attempt.
func (f *Filter) choose(req *request.Request) (request.Target, error) {
	group := req.Group()
	view := f.source.Snapshot().View
	servers := view.Group(group)
	if len(servers) == 0 {
		return request.Target{}, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of group %q is listed", group)
	}
	s := f.scratchPool.Get().(*scratch)
	defer f.scratchPool.Put(s)
	f.gatherCandidates(s, req, servers, view.Ring(group))
	d := &s.decision
	if len(d.candidates) == 0 {
		return request.Target{}, verdict.New(verdict.NotRun, verdict.CodeNoBackendServer, "no backend server of group %q can take the request", group).
			WithRetryAfter(cmp.Or(d.shortestPause, time.Second))
	}
	f.score(d)
	chosen, reason := f.policy.picker.pick(d)
	logDecision(d, chosen, reason)
	c := &d.candidates[chosen]
	req.PrefillTokens = int64(max(0, d.promptTokens-c.CachedTokens))
	if req.Generation != nil {
		// Recorded before the prefix is computed: engines run prefills in order, so
		// the next request with this prefix finds it there.
		f.index.Add(req.Generation.Blocks, c.Server.Address, c.load.incarnation())
	}
	return request.Target{Name: c.Server.Name, Address: c.Server.Address}, nil
}

// gatherCandidates gathers the candidates for the first eligible weights
// version that has any.
func (f *Filter) gatherCandidates(s *scratch, req *request.Request, servers []membership.Server, ring *membership.Ring) {
	if req.Generation == nil {
		f.prepare(s, req)
		f.gather(s, servers, ring)
		return
	}
	for _, version := range f.eligibleVersions(req, servers) {
		req.Generation.SetWeightsVersion(version)
		f.prepare(s, req)
		f.gather(s, servers, ring)
		if len(s.decision.candidates) > 0 {
			return
		}
	}
}

// prepare starts a new decision: it computes the block hashes of the request
// and looks up their holders.
func (f *Filter) prepare(s *scratch, req *request.Request) {
	s.holders = s.holders[:0]
	s.decision = decision{req: req, now: time.Now(), zone: f.zone, candidates: s.decision.candidates[:0]}
	generation := req.Generation
	if generation == nil {
		return
	}
	s.decision.promptTokens = tokens.Count(len(generation.Prompt) + len(generation.ResumeText))
	if len(generation.Blocks) == 0 {
		generation.Blocks = prefix.Chain(generation.Blocks, req.CacheSeed().Salt(), generation.Prompt)
	}
	s.holders = f.index.Holders(s.holders, generation.Blocks)
	s.decision.affinityDepth = affinityDepth(generation.Blocks)
}

// gather adds the candidates that pass the filters of the policy.
func (f *Filter) gather(s *scratch, servers []membership.Server, ring *membership.Ring) {
	d := &s.decision
	s.indexes = f.policy.gatherer.gather(s.indexes[:0], d, servers, ring, s.holders)
	for affinity, index := range s.indexes {
		server := &servers[index]
		d.candidates = append(d.candidates, Candidate{
			Server:       server,
			load:         f.tracker.server(server.Address),
			Affinity:     affinity,
			CachedTokens: cachedTokens(s.holders, server.Address),
		})
		last := len(d.candidates) - 1
		if !f.keep(d, &d.candidates[last]) {
			d.candidates = d.candidates[:last]
		}
	}
}

func cachedTokens(holders []prefix.Holder, address string) int {
	for i := range holders {
		if holders[i].Address == address {
			return holders[i].Blocks * prefix.BlockTokens
		}
	}
	return 0
}

func (f *Filter) keep(d *decision, c *Candidate) bool {
	for _, filter := range f.policy.filters {
		if !filter.keep(d, c) {
			return false
		}
	}
	return true
}

func (f *Filter) score(d *decision) {
	for i := range d.candidates {
		c := &d.candidates[i]
		for _, scorer := range f.policy.scorers {
			c.Score += scorer.score(d, c)
		}
	}
}

// Dispatched implements dispatch.Observer.
func (f *Filter) Dispatched(target request.Target, class config.Class, prefillTokens int64) {
	f.tracker.dispatched(target.Address, classIndex(class), prefillTokens)
}

// Finished implements dispatch.Observer.
func (f *Filter) Finished(target request.Target) { f.tracker.finished(target.Address) }

// Received implements dispatch.Observer. It records the load and, once the
// engine has computed the prompt, the prefixes that it now holds.
func (f *Filter) Received(target request.Target, req *request.Request, frame *wire.Frame) {
	if load := loadOf(frame); load != nil {
		f.recordLoad(target.Address, load)
	}
	if req.Generation != nil && frame.GetFailure().GetCode() == string(verdict.CodeWeightsMismatch) {
		f.tracker.server(target.Address).markNotLoaded(weightsOf(req.Generation.Model, req.Generation.WeightsVersion))
		f.clearCounts()
	}
	if frame.GetTail() != nil && req.Generation != nil {
		f.index.Add(req.Generation.Blocks, target.Address, f.tracker.server(target.Address).incarnation())
	}
}

// recordLoad records a load report. An engine that has restarted holds none of
// its earlier prefixes.
func (f *Filter) recordLoad(address string, load *wire.Load) {
	server := f.tracker.server(address)
	before := server.incarnation()
	f.tracker.RecordReport(address, load)
	if before != 0 && load.GetIncarnation() != 0 && before != load.GetIncarnation() {
		logger.Info(logging.Fields{"server": address, "incarnation": load.GetIncarnation()}, "engine restarted; its prefixes were removed from the index")
		f.index.Remove(address)
	}
}

// classLabel returns the class for log lines; calls without a class count as
// urgent.
func classLabel(class config.Class) string {
	if class == "" {
		return string(config.ClassUrgent)
	}
	return string(class)
}
