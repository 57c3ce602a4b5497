// Package pieces keeps hot prompt prefixes outside of the engine: it exports
// them to the store of kept KV cache, and imports what the engine lacks before
// a generation when that is cheaper than computing it again. All of its
// failures end in recomputation.
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
	// maxBudgetShare bounds the time of an import by this share of the time to
	// compute the same tokens. An import that fails costs no more than that.
	maxBudgetShare = 0.5
	// maxBudget bounds the time of an import in any case.
	maxBudget = 2 * time.Second
	// probeInterval is the time after which an import is tried although it was
	// too costly of late.
	probeInterval = 10 * time.Second
	// firstPause and lastPause bound the pause after failures of the store or of
	// imports.
	firstPause = 500 * time.Millisecond
	lastPause  = 30 * time.Second

	// minUses is the number of uses that make a piece worth keeping.
	minUses = 2
	// heldFor is how long a piece counts as cached after its use while the index
	// has lost cache events.
	heldFor = time.Second
	// absentFor is how long a piece that was not found is not asked for again.
	absentFor = time.Second
	// keptFor is the time after which a kept piece is exported again.
	keptFor = 5 * time.Minute
	// maxRemembered is the number of pieces that a sidecar remembers.
	maxRemembered = 16_384

	// exportsPerSecond and exportBurst bound the exports, in pieces.
	exportsPerSecond = 8
	exportBurst      = 16
	// exportTimeout bounds the export of one piece.
	exportTimeout = 5 * time.Second
)

// Index knows the blocks that the engine holds.
type Index interface {
	// Depth returns the number of leading blocks of chain that the engine holds
	// as far as is known.
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
func New(opts Options) *Pieces {
	return &Pieces{
		store:     opts.Store,
		engine:    opts.Engine,
		index:     opts.Index,
		load:      opts.Load,
		memory:    newMemory(),
		cost:      cost{maxShare: maxBudgetShare},
		exporting: semaphore.NewWeighted(1),
		exports:   rate.NewLimiter(exportsPerSecond, exportBurst),
	}
}
