package route

import (
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Names of the policies.
const (
	PolicyOwn         = "own"
	PolicyRoundRobin  = "round-robin"
	PolicyLeastLoaded = "least-loaded"
	PolicyPrefixHash  = "prefix-hash"
)

// picker chooses one of at least one scored candidates and says why.
type picker interface {
	pick(d *decision) (index int, reason string)
}

// policy is a way of routing: which candidates are gathered, how they are
// scored and which is picked.
type policy struct {
	name    string
	gather  gatherer
	filters []filter
	scorers []scorer
	picker  picker
}

// newPolicy returns the policy of that name.
func newPolicy(name string) (*policy, error) {
	p := &policy{name: name, filters: []filter{availabilityFilter{}, weightsFilter{}}}
	switch name {
	case PolicyOwn:
		p.gather = nearPrefix{}
		p.scorers = []scorer{queueScorer{}, prefixScorer{}, zoneScorer{}}
		p.picker = fastest{}
	case PolicyRoundRobin:
		p.gather = wholeGroup{}
		p.picker = &inTurn{}
	case PolicyLeastLoaded:
		p.gather = wholeGroup{}
		p.scorers = []scorer{requestsScorer{}}
		p.picker = fastest{}
	case PolicyPrefixHash:
		p.gather = wholeGroup{}
		p.picker = firstByHash{}
	default:
		return nil, errors.Errorf("unknown routing policy %q", name)
	}
	return p, nil
}

// fastest picks the lowest score. Among scores that are nearly the same, it
// picks the first in the consistent hash's order, so that routers which know
// nothing yet agree.
type fastest struct{}

// affinitySlack is how much later a first token may come for the sake of
// affinity: a part of the time to compute the whole prompt, but at least
// affinitySlackMin.
const (
	affinitySlackPart = 0.02
	affinitySlackMin  = time.Millisecond
)

func (fastest) pick(d *decision) (int, string) {
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

func (d *decision) affinitySlack(best int) time.Duration {
	whole := seconds(float64(d.promptTokens) / d.candidates[best].load.prefillRate())
	return max(affinitySlackMin, time.Duration(affinitySlackPart*float64(whole)))
}

// inTurn picks the candidates one after the other.
type inTurn struct{ next atomic.Uint64 }

func (p *inTurn) pick(d *decision) (int, string) {
	return int(p.next.Add(1) % uint64(len(d.candidates))), "turn"
}

// firstByHash picks the first candidate by the consistent hash.
type firstByHash struct{}

func (firstByHash) pick(d *decision) (int, string) {
	chosen := 0
	for i := range d.candidates {
		if d.candidates[i].Affinity < d.candidates[chosen].Affinity {
			chosen = i
		}
	}
	return chosen, "hash"
}

// requestsScorer scores the number of requests at the backend server.
type requestsScorer struct{}

func (requestsScorer) name() string { return "requests" }

func (requestsScorer) score(_ *decision, c *Candidate) time.Duration {
	return time.Duration(c.load.requests()) * time.Second
}
