package prefix

import "math/bits"

// levelBits is the number of leading bits in which levels differ. With 5, adjacent
// levels are at most 1/16 of their depth apart.
const levelBits = 5

// Levels appends to dst the depths, in blocks, at which a chain of the given length is
// indexed: its end, and the levels below in descending order.
func Levels(dst []int, blocks int) []int {
	for depth := blocks; depth > 0; depth = levelBelow(depth) {
		dst = append(dst, depth)
	}
	return dst
}

// LevelBelow returns the deepest level below a depth, or 0 if there is none.
func LevelBelow(depth int) int { return levelBelow(depth) }

// levelBelow returns the deepest level below a depth, or 0 if there is none. Levels are
// the depths whose binary digits after the first levelBits are all zero.
func levelBelow(depth int) int {
	depth--
	shift := max(0, bits.Len(uint(depth))-levelBits)
	return depth >> shift << shift
}
