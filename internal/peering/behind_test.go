package peering

import (
	"testing"
	"time"
)

// A gateway is behind from when it first hears of a newer configuration until it has the newest
// one, whichever others report then.
func TestBehind(t *testing.T) {
	start := time.Now()
	var b behind
	for i, c := range []struct {
		at           time.Duration
		theirs, mine uint64
		want         time.Duration
		versions     uint64
	}{
		{0, 5, 5, 0, 0},
		{time.Second, 7, 5, 0, 2},
		{2 * time.Second, 5, 5, time.Second, 2},
		{3 * time.Second, 9, 7, 2 * time.Second, 2},
		{4 * time.Second, 7, 9, 0, 0},
		{5 * time.Second, 10, 9, 0, 1},
	} {
		now := start.Add(c.at)
		b.note("peer", c.theirs, c.mine, now)
		if lag, versions := b.behindFor(c.mine, now); lag != c.want || versions != c.versions {
			t.Errorf("step %d: behind for %v by %d, want %v, %d", i, lag, versions, c.want, c.versions)
		}
	}
}
