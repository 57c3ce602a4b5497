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
	// CachedTokens is the length in tokens of the longest prefix of the prompt
	// that the backend server is known to have cached.
	CachedTokens int
	// Affinity is the rank of the backend server in consistent-hash order; 0 is
	// first.
	Affinity int
	// Score is the estimated time to first token.
	Score time.Duration
}

// decision is the working state of one routing decision.
type decision struct {
	req          *request.Request
	now          time.Time
	zone         string // availability zone of the router
	promptTokens int
	// affinityDepth is the number of blocks of the prefix that decides
	// affinity.
	affinityDepth int
	candidates    []Candidate
	// shortestPause is the shortest time until a backend server that wants no request now
	// wants some again; 0: all take requests.
	shortestPause time.Duration
}

func (d *decision) notePause(pause time.Duration) {
	if d.shortestPause == 0 || pause < d.shortestPause {
		d.shortestPause = pause
	}
}

// filter excludes candidates.
type filter interface {
	name() string
	// keep reports whether the candidate may be used.
	keep(d *decision, c *Candidate) bool
}

// availabilityFilter drops backend servers that are leaving, are draining, want no
// request for a time or have already failed this request.
type availabilityFilter struct{}

func (availabilityFilter) name() string { return "availability" }

func (availabilityFilter) keep(d *decision, c *Candidate) bool {
	if pause := c.load.pause(d.now); pause > 0 {
		d.notePause(pause)
		return false
	}
	return !c.Server.Leaving && !c.load.draining(d.now) && !d.req.HasFailed(c.Server.Address)
}

// weightsFilter drops engines that are known not to hold the weights version of
// the request.
type weightsFilter struct{}

func (weightsFilter) name() string { return "weights" }

func (weightsFilter) keep(d *decision, c *Candidate) bool {
	return d.req.Generation == nil || c.load.mayHold(d.req, c.Server.Address)
}

// scorer estimates one component of the time to first token.
type scorer interface {
	name() string
	score(d *decision, c *Candidate) time.Duration
}

// queueScorer estimates the time until the backend server starts on the
// request.
type queueScorer struct{}

func (queueScorer) name() string { return "queue" }

const (
	// deferrableWaitFactor scales the expected wait of deferrable requests, to
	// which a wait matters less.
	deferrableWaitFactor = 0.125
	// maxPrefillStepTokens bounds the deferrable work that an urgent request
	// waits for: it overtakes all of it but the prefill step that is running.
	maxPrefillStepTokens = 2048
)

func (queueScorer) score(d *decision, c *Candidate) time.Duration {
	waiting := c.load.backlog(d.now)
	rate := c.load.prefillRate()
	if classIndex(d.req.Class) == deferrable {
		wait := seconds(waiting.total()/rate) + c.load.slotWait()
		return time.Duration(deferrableWaitFactor * float64(wait))
	}
	ahead := waiting[urgent] + min(waiting[deferrable], maxPrefillStepTokens)
	return seconds(ahead/rate) + min(c.load.slotWait(), c.load.slotReleaseTime())
}

// meanServiceTime is the duration of a request with which the wait for a slot of
// an engine is estimated when all slots are taken.
const meanServiceTime = 500 * time.Millisecond

// slotWait returns the expected wait for a slot of the engine behind all
// requests that are already there.
func (s *serverLoad) slotWait() time.Duration {
	slots := s.slots()
	if slots == 0 {
		return 0
	}
	ahead := s.requestCount() - slots + 1
	return time.Duration(max(0, ahead)) * s.slotReleaseTime()
}

// slotReleaseTime returns the expected time until the next taken slot is
// released.
func (s *serverLoad) slotReleaseTime() time.Duration {
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

// prefixScorer estimates the prefill time of the uncached part of the prompt.
type prefixScorer struct{}

func (prefixScorer) name() string { return "prefix" }

// urgentHitProbability is the probability that the server of rank 0 holds the
// whole affinity prefix without this router knowing: another router may have
// sent the prefix there.
const urgentHitProbability = 0.5

// deferrableHitProbability is the same for deferrable requests. It is higher,
// so that they follow affinity more closely and their prefixes occupy fewer
// backend servers.
const deferrableHitProbability = 0.8

func (prefixScorer) score(d *decision, c *Candidate) time.Duration {
	return seconds((float64(d.promptTokens) - d.expectedCached(c)) / c.load.prefillRate())
}

// expectedCached returns the number of prompt tokens that the candidate is
// expected to have cached.
func (d *decision) expectedCached(c *Candidate) float64 {
	known := float64(c.CachedTokens)
	if c.Affinity > 0 {
		return known
	}
	unknown := max(0, float64(d.affinityDepth*prefix.BlockTokens)-known)
	if classIndex(d.req.Class) == deferrable {
		return known + deferrableHitProbability*unknown
	}
	return known + urgentHitProbability*unknown
}

// zoneScorer adds the round trip to another availability zone.
type zoneScorer struct{}

// crossZoneRTT is the round-trip time between availability zones.
const crossZoneRTT = time.Millisecond

func (zoneScorer) name() string { return "zone" }

func (zoneScorer) score(d *decision, c *Candidate) time.Duration {
	if c.Server.AvailabilityZone == d.zone {
		return 0
	}
	return crossZoneRTT
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
