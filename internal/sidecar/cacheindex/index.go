// Package cacheindex maintains in the sidecar an index of the blocks that its
// engine has cached, built from the engine's cache events. Events arrive late and
// some are lost, so the index may be out of date: each block in it was stored, and
// no eviction of it was received; after a gap in the events, nothing is known of
// other blocks.
package cacheindex

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxBlocks is the capacity of the index.
const maxBlocks = 131_072

// Index contains the blocks cached by one engine, in LRU order. It is safe for
// concurrent use.
type Index struct {
	mu          sync.Mutex
	blocks      *simplelru.LRU[uint64, struct{}]
	incarnation uint64
	sequence    uint64 // of the last event
	complete    bool   // no event of the incarnation was lost, no block dropped for the capacity
}

// New returns an empty Index of an unknown incarnation.
func New() *Index { return newWithCapacity(maxBlocks) }

func newWithCapacity(size int) *Index {
	blocks, err := simplelru.NewLRU[uint64, struct{}](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Index{blocks: blocks}
}

// Apply applies an event. It empties the index first if events before this one
// were lost or the incarnation is new. It ignores an event that was already
// applied.
func (x *Index) Apply(event engine.CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if event.Incarnation != x.incarnation {
		x.resetLocked()
		x.incarnation = event.Incarnation
		x.complete = true
	}
	if event.Sequence <= x.sequence {
		return
	}
	if event.Sequence != x.sequence+1 {
		x.blocks.Purge()
		x.complete = false
		countGap()
	}
	x.sequence = event.Sequence
	for _, block := range event.Evicted {
		x.blocks.Remove(block)
	}
	for _, block := range event.Stored {
		if x.blocks.Add(block, struct{}{}) {
			x.complete = false
		}
	}
}

// Reset empties the index. Its content is incomplete until the next event.
func (x *Index) Reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.resetLocked()
}

func (x *Index) resetLocked() {
	x.blocks.Purge()
	x.incarnation = 0
	x.sequence = 0
	x.complete = false
}

// ObserveIncarnation empties the index if it was built for another incarnation than
// the given one, which the engine has reported in a response; 0 means unknown.
func (x *Index) ObserveIncarnation(incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != 0 && incarnation != x.incarnation {
		x.resetLocked()
	}
}

// Depth returns the number of leading blocks of chain that the index contains,
// and marks them as used. Complete reports whether the engine is known to have no
// more of them cached.
func (x *Index) Depth(chain []uint64) (blocks int, complete bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for n < len(chain) && x.blocks.Contains(chain[n]) {
		n++
	}
	for i := n - 1; i >= 0; i-- {
		x.blocks.Get(chain[i])
	}
	return n, x.complete
}

// Digest returns the engine's incarnation and up to maxBlocks block hashes, most
// recently used first.
func (x *Index) Digest(maxBlocks int) *wire.DigestReply {
	x.mu.Lock()
	defer x.mu.Unlock()
	keys := x.blocks.Keys() // oldest first
	n := min(len(keys), max(0, maxBlocks))
	reply := &wire.DigestReply{Incarnation: x.incarnation, Blocks: make([]uint64, 0, n)}
	for i := range n {
		reply.Blocks = append(reply.Blocks, keys[len(keys)-1-i])
	}
	return reply
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.blocks.Len()
}
