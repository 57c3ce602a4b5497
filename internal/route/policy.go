package route

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Routing policies, by their names in the settings.
const (
	PolicyPrefixAware = "own"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyPrefixHash  = "prefix-hash"
)

// picker picks one of the scored candidates and returns the reason. There is at
// least one candidate.
type picker interface {
	pick(d *decision) (index int, reason string)
}

// policy is a routing policy: how candidates are gathered, filtered and scored,
// and which one is picked.
type policy struct {
	name     string
	gatherer gatherer
	filters  []filter
	scorers  []scorer
	picker   picker
}

// newPolicy returns the policy with the given name.
func newPolicy(name string) (*policy, error) {
	p := &policy{name: name, filters: []filter{availabilityFilter{}, weightsFilter{}}}
	switch name {
	case PolicyPrefixAware:
		p.gatherer = prefixGatherer{}
		p.scorers = []scorer{queueScorer{}, prefixScorer{}, zoneScorer{}}
		p.picker = lowestScorePicker{}
	case PolicyRoundRobin:
		p.gatherer = allServersGatherer{}
		p.picker = &roundRobinPicker{}
	case PolicyLeastLoaded:
		p.gatherer = allServersGatherer{}
		p.scorers = []scorer{requestCountScorer{}}
		p.picker = lowestScorePicker{}
	case PolicyPrefixHash:
		p.gatherer = allServersGatherer{}
		p.picker = affinityPicker{}
	default:
		return nil, errors.Errorf("unknown routing policy %q", name)
	}
	return p, nil
}

// lowestScorePicker picks the lowest score. Among nearly equal scores it picks
// the first in consistent-hash order, so that routers with empty indexes agree.
type lowestScorePicker struct{}

// The affinity slack is affinitySlackFraction of the prefill time of the whole
// prompt, but at least affinitySlackMin.
const (
	affinitySlackFraction = 0.02
	affinitySlackMin      = time.Millisecond
)

func (lowestScorePicker) pick(d *decision) (int, string) {
	best := 0
	for i := range d.candidates {
		if d.candidates[i].Score < d.candidates[best].Score {
			best = i
		}
	}
	limit := d.candidates[best].Score + d.affinitySlack(best)
	chosen := best
	for i := range d.candidates {
		c := &d.candidates[i]
		if c.Score <= limit && c.Affinity < d.candidates[chosen].Affinity {
			chosen = i
		}
	}
	if d.candidates[chosen].CachedTokens > 0 {
		return chosen, "prefix"
	}
	if chosen != best {
		return chosen, "affinity"
	}
	return chosen, "load"
}

// affinitySlack returns how much later than with the best candidate the first
// token may come for the sake of affinity.
func (d *decision) affinitySlack(best int) time.Duration {
	prefillTime := seconds(float64(d.promptTokens) / d.candidates[best].load.prefillRate())
	return max(affinitySlackMin, time.Duration(affinitySlackFraction*float64(prefillTime)))
}

// roundRobinPicker picks the candidates in turn.
type roundRobinPicker struct{ next atomic.Uint64 }

func (p *roundRobinPicker) pick(d *decision) (int, string) {
	return int(p.next.Add(1) % uint64(len(d.candidates))), "turn"
}

// affinityPicker picks the first candidate in consistent-hash order.
type affinityPicker struct{}

func (affinityPicker) pick(d *decision) (int, string) {
	chosen := 0
	for i := range d.candidates {
		if d.candidates[i].Affinity < d.candidates[chosen].Affinity {
			chosen = i
		}
	}
	return chosen, "hash"
}

// requestCountScorer scores a candidate by the number of its requests, one
// second each.
type requestCountScorer struct{}

func (requestCountScorer) name() string { return "requests" }

func (requestCountScorer) score(_ *decision, c *Candidate) time.Duration {
	return time.Duration(c.load.requestCount()) * time.Second
}
