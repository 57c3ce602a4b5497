package prefix

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// chainOf returns a chain of block hashes of the given length. The first shared blocks
// are the same in all chains with the same root.
func chainOf(root, tail uint64, shared, length int) []uint64 {
	chain := make([]uint64, length)
	for i := range chain {
		seed := tail
		if i < shared {
			seed = 0
		}
		chain[i] = rand.NewPCG(root<<32|seed, uint64(i)).Uint64()
	}
	return chain
}

// depths returns the number of blocks by address.
func depths(holders []Holder) map[string]int {
	result := make(map[string]int)
	for _, h := range holders {
		result[h.Address] = h.Blocks
	}
	return result
}

func TestLevelSpacing(t *testing.T) {
	for blocks := range 3000 {
		levels := Levels(nil, blocks)
		for i, depth := range levels {
			next := 0
			if i+1 < len(levels) {
				next = levels[i+1]
			}
			if next >= depth || depth-next > max(1, (depth+15)/16) {
				t.Fatalf("%d blocks: level %d follows level %d, want a lower one at most 1/16 away", blocks, next, depth)
			}
			if i > 0 && levelBelow(depth+1) != depth {
				t.Fatalf("%d blocks: level %d is not a level of a longer chain", blocks, depth)
			}
		}
	}
}

func TestIndexDropsWhatIsGone(t *testing.T) {
	chain := chainOf(1, 1, 0, 64)
	cases := []struct {
		name string
		then func(*Index)
		want map[string]int
	}{
		{"both servers", func(*Index) {}, map[string]int{"a": 64, "b": 32}},
		{"new incarnation", func(x *Index) { x.Add(chain[:8], "a", 2) }, map[string]int{"a": 8, "b": 32}},
		{"incarnation unknown", func(x *Index) { x.Add(chain, "c", 0) }, map[string]int{"a": 64, "b": 32}},
		{"removed", func(x *Index) { x.Remove("b") }, map[string]int{"a": 64}},
		{"removed and added again", func(x *Index) { x.Remove("b"); x.Add(chain[:4], "b", 1) }, map[string]int{"a": 64, "b": 4}},
		{"removed twice", func(x *Index) { x.Remove("a"); x.Remove("a") }, map[string]int{"b": 32}},
		{"restored", func(x *Index) { x.Restore(chain[:16], "c", 1) }, map[string]int{"a": 64, "b": 32, "c": 16}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := NewIndex(1000)
			x.Add(chain, "a", 1)
			x.Add(chain[:32], "b", 1)
			c.then(x)
			if got := depths(x.Holders(nil, chain)); fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// The index never returns more than was recorded of a server's current incarnation,
// stays within its bound, and evicts nothing while there is space.
func TestIndexAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.SampledFrom([]int{1, 20, 100, 10_000}).Draw(t, "capacity")
		x := NewIndex(capacity)
		held := make(map[string]map[uint64]bool)
		incarnation := make(map[string]uint64)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			address := fmt.Sprint(rapid.IntRange(0, 19).Draw(t, "server"))
			chain := chainOf(rapid.Uint64Range(0, 1).Draw(t, "root"), rapid.Uint64Range(0, 3).Draw(t, "tail"), 20, 70)
			chain = chain[:rapid.IntRange(1, len(chain)).Draw(t, "length")]
			if held[address] == nil || rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				incarnation[address]++
				held[address] = make(map[uint64]bool)
			}
			x.Add(chain, address, incarnation[address])
			for _, block := range chain {
				held[address][block] = true
			}
			found := x.Holders(nil, chain)
			checkHolders(t, found, chain, held)
			if x.Len() > capacity || len(found) == 0 || capacity > 1000 && depths(found)[address] != len(chain) {
				t.Fatalf("%d blocks of %d; %v lacks %s", x.Len(), capacity, found, address)
			}
		}
	})
}

func checkHolders(t *rapid.T, found []Holder, chain []uint64, held map[string]map[uint64]bool) {
	if len(depths(found)) != len(found) {
		t.Fatalf("a server is listed twice: %v", found)
	}
	for _, h := range found {
		if h.Blocks < 1 || h.Blocks > len(chain) || !held[h.Address][chain[h.Blocks-1]] {
			t.Fatalf("%v was not recorded", h)
		}
	}
}

func TestHeatHalves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewIndex(100)
		hot, cold := chainOf(1, 1, 16, 32), chainOf(1, 2, 16, 32)
		for range 8 {
			x.Add(hot, "a", 1)
		}
		time.Sleep(heatHalfLife)
		x.Add(cold, "a", 1)
		for _, c := range []struct {
			name  string
			block uint64
			want  float64
		}{{"shared", hot[15], 5}, {"hot", hot[31], 4}, {"cold", cold[31], 1}, {"unknown", 42, 0}} {
			if got := x.Heat(c.block); math.Abs(got-c.want) > 0.01 {
				t.Errorf("%s: heat %v, want %v", c.name, got, c.want)
			}
		}
		holders := x.Holders(nil, hot)
		if len(holders) != 1 || holders[0].Age != heatHalfLife {
			t.Errorf("holders %v", holders)
		}
	})
}

func TestMoreServersThanSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := NewIndex(100)
		for i := range maxServers + 10 {
			x.Add(chainOf(uint64(i%3), 0, 0, 4), fmt.Sprint(i), 1)
			time.Sleep(tick)
		}
		var got []string
		for root := range uint64(3) {
			for _, h := range x.Holders(nil, chainOf(root, 0, 0, 4)) {
				got = append(got, h.Address)
			}
		}
		if len(got) != 3*maxHolders || !slices.Contains(got, fmt.Sprint(maxServers+9)) || slices.Contains(got, "0") {
			t.Errorf("holders %v", got)
		}
	})
}
