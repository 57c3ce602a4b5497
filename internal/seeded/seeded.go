// Package seeded tells tests which seeds to play, and for how long.
package seeded

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Runs returns the seeds and the length of runs: those given by the environment variables
// NAME_SEEDS, a comma-separated list, and NAME_SECONDS, or else those for CI.
func Runs(t testing.TB, name string, seeds []uint64, length time.Duration) ([]uint64, time.Duration) {
	t.Helper()
	if list := os.Getenv(name + "_SEEDS"); list != "" {
		seeds = nil
		for text := range strings.SplitSeq(list, ",") {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			seeds = append(seeds, seed)
		}
	}
	if text := os.Getenv(name + "_SECONDS"); text != "" {
		seconds, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		length = time.Duration(seconds) * time.Second
	}
	return seeds, length
}
