package model

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// cache is the prefix cache: block hashes with the salt that they were stored
// under, evicted by least recent use.
type cache struct {
	mu     sync.Mutex
	blocks *simplelru.LRU[uint64, string]
	events *eventLog
	gone   []uint64 // evicted by the current store
}

func newCache(capacity int, events *eventLog) *cache {
	c := &cache{events: events}
	blocks, err := simplelru.NewLRU(capacity, func(block uint64, _ string) { c.gone = append(c.gone, block) })
	if err != nil {
		panic(err) // the capacity is positive
	}
	c.blocks = blocks
	return c
}

// match returns the number of leading blocks of chain that are cached, and
// marks them as used.
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

// touchLocked marks the blocks as used, the first one last.
func (c *cache) touchLocked(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.blocks.Get(chain[i])
	}
}

// store puts the blocks into the cache. A chain longer than the cache keeps
// its beginning.
func (c *cache) store(salt string, chain []uint64, capacity int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	chain = chain[:min(len(chain), capacity)]
	var stored []uint64
	c.gone = nil
	c.touchLocked(chain) // so that none of them is evicted for the others
	for i := len(chain) - 1; i >= 0; i-- {
		if !c.blocks.Contains(chain[i]) {
			stored = append(stored, chain[i])
			c.blocks.Add(chain[i], salt)
		}
	}
	c.touchLocked(chain)
	if len(stored)+len(c.gone) > 0 {
		c.events.append(stored, c.gone)
	}
}

// holds says whether all blocks are cached under salt.
func (c *cache) holds(salt string, blocks []uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, block := range blocks {
		if held, ok := c.blocks.Peek(block); !ok || held != salt {
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
