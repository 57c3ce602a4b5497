package route

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// countMaxAge is the age at which the versions of a model are counted
	// again. In a large group it is countMaxAgePerServer for each server, so
	// that counting takes the same share of a core in any group.
	countMaxAge          = 100 * time.Millisecond
	countMaxAgePerServer = 200 * time.Microsecond
	// rolloutPromptBytes is the length of the prompt prefix that decides the
	// version during a rollout, so that prompts with a common prefix use the
	// same version.
	rolloutPromptBytes = 2048
)

// versionCounts counts the servers of a group by the version of a model that they
// hold.
type versionCounts struct {
	countedAt time.Time
	target    int    // servers that hold the target version
	total     int    // servers that hold any version
	fallback  string // version, other than the target, that most servers hold; empty: none
}

// countCache holds the last counts, by model of the config document.
type countCache struct {
	mu     sync.Mutex
	counts map[*config.Model]versionCounts
}

// eligibleVersions returns the weights versions that the next attempt of the
// request may use, in order of preference. During a rollout, the target version
// is preferred for a share of the prompts equal to the share of the servers
// that hold it. A stream that has begun stays with its version.
func (f *Filter) eligibleVersions(req *request.Request, servers []membership.Server) []string {
	generation := req.Generation
	if generation == nil {
		return nil
	}
	if generation.Started() {
		return []string{generation.WeightsVersion}
	}
	target := generation.Model.WeightsVersion
	counts := f.versionCounts(generation.Model, servers)
	if counts.fallback == "" {
		return []string{target}
	}
	if f.prefersTarget(req, counts) {
		return []string{target, counts.fallback}
	}
	return []string{counts.fallback, target}
}

// prefersTarget reports whether the request should use the target version.
// After a weights mismatch the report that came with it decides, since it is
// the newest.
func (f *Filter) prefersTarget(req *request.Request, counts versionCounts) bool {
	model := req.Generation.Model
	if req.MismatchedServer != "" {
		return f.tracker.server(req.MismatchedServer).hasReported(model, model.WeightsVersion)
	}
	hash := xxhash.NewWithSeed(xxhash.Sum64String(req.Workspace))
	_, _ = hash.WriteString(req.Generation.Prompt[:min(len(req.Generation.Prompt), rolloutPromptBytes)])
	return hash.Sum64()%uint64(counts.total) < uint64(counts.target)
}

// versionCounts returns the version counts of the model and counts again if the
// cached ones are too old.
func (f *Filter) versionCounts(model *config.Model, servers []membership.Server) versionCounts {
	f.countCache.mu.Lock()
	defer f.countCache.mu.Unlock()
	now := time.Now()
	maxAge := max(countMaxAge, time.Duration(len(servers))*countMaxAgePerServer)
	if cached, ok := f.countCache.counts[model]; ok && now.Sub(cached.countedAt) < maxAge {
		return cached
	}
	counted := f.countVersions(model, servers)
	counted.countedAt = now
	for other, cached := range f.countCache.counts {
		if now.Sub(cached.countedAt) > time.Minute { // model of an earlier config document
			delete(f.countCache.counts, other)
		}
	}
	f.countCache.counts[model] = counted
	return counted
}

// countVersions counts the versions of the model that the servers have
// reported.
func (f *Filter) countVersions(model *config.Model, servers []membership.Server) versionCounts {
	var counts versionCounts
	others := make(map[string]int)
	var held []string
	for i := range servers {
		if servers[i].Leaving {
			continue
		}
		held = f.tracker.server(servers[i].Address).loadedVersions(held[:0], model)
		if len(held) > 0 {
			counts.total++
		}
		for _, version := range held {
			if version == model.WeightsVersion {
				counts.target++
			} else {
				others[version]++
			}
		}
	}
	for version, n := range others {
		if n > others[counts.fallback] || (n == others[counts.fallback] && version > counts.fallback) {
			counts.fallback = version
		}
	}
	return counts
}

// clearCounts removes the cached counts, so that the next request counts again.
func (f *Filter) clearCounts() {
	f.countCache.mu.Lock()
	defer f.countCache.mu.Unlock()
	clear(f.countCache.counts)
}

// loadedVersions appends to dst the versions of the model that the engine has
// reported as loaded.
func (s *serverLoad) loadedVersions(dst []string, model *config.Model) []string {
	last := s.report.Load()
	if last == nil {
		return dst
	}
	for _, loaded := range last.load.GetLoaded() {
		if last.hasLoaded(loaded, model) {
			dst = append(dst, loaded.GetVersion())
		}
	}
	return dst
}

// hasReported reports whether the engine has reported that version of the model
// as loaded.
func (s *serverLoad) hasReported(model *config.Model, version string) bool {
	last := s.report.Load()
	if last == nil {
		return false
	}
	for _, loaded := range last.load.GetLoaded() {
		if loaded.GetVersion() == version && last.hasLoaded(loaded, model) {
			return true
		}
	}
	return false
}

// hasLoaded reports whether the reported weights are a version of the model that
// the engine has not refused as not loaded since the report.
func (r *report) hasLoaded(loaded *wire.Weights, model *config.Model) bool {
	return matchesModel(loaded, model) && !slices.Contains(r.notLoaded, weightsOf(model, loaded.GetVersion()))
}

// mayHold reports whether the engine may hold the weights of the request: it
// has reported them as loaded or, unless it has just refused them, it has
// reported no weights at all.
func (s *serverLoad) mayHold(req *request.Request, address string) bool {
	last := s.report.Load()
	if last == nil || len(last.load.GetLoaded()) == 0 {
		return address != req.MismatchedServer
	}
	return s.hasReported(req.Generation.Model, req.Generation.WeightsVersion)
}

// markNotLoaded records that the engine does not hold the weights although its
// last report may list them.
func (s *serverLoad) markNotLoaded(w platform.Weights) {
	last := s.report.Load()
	if last == nil {
		return
	}
	corrected := *last
	corrected.notLoaded = append(slices.Clone(last.notLoaded), w)
	s.report.CompareAndSwap(last, &corrected)
}

func weightsOf(model *config.Model, version string) platform.Weights {
	return platform.Weights{Model: model.Base, Adapter: model.Adapter, Version: version}
}

func matchesModel(loaded *wire.Weights, model *config.Model) bool {
	return loaded.GetModel() == model.Base && loaded.GetAdapter() == model.Adapter
}
