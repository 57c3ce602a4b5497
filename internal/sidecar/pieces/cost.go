package pieces

import (
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/prefix"
)

// newestWeight is the weight of the newest import in the mean time per piece.
const newestWeight = 0.2

// cost estimates what imports and recomputation take.
type cost struct {
	maxShare float64 // of the time to recompute that an import may take

	mu          sync.Mutex
	perPiece    time.Duration // mean time to fetch and import a piece; 0: not known
	tried       time.Time     // last measurement
	prefillRate float64       // last known, in tokens per second
	pause       time.Duration // after the last failure
	pausedUntil time.Time
}

// estimate is the cost of importing some blocks against computing them.
type estimate struct {
	expected  time.Duration // time to import
	recompute time.Duration // time to compute
	budget    time.Duration // longest time that an import may take
	skip      string        // why not to import; empty: import
}

// The reasons not to import.
const (
	skipPaused    = "imports failed of late"
	skipRate      = "prefill rate is not known"
	skipCostly    = "recomputing is cheaper"
	skipNotKept   = "not kept a moment ago"
	skipLateStart = "the caller waits no longer"
)

// estimate weighs the import of some pieces that hold the given number of
// missing blocks. A prefill rate of 0 means that the engine has not reported.
func (c *cost) estimate(pieces, missingBlocks int, prefillRate float64) estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if prefillRate > 0 {
		c.prefillRate = prefillRate
	}
	e := estimate{expected: time.Duration(pieces) * c.perPiece}
	if c.prefillRate <= 0 {
		e.skip = skipRate
		return e
	}
	seconds := float64(missingBlocks*prefix.BlockTokens) / c.prefillRate
	e.recompute = time.Duration(seconds * float64(time.Second))
	e.budget = min(maxBudget, time.Duration(c.maxShare*float64(e.recompute)))
	now := time.Now()
	switch {
	case now.Before(c.pausedUntil):
		e.skip = skipPaused
	case e.expected > e.budget && !c.probeLocked(now, missingBlocks):
		e.skip = skipCostly
	}
	return e
}

// probeLocked says whether a costly import is tried to learn whether it still
// is. A whole piece must be missing, so that the budget is not too short.
func (c *cost) probeLocked(now time.Time, missingBlocks int) bool {
	return missingBlocks >= prefix.PieceBlocks && now.Sub(c.tried) >= probeInterval
}

// succeeded takes in the time of an import of one piece, and ends the pauses
// after failures.
func (c *cost) succeeded(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause = 0
	c.tried = time.Now()
	if c.perPiece == 0 {
		c.perPiece = took
		return
	}
	c.perPiece += time.Duration(newestWeight * float64(took-c.perPiece))
}

// lookedUp takes in the time in which the store answered without a usable piece:
// an import takes no less.
func (c *cost) lookedUp(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = time.Now()
	c.perPiece = max(c.perPiece, took)
}

// tooSlow takes in the time of an import that was given up. It would have taken
// longer; twice as long is assumed, so that the next one like it is left out.
func (c *cost) tooSlow(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tried = time.Now()
	c.perPiece = max(c.perPiece, 2*took)
}

// failed stops imports for a while, for longer after each failure in a row.
func (c *cost) failed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pause = min(max(2*c.pause, firstPause), lastPause)
	c.pausedUntil = time.Now().Add(c.pause)
}
