package route

import (
	"math/rand/v2"
	"slices"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/prefix"
)

const (
	// smallGroup is the size up to which all of a group's backend servers are
	// candidates.
	smallGroup = 16
	// hashLevels is the number of nested prefix lengths that are hashed: a
	// quarter, half and all of the prompt.
	hashLevels = 3
	// serversPerLevel is the number of candidates from each of them.
	serversPerLevel = 2
	// randomCandidates are added, so that a crowd finds idle backend servers.
	randomCandidates = 2
	// rootBlocks is the length of the prefix that decides affinity under the
	// prefix-hash policy, in blocks.
	rootBlocks = 4
)

// gatherer finds a request's candidates, as indexes of the group's backend
// servers in the order of affinity.
type gatherer interface {
	gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, holders []prefix.Holder) []int32
}

// rootHash returns the hash that decides affinity: that of the first blocks of
// the prompt, or of the request id where there are none.
func rootHash(blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return rand.Uint64()
	}
	return blocks[min(len(blocks), rootBlocks)-1]
}

// wholeGroup takes all backend servers, in the order of the ring.
type wholeGroup struct{}

func (wholeGroup) gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, _ []prefix.Holder) []int32 {
	return ring.Lookup(dst, rootHash(d.blocks()), len(servers))
}

// affinityDepth returns the length of the prefix that decides affinity, in
// blocks: about three quarters of the prompt, since what prompts don't share is
// short and comes last. It depends on the prompt alone, so that routers agree
// whatever they know.
func affinityDepth(blocks []uint64) int {
	depth := len(blocks)
	for depth > max(1, len(blocks)*3/4) {
		depth = prefix.LevelBelow(depth)
	}
	return depth
}

// nearPrefix takes all backend servers of a small group. Of a large one it
// takes those known to hold a prefix of the prompt, those that the ring gives
// for nested prefixes, and a few at random.
type nearPrefix struct{}

func (nearPrefix) gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, holders []prefix.Holder) []int32 {
	blocks := d.blocks()
	nearest := d.affinityHash()
	if len(servers) <= smallGroup {
		return ring.Lookup(dst, nearest, len(servers))
	}
	dst = ring.Lookup(dst, nearest, serversPerLevel)
	for level := 1; level <= hashLevels && len(blocks) > 0; level++ {
		length := max(1, len(blocks)>>(hashLevels-level))
		dst = ring.Lookup(dst, blocks[length-1], serversPerLevel)
	}
	for i := range holders {
		if index, ok := ring.Index(holders[i].Address); ok {
			dst = appendNew(dst, index)
		}
	}
	for range randomCandidates {
		dst = appendNew(dst, int32(rand.IntN(len(servers))))
	}
	return dst
}

func appendNew(dst []int32, index int32) []int32 {
	if slices.Contains(dst, index) {
		return dst
	}
	return append(dst, index)
}

// affinityHash returns the hash of the prefix that decides affinity.
func (d *decision) affinityHash() uint64 {
	if d.affinityDepth == 0 {
		return rand.Uint64()
	}
	return d.blocks()[d.affinityDepth-1]
}

func (d *decision) blocks() []uint64 {
	if d.req.Generation == nil {
		return nil
	}
	return d.req.Generation.Blocks
}
