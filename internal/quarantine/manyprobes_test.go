package quarantine

import (
	"testing"
	"time"
)

// Requests with a blamed part that come back to many gateways long after the next probe was
// due do not all become probes.
func TestFewProbesAfterAPause(t *testing.T) {
	for seed := range uint64(4) {
		r := newReplay(seed, 27, 12)
		r.crashing = PartOf("service", "P")
		r.play(6*time.Second, map[string]float64{"A": 10, "AP": 3, "AB": 5})
		if !r.gateways[0].Blames() {
			t.Fatal("nothing is blamed")
		}
		r.play(time.Minute, map[string]float64{"A": 10, "AB": 5})
		before, ends := len(r.arrivals), len(r.ends)
		r.play(2*time.Second, map[string]float64{"A": 10, "AB": 5, "AP": 30})
		if probes := len(r.arrivals) - before; probes > maxLate {
			t.Errorf("seed %d: %d probes within two seconds, %d servers ended under them", seed, probes, len(r.ends)-ends)
		}
	}
}
