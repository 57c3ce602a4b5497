// Package cacheindex keeps the block index of one engine beside it, from the
// engine's cache events. The events come late and with gaps, so the index
// holds a part of the truth: a block in it was stored and not seen to be
// evicted; nothing is known of the others after a gap.
package cacheindex

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxBlocks bounds the index.
const maxBlocks = 131_072

// Index holds the blocks of one engine. It is safe for concurrent use.
type Index struct {
	mu          sync.Mutex
	blocks      *simplelru.LRU[uint64, struct{}]
	incarnation uint64
	sequence    uint64 // of the last event
	complete    bool   // no event of the incarnation was lost
}

// New returns an empty Index of an unknown incarnation.
func New() *Index { return newBounded(maxBlocks) }

func newBounded(size int) *Index {
	blocks, err := simplelru.NewLRU[uint64, struct{}](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &Index{blocks: blocks}
}

// Apply takes in an event. An event that was lost before it, or a new
// incarnation, empties the index first. An event that was taken in already is
// ignored.
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

// Reset empties the index. It knows nothing until the next event.
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

// Observe notes the engine's incarnation as seen in an answer. What is known of
// another one is dropped.
func (x *Index) Observe(incarnation uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if incarnation != 0 && incarnation != x.incarnation {
		x.resetLocked()
	}
}

// Depth returns the number of leading blocks of chain that the engine holds as
// far as is known. Complete says that the engine holds no more of them.
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

// Digest returns the engine's incarnation and at most maxBlocks block hashes,
// most recently used first.
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
