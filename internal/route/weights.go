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
	// shareMaxAge is the age at which the spread of a model's versions is counted
	// again, and shareMaxAgePerServer what each server of a large group adds, so
	// that counting costs the same part of a core in any group.
	shareMaxAge          = 100 * time.Millisecond
	shareMaxAgePerServer = 200 * time.Microsecond
	// sharePromptBytes is the length of the beginning of a prompt that decides
	// which version it uses during a rollout, so that prompts with a common prefix
	// stay together.
	sharePromptBytes = 2048
)

// share is how a model's weights versions are spread over the servers of its
// group.
type share struct {
	countedAt time.Time
	wanted    int    // servers that hold the document's version
	total     int    // servers that hold any version
	fallback  string // the other version that most servers hold; empty: none
}

// shares are the last counts, by the document's model.
type shares struct {
	mu     sync.Mutex
	counts map[*config.Model]share
}

// versions returns the weights versions that the request's next attempt may use,
// best first. It is the document's version, unless a rollout is under way: as
// long as only some servers hold that one, only their share of the prompts uses
// it. A stream stays with the version that it began with.
func (f *Filter) versions(req *request.Request, servers []membership.Server) []string {
	generation := req.Generation
	if generation == nil {
		return nil
	}
	if generation.Begun() {
		return []string{generation.WeightsVersion}
	}
	wanted := generation.Model.WeightsVersion
	s := f.share(generation.Model, servers)
	if s.fallback == "" {
		return []string{wanted}
	}
	if f.prefersWanted(req, s) {
		return []string{wanted, s.fallback}
	}
	return []string{s.fallback, wanted}
}

// prefersWanted says whether the request should use the document's version. After
// a refusal, the report that came with it is the newest.
func (f *Filter) prefersWanted(req *request.Request, s share) bool {
	model := req.Generation.Model
	if req.Mismatched != "" {
		return f.tracker.server(req.Mismatched).reports(model, model.WeightsVersion)
	}
	place := xxhash.NewWithSeed(xxhash.Sum64String(req.Workspace))
	_, _ = place.WriteString(req.Generation.Prompt[:min(len(req.Generation.Prompt), sharePromptBytes)])
	return place.Sum64()%uint64(s.total) < uint64(s.wanted)
}

// share returns a count that is not old.
func (f *Filter) share(model *config.Model, servers []membership.Server) share {
	f.shares.mu.Lock()
	defer f.shares.mu.Unlock()
	now := time.Now()
	maxAge := max(shareMaxAge, time.Duration(len(servers))*shareMaxAgePerServer)
	if known, ok := f.shares.counts[model]; ok && now.Sub(known.countedAt) < maxAge {
		return known
	}
	counted := f.count(model, servers)
	counted.countedAt = now
	for other, known := range f.shares.counts {
		if now.Sub(known.countedAt) > time.Minute { // a model of an earlier document
			delete(f.shares.counts, other)
		}
	}
	f.shares.counts[model] = counted
	return counted
}

// count counts the versions that the servers have reported.
func (f *Filter) count(model *config.Model, servers []membership.Server) share {
	var s share
	others := make(map[string]int)
	var held []string
	for i := range servers {
		if servers[i].Leaving {
			continue
		}
		held = f.tracker.server(servers[i].Address).versions(held[:0], model)
		if len(held) > 0 {
			s.total++
		}
		for _, version := range held {
			if version == model.WeightsVersion {
				s.wanted++
			} else {
				others[version]++
			}
		}
	}
	for version, n := range others {
		if n > others[s.fallback] || (n == others[s.fallback] && version > s.fallback) {
			s.fallback = version
		}
	}
	return s
}

// forgetShares makes the next request count anew.
func (f *Filter) forgetShares() {
	f.shares.mu.Lock()
	defer f.shares.mu.Unlock()
	clear(f.shares.counts)
}

// versions appends to dst the versions of the model that the engine has reported.
func (s *serverLoad) versions(dst []string, model *config.Model) []string {
	last := s.report.Load()
	if last == nil {
		return dst
	}
	for _, loaded := range last.load.GetLoaded() {
		if last.shows(loaded, model) {
			dst = append(dst, loaded.GetVersion())
		}
	}
	return dst
}

// reports says whether the engine has reported that version of the model.
func (s *serverLoad) reports(model *config.Model, version string) bool {
	last := s.report.Load()
	if last == nil {
		return false
	}
	for _, loaded := range last.load.GetLoaded() {
		if loaded.GetVersion() == version && last.shows(loaded, model) {
			return true
		}
	}
	return false
}

// shows says whether loaded are weights of the model that were not disproved.
func (r *report) shows(loaded *wire.Weights, model *config.Model) bool {
	return isOf(loaded, model) && !slices.Contains(r.lacks, weightsOf(model, loaded.GetVersion()))
}

// holds says whether the engine may hold the request's weights: it has reported
// them, or nothing of its weights.
func (s *serverLoad) holds(req *request.Request, address string) bool {
	last := s.report.Load()
	if last == nil || len(last.load.GetLoaded()) == 0 {
		return address != req.Mismatched
	}
	return s.reports(req.Generation.Model, req.Generation.WeightsVersion)
}

// lacks notes that the engine does not hold the weights, whatever its last report
// says.
func (s *serverLoad) lacks(w platform.Weights) {
	last := s.report.Load()
	if last == nil {
		return
	}
	corrected := *last
	corrected.lacks = append(slices.Clone(last.lacks), w)
	s.report.CompareAndSwap(last, &corrected)
}

func weightsOf(model *config.Model, version string) platform.Weights {
	return platform.Weights{Model: model.Base, Adapter: model.Adapter, Version: version}
}

func isOf(loaded *wire.Weights, model *config.Model) bool {
	return loaded.GetModel() == model.Base && loaded.GetAdapter() == model.Adapter
}
