package prefix

import "math/bits"

// levelBits is the number of leading bits of a depth that tell levels apart:
// neighbouring levels are at most 1/16 of their depth apart.
const levelBits = 5

// Levels appends to dst the depths, in blocks, at which the prefixes of a chain
// of that length are remembered: its end, then the levels below, down to the
// first block.
func Levels(dst []int, blocks int) []int {
	for depth := blocks; depth > 0; depth = levelBelow(depth) {
		dst = append(dst, depth)
	}
	return dst
}

// LevelBelow returns the level below a depth, 0 for none.
func LevelBelow(depth int) int { return levelBelow(depth) }

// levelBelow returns the deepest level above depth's prefix, 0 for none. Levels
// are the depths whose binary form has no more than levelBits leading bits set
// to other than zero.
func levelBelow(depth int) int {
	depth--
	shift := max(0, bits.Len(uint(depth))-levelBits)
	return depth >> shift << shift
}
