package route

import (
	"time"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/request"
)

// Candidate is a backend server that a request may go to.
type Candidate struct {
	Server *membership.Server
	load   *serverLoad
	// CachedTokens is the length of the prompt's prefix that the backend server
	// is known to hold, in tokens.
	CachedTokens int
	// Affinity is the candidate's place in the order of the consistent hash; the
	// first has 0.
	Affinity int
	// Score is the expected time to the first token.
	Score time.Duration
}

// decision is the work space of one routing decision.
type decision struct {
	req          *request.Request
	now          time.Time
	zone         string // the router's availability zone
	promptTokens int
	// affinityDepth is the length of the prefix that decides affinity, in blocks.
	affinityDepth int
	candidates    []Candidate
}

// filter says whether a candidate may be used at all.
type filter interface {
	name() string
	keep(d *decision, c *Candidate) bool
}

// availabilityFilter drops backend servers that leave, drain or have failed
// this request.
type availabilityFilter struct{}

func (availabilityFilter) name() string { return "availability" }

func (availabilityFilter) keep(d *decision, c *Candidate) bool {
	return !c.Server.Leaving && !c.load.draining(d.now) && !d.req.HasFailed(c.Server.Address)
}

// weightsFilter drops engines that don't hold the request's weights version.
type weightsFilter struct{}

func (weightsFilter) name() string { return "weights" }

func (weightsFilter) keep(d *decision, c *Candidate) bool {
	return d.req.Generation == nil || c.load.holds(d.req, c.Server.Address)
}

// scorer returns a part of the expected time to the first token.
type scorer interface {
	name() string
	score(d *decision, c *Candidate) time.Duration
}

// queueScorer scores the time until the backend server gets to the request.
type queueScorer struct{}

func (queueScorer) name() string { return "queue" }

const (
	// deferrableWeight is what a wait counts for work that may wait.
	deferrableWeight = 0.125
	// prefillStep is the longest prefill that an urgent request is expected to
	// find running, in tokens: it goes before all deferrable work but that one.
	prefillStep = 2048
)

func (queueScorer) score(d *decision, c *Candidate) time.Duration {
	waiting := c.load.backlog(d.now)
	rate := c.load.prefillRate()
	if workClass(d.req.Class) == deferrable {
		wait := seconds(waiting.total()/rate) + c.load.slotWait()
		return time.Duration(deferrableWeight * float64(wait))
	}
	ahead := waiting[urgent] + min(waiting[deferrable], prefillStep)
	return seconds(ahead/rate) + min(c.load.slotWait(), c.load.slotTurn())
}

// meanServiceTime is assumed of a running request when all of an engine's slots
// are taken.
const meanServiceTime = 500 * time.Millisecond

// slotWait returns the expected wait for one of the engine's slots, behind all
// requests there.
func (s *serverLoad) slotWait() time.Duration {
	slots := s.slots()
	if slots == 0 {
		return 0
	}
	ahead := s.requests() - slots + 1
	return time.Duration(max(0, ahead)) * s.slotTurn()
}

// slotTurn returns the expected time until one of the taken slots is free.
func (s *serverLoad) slotTurn() time.Duration {
	slots := s.slots()
	if slots == 0 {
		return 0
	}
	return meanServiceTime / time.Duration(slots)
}

func (s *serverLoad) slots() int64 {
	last := s.report.Load()
	if last == nil {
		return 0
	}
	return int64(last.load.GetMaxRunning())
}

// prefixScorer scores the time to compute what the cache lacks.
type prefixScorer struct{}

func (prefixScorer) name() string { return "prefix" }

// homeBelief is the probability that the first backend server by affinity holds
// the prefix that decides affinity, although this router does not know of it:
// another router may have sent it there.
const homeBelief = 0.5

// deferrableBelief is the same for work that may wait: it follows affinity, so
// that its prefixes lie on fewer backend servers.
const deferrableBelief = 0.8

func (prefixScorer) score(d *decision, c *Candidate) time.Duration {
	return seconds((float64(d.promptTokens) - d.expectedCached(c)) / c.load.prefillRate())
}

// expectedCached returns the prompt tokens that the candidate is expected to
// hold.
func (d *decision) expectedCached(c *Candidate) float64 {
	known := float64(c.CachedTokens)
	if c.Affinity > 0 {
		return known
	}
	unknown := max(0, float64(d.affinityDepth*prefix.BlockTokens)-known)
	if workClass(d.req.Class) == deferrable {
		return known + deferrableBelief*unknown
	}
	return known + homeBelief*unknown
}

// zoneScorer scores the distance between availability zones.
type zoneScorer struct{}

// zoneDistance is the round trip between availability zones.
const zoneDistance = time.Millisecond

func (zoneScorer) name() string { return "zone" }

func (zoneScorer) score(d *decision, c *Candidate) time.Duration {
	if c.Server.AvailabilityZone == d.zone {
		return 0
	}
	return zoneDistance
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
