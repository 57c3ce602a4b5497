// Package pieces stores the KV cache of hot prompt prefixes outside of the engine.
// It exports their pieces to a store, and before a generation it imports pieces
// that the engine lacks if that is cheaper than recomputing them. After any of
// its failures the engine recomputes the pieces.
package pieces

import (
	"time"

	"golang.org/x/sync/semaphore"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// maxBudgetShare bounds the time of an import, as a share of the time to
	// compute the same tokens. It also bounds the cost of a failed import.
	maxBudgetShare = 0.5
	// maxBudget bounds the time of any import.
	maxBudget = 2 * time.Second
	// probeInterval is the time after which an import is tried although recent
	// ones were too slow.
	probeInterval = 10 * time.Second
	// minBackoff and maxBackoff bound the pause after failures of the store or
	// of imports.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 30 * time.Second

	// minUses is the number of uses after which a piece is worth storing.
	minUses = 2
	// cachedFor is how long a piece counts as cached after its use if the index
	// has lost cache events.
	cachedFor = time.Second
	// missingFor is how long a piece that the store lacked is not requested
	// again.
	missingFor = time.Second
	// storedFor is the time after which a stored piece is exported again.
	storedFor = 5 * time.Minute
	// maxHistory is the number of pieces whose state a sidecar records.
	maxHistory = 16_384

	// exportsPerSecond and exportBurst limit the rate of exports, in pieces.
	exportsPerSecond = 8
	exportBurst      = 16
	// exportTimeout is the time-out for the export of one piece.
	exportTimeout = 5 * time.Second
)

// Index is an index of the blocks that the engine has cached.
type Index interface {
	// Depth returns the number of leading blocks of chain that are known to be
	// cached. Complete reports whether the engine is known to have no more of
	// them cached.
	Depth(chain []uint64) (blocks int, complete bool)
}

// Options configure the filter.
type Options struct {
	Store  platform.PieceStore
	Engine engine.Engine
	Index  Index
	// Load returns the engine's incarnation and prefill rate.
	Load func() *wire.Load
}

// New returns the filter.
func New(opts Options) *Filter {
	return &Filter{
		store:         opts.Store,
		engine:        opts.Engine,
		index:         opts.Index,
		load:          opts.Load,
		history:       newHistory(),
		cost:          cost{maxShare: maxBudgetShare},
		exportSem:     semaphore.NewWeighted(1),
		exportLimiter: rate.NewLimiter(exportsPerSecond, exportBurst),
	}
}
