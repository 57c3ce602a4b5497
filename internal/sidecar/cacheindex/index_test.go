package cacheindex

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/standin/model"
)

func event(incarnation, sequence uint64, stored, evicted []uint64) engine.CacheEvent {
	return engine.CacheEvent{Incarnation: incarnation, Sequence: sequence, Stored: stored, Evicted: evicted}
}

func TestEvents(t *testing.T) {
	chain := []uint64{1, 2, 3}
	first := event(7, 1, chain, nil)
	cases := []struct {
		name     string
		events   []engine.CacheEvent
		depth    int
		complete bool
	}{
		{"none", nil, 0, false},
		{"stored", []engine.CacheEvent{first}, 3, true},
		{"evicted", []engine.CacheEvent{first, event(7, 2, nil, []uint64{2})}, 1, true},
		{"evicted and stored again in one event", []engine.CacheEvent{first, event(7, 2, []uint64{2}, []uint64{2})}, 3, true},
		{"delivered twice", []engine.CacheEvent{first, event(7, 2, nil, []uint64{3}), first}, 2, true},
		{"gap", []engine.CacheEvent{first, event(7, 3, []uint64{9}, nil)}, 0, false},
		{"first event not received", []engine.CacheEvent{event(7, 5, chain, nil)}, 3, false},
		{"rebuilt after a gap", []engine.CacheEvent{first, event(7, 3, []uint64{1, 2}, nil)}, 2, false},
		{"new incarnation", []engine.CacheEvent{first, event(8, 1, []uint64{1}, nil)}, 1, true},
		{"gap at the start of an incarnation", []engine.CacheEvent{first, event(8, 2, []uint64{1}, nil)}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := New()
			for _, e := range c.events {
				x.Apply(e)
			}
			if depth, complete := x.Depth(chain); depth != c.depth || complete != c.complete {
				t.Errorf("got %d blocks, complete %v; want %d, %v", depth, complete, c.depth, c.complete)
			}
		})
	}
}

func TestCapacityAndDigest(t *testing.T) {
	x := newWithCapacity(4)
	x.Apply(event(7, 1, []uint64{1, 2, 3, 4, 5}, nil))
	x.Depth([]uint64{3, 2})
	if got := x.Digest(3); got.Incarnation != 7 || !slices.Equal(got.Blocks, []uint64{3, 2, 5}) {
		t.Errorf("digest %v", got)
	}
	if _, complete := x.Depth(nil); complete || x.Len() != 4 {
		t.Errorf("complete %v with %d blocks", complete, x.Len())
	}
	x.ObserveIncarnation(8)
	if got := x.Digest(9); len(got.Blocks) != 0 {
		t.Errorf("after a new incarnation was seen: %v", got)
	}
}

// TestNeverAheadOfTheEngine checks that, whichever events are lost, the index
// contains only blocks that the engine has cached once it has applied the latest
// event.
func TestNeverAheadOfTheEngine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := New()
		cached := make(map[uint64]bool)
		var incarnation, sequence uint64 = 1, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 19).Draw(t, "crash") == 0 {
				incarnation, sequence = incarnation+1, 0
				clear(cached)
				continue
			}
			sequence++
			block := rapid.Uint64Range(1, 6).Draw(t, "block")
			next := event(incarnation, sequence, []uint64{block}, nil)
			if cached[block] {
				next = event(incarnation, sequence, nil, []uint64{block})
			}
			cached[block] = !cached[block]
			if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
				continue
			}
			x.Apply(next)
			for known := uint64(1); known <= 6; known++ {
				depth, complete := x.Depth([]uint64{known})
				if depth == 1 && !cached[known] || depth == 0 && complete && cached[known] {
					t.Fatalf("block %d: depth %d, complete %v, cached %v", known, depth, complete, cached[known])
				}
			}
		}
	})
}

// TestRunFollowsAnEngine checks the index after lost events and after a crash that
// is not followed by an event.
func TestRunFollowsAnEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := model.New(model.Options{EventDelay: 100 * time.Millisecond})
		defer e.Close()
		x := New()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go x.Run(ctx, e)
		cachePrompt := func(id string) []uint64 {
			req := engine.GenerateRequest{RequestID: id, Model: "base", WeightsVersion: "1", MaxTokens: 1, CacheSalt: "s"}
			req.Prompt = strings.Repeat(id, 8*prefix.BlockBytes)
			if _, err := e.Generate(ctx, req); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
			return prefix.Chain(nil, "s", req.Prompt)
		}
		check := func(when string, chain []uint64, want int, wantComplete bool) {
			t.Helper()
			if depth, complete := x.Depth(chain); depth != want || complete != wantComplete {
				t.Errorf("%s: %d blocks, complete %v; want %d, %v", when, depth, complete, want, wantComplete)
			}
		}
		a := cachePrompt("a")
		check("stored", a, 8, true)
		e.LoseEvents(1, 0)
		cachePrompt("b")
		c := cachePrompt("c")
		check("stored before a gap", a, 0, false)
		check("stored after a gap", c, 8, false)
		e.Crash(time.Second)
		time.Sleep(5 * time.Second)
		check("after a crash", c, 0, false)
		check("stored by the new incarnation", cachePrompt("d"), 8, true)
	})
}
