package quarantine

import (
	"testing"
	"time"
)

// Few servers that end for other reasons, one soon after the other, hold back no sound requests
// that wait there beside young streams.
func TestReplayOfOrdinaryCrashesOfFewServers(t *testing.T) {
	rates := map[string]float64{"A": 10, "AB": 10, "ABC": 3, "D": 2, "E": 0.7, "rare": 20}
	for seed := range uint64(12) {
		r := newReplay(seed, 4, 4)
		for range 6 {
			r.play(8*time.Second, rates)
			for range 10 {
				r.endServer(r.random.IntN(len(r.servers)), nil)
				r.play(300*time.Millisecond, rates)
			}
		}
		for parts, held := range r.heldSound {
			t.Errorf("seed %d: %q: %d of %d requests held back", seed, parts, held, r.sent[parts])
		}
	}
}
