package prefix

import (
	"math"
	"sync"
	"time"
)

const (
	// heatHalfLife is the time in which the heat of a prefix decays by half.
	heatHalfLife = 10 * time.Second
	// tick is the resolution of ages and heat.
	tick = 100 * time.Millisecond
)

// Holder is a backend server that is known to hold a prefix.
type Holder struct {
	Address string        // RPC address
	Blocks  int           // length of the prefix
	Age     time.Duration // time since the server was added as a holder
}

// Index records which backend servers hold which prefixes, as far as known from their
// responses. It holds a bounded number of blocks, of which it evicts the least recently
// used, and indexes a chain at its Levels only. It is safe for concurrent use.
type Index struct {
	start time.Time

	mu      sync.RWMutex
	blocks  blockTable
	servers serverTable
}

// NewIndex returns an empty Index of at most the given number of blocks.
func NewIndex(blocks int) *Index {
	return &Index{start: time.Now(), blocks: newBlockTable(max(1, blocks)), servers: newServerTable()}
}

// now returns the number of ticks since the start.
func (x *Index) now() uint32 { return uint32(time.Since(x.start) / tick) }

// Holders appends to dst the backend servers known to hold a prefix of the chain, each
// with its longest one, in descending order of length, and at most maxHolders.
func (x *Index) Holders(dst []Holder, chain []uint64) []Holder {
	x.mu.RLock()
	defer x.mu.RUnlock()
	now := x.now()
	var seen serverSet
	left := min(x.servers.live, maxHolders)
	for depth := len(chain); depth > 0 && left > 0; depth = levelBelow(depth) {
		for h := x.blocks.firstHolder(chain[depth-1]); h != none && left > 0; {
			held := &x.blocks.holders[h]
			h = held.next
			if !x.servers.isCurrent(held) || !seen.add(held.server) {
				continue
			}
			left--
			dst = append(dst, Holder{
				Address: x.servers.slots[held.server].address,
				Blocks:  depth,
				Age:     time.Duration(now-held.addedTick) * tick,
			})
		}
	}
	return dst
}

// Add records that the backend server at address has computed the chain, and adds to
// the heat of its prefixes. A new incarnation invalidates all that was recorded of the
// backend server. An incarnation of 0 is unknown, and nothing is recorded.
func (x *Index) Add(chain []uint64, address string, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	server := x.servers.register(address, incarnation, now)
	for depth := len(chain); depth > 0; depth = levelBelow(depth) {
		e := x.blocks.touch(chain[depth-1])
		x.blocks.addHeat(e, now)
		x.setHolder(e, server, now)
	}
}

// Restore records that the backend server at address holds the given blocks, most
// recently used first, without adding heat. They need not form a chain.
func (x *Index) Restore(blocks []uint64, address string, incarnation uint64) {
	if incarnation == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.now()
	server := x.servers.register(address, incarnation, now)
	for i := len(blocks) - 1; i >= 0; i-- {
		x.setHolder(x.blocks.touch(blocks[i]), server, now)
	}
}

// setHolder records that the server holds the block of an entry. If there are too many
// holders, it replaces the one that was added first.
func (x *Index) setHolder(e, server, now uint32) {
	kept := 0
	x.blocks.removeHolders(e, func(h *holder) bool {
		if h.server == server || !x.servers.isCurrent(h) {
			return true
		}
		kept++
		return kept >= maxHolders
	})
	x.blocks.addHolder(e, holder{server: server, generation: x.servers.slots[server].generation, addedTick: now})
}

// Remove removes the backend server at address from all prefixes.
func (x *Index) Remove(address string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.servers.remove(address)
}

// Heat returns the number of times that chains with this block were recorded, each
// halved for every half-life since. It is 0 for blocks that are not at Levels.
func (x *Index) Heat(block uint64) float64 {
	x.mu.RLock()
	defer x.mu.RUnlock()
	e, ok := x.blocks.byBlock[block]
	if !ok {
		return 0
	}
	return x.blocks.entries[e].heatAt(x.now())
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return len(x.blocks.byBlock)
}

// decay returns the factor by which heat decays in the given number of ticks.
func decay(ticks uint32) float64 {
	return math.Exp2(-float64(ticks) * float64(tick) / float64(heatHalfLife))
}
