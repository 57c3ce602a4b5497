package pieces

import (
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/prefix"
)

// importTimeWeight is the weight of the latest import in the moving average of
// the time per piece.
const importTimeWeight = 0.2

// cost estimates the time of imports and of recomputation.
type cost struct {
	maxShare float64 // longest import, as a share of the time to recompute

	mu           sync.Mutex
	perPiece     time.Duration // moving average of the time to fetch and import a piece; 0: unknown
	lastMeasured time.Time     // end of the last import or lookup
	prefillRate  float64       // last reported, in tokens per second
	backoff      time.Duration // length of the last pause after a failure
	backoffUntil time.Time
}

// estimate compares the import of some blocks with their recomputation.
type estimate struct {
	expected   time.Duration // time to import
	recompute  time.Duration // time to compute
	budget     time.Duration // longest time that an import may take
	skipReason string        // why the import is skipped; "" means import
}

// Reasons to skip an import, in logs and metrics.
const (
	skipBackoff     = "imports failed of late"
	skipUnknownRate = "prefill rate is not known"
	skipCostly      = "recomputing is cheaper"
	skipNotStored   = "not kept a moment ago"
	skipDeadline    = "the caller waits no longer"
)

// estimate compares the import of some pieces, which contain the given number of
// missing blocks, with their recomputation. A prefill rate of 0 means that the
// engine has not reported one.
func (c *cost) estimate(pieces, missingBlocks int, prefillRate float64) estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prefillRate > 0 {
		c.prefillRate = prefillRate
	}
	e := estimate{expected: time.Duration(pieces) * c.perPiece}
	if c.prefillRate <= 0 {
		e.skipReason = skipUnknownRate
		return e
	}
	seconds := float64(missingBlocks*prefix.BlockTokens) / c.prefillRate
	e.recompute = time.Duration(seconds * float64(time.Second))
	e.budget = min(maxBudget, time.Duration(c.maxShare*float64(e.recompute)))
	now := time.Now()
	switch {
	case now.Before(c.backoffUntil):
		e.skipReason = skipBackoff
	case e.expected > e.budget && !c.probeDueLocked(now, missingBlocks):
		e.skipReason = skipCostly
	}
	return e
}

// probeDueLocked reports whether an import over budget is tried anyway, to measure
// its time again. A whole piece must be missing, because otherwise the budget
// would be too short for an import.
func (c *cost) probeDueLocked(now time.Time, missingBlocks int) bool {
	return missingBlocks >= prefix.PieceBlocks && now.Sub(c.lastMeasured) >= probeInterval
}

// recordImport adds the time of an import of one piece to the average, and resets
// the back-off.
func (c *cost) recordImport(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoff = 0
	c.lastMeasured = time.Now()
	if c.perPiece == 0 {
		c.perPiece = took
		return
	}
	c.perPiece += time.Duration(importTimeWeight * float64(took-c.perPiece))
}

// recordMiss records the time of a store lookup that returned no usable piece. It
// is a lower bound for the time of an import.
func (c *cost) recordMiss(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMeasured = time.Now()
	c.perPiece = max(c.perPiece, took)
}

// recordTimeout records an import that exceeded its budget after the given time.
// It assumes that the import would have taken twice as long, so that the next
// similar import is skipped.
func (c *cost) recordTimeout(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastMeasured = time.Now()
	c.perPiece = max(c.perPiece, 2*took)
}

// recordFailure pauses imports. The pause doubles with each consecutive failure.
func (c *cost) recordFailure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
	c.backoffUntil = time.Now().Add(c.backoff)
}
