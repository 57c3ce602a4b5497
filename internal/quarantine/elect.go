package quarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// maxDoublings bounds the doublings in Elected.
const maxDoublings = 20

// Elected reports whether the process at address self may send a part's probe in a turn. In
// the first turn one process may, in each later one twice as many, since requests with the
// part may come to few processes only. All processes with the same list agree.
func Elected(part Part, turn int64, self string, processes []string) bool {
	suffix := "/" + part.String() + "/" + strconv.FormatInt(turn, 10)
	own := xxhash.Sum64String(self + suffix)
	before := 0
	for _, address := range processes {
		if address != self && xxhash.Sum64String(address+suffix) < own {
			before++
		}
	}
	return before < 1<<min(max(0, turn), maxDoublings)
}
