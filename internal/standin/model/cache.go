package model

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is the prefix cache: an LRU cache of block hashes with the salt that
// they were stored under.
type cache struct {
	mu      sync.Mutex
	blocks  *simplelru.LRU[uint64, string]
	events  *eventLog
	evicted []uint64 // evicted by the current store
}

func newCache(capacity int, events *eventLog) *cache {
	c := &cache{events: events}
	blocks, err := simplelru.NewLRU(capacity, func(block uint64, _ string) { c.evicted = append(c.evicted, block) })
	if err != nil {
		panic(err) // the capacity is positive
	}
	c.blocks = blocks
	return c
}

// match returns the number of leading blocks of chain that are cached and marks
// them as used.
func (c *cache) match(chain []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(chain) && c.blocks.Contains(chain[n]) {
		n++
	}
	c.touchLocked(chain[:n])
	return n
}

// touchLocked marks the blocks as used, the first one last, so that the start of
// the chain is evicted last.
func (c *cache) touchLocked(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.blocks.Get(chain[i])
	}
}

// store adds the blocks to the cache. Of a chain longer than the cache, only
// the first blocks are stored.
func (c *cache) store(salt string, chain []uint64, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain = chain[:min(len(chain), capacity)]
	var stored []uint64
	c.evicted = nil
	c.touchLocked(chain) // so that adding one does not evict another
	for i := len(chain) - 1; i >= 0; i-- {
		if !c.blocks.Contains(chain[i]) {
			stored = append(stored, chain[i])
			c.blocks.Add(chain[i], salt)
		}
	}
	c.touchLocked(chain)
	if len(stored)+len(c.evicted) > 0 {
		c.events.append(stored, c.evicted)
	}
}

// containsAll reports whether all blocks are cached under salt.
func (c *cache) containsAll(salt string, blocks []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, block := range blocks {
		if storedSalt, ok := c.blocks.Peek(block); !ok || storedSalt != salt {
			return false
		}
	}
	return true
}

func (c *cache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.blocks.Len()
}
