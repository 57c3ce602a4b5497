package route

import (
	"math/rand/v2"
	"slices"

	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/prefix"
)

const (
	// smallGroupSize is the largest group size at which every backend server is
	// a candidate.
	smallGroupSize = 16
	// hashLevels is the number of nested prefix lengths that are looked up on
	// the ring: a quarter, half and all of the prompt.
	hashLevels = 3
	// serversPerLevel is the number of candidates taken for each prefix length.
	serversPerLevel = 2
	// randomCandidates is the number of candidates added at random, so that a
	// burst on one prefix finds idle backend servers.
	randomCandidates = 2
	// prefixHashBlocks is the number of blocks of the prefix that decides
	// affinity under the prefix-hash policy.
	prefixHashBlocks = 4
)

// gatherer selects candidates for a request. It appends to dst their indexes in
// servers, in affinity order.
type gatherer interface {
	gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, holders []prefix.Holder) []int32
}

// prefixHash returns the hash of the first prefixHashBlocks blocks of the
// prompt, or a random hash if the request has no blocks.
func prefixHash(blocks []uint64) uint64 {
	if len(blocks) == 0 {
		return rand.Uint64()
	}
	return blocks[min(len(blocks), prefixHashBlocks)-1]
}

// allServersGatherer selects all backend servers, in ring order.
type allServersGatherer struct{}

func (allServersGatherer) gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, _ []prefix.Holder) []int32 {
	return ring.Lookup(dst, prefixHash(d.blocks()), len(servers))
}

// affinityDepth returns the length in blocks of the prefix that decides
// affinity: about three quarters of the prompt, since the part that prompts do
// not share is short and at the end. It depends on the prompt alone, so that
// all routers agree whatever their indexes hold.
func affinityDepth(blocks []uint64) int {
	depth := len(blocks)
	for depth > max(1, len(blocks)*3/4) {
		depth = prefix.LevelBelow(depth)
	}
	return depth
}

// prefixGatherer selects all backend servers of a small group. In a large group
// it selects the ring's servers for nested prefixes of the prompt, the known
// holders of a prefix, and a few servers at random.
type prefixGatherer struct{}

func (prefixGatherer) gather(dst []int32, d *decision, servers []membership.Server, ring *membership.Ring, holders []prefix.Holder) []int32 {
	blocks := d.blocks()
	affinity := d.affinityHash()
	if len(servers) <= smallGroupSize {
		return ring.Lookup(dst, affinity, len(servers))
	}
	dst = ring.Lookup(dst, affinity, serversPerLevel)
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

// appendNew appends index to dst unless it is already there.
func appendNew(dst []int32, index int32) []int32 {
	if slices.Contains(dst, index) {
		return dst
	}
	return append(dst, index)
}

// affinityHash returns the hash of the prefix that decides affinity, or a
// random hash if there is none.
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
