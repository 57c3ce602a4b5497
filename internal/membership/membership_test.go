package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/wasabigate/wasabigate/internal/platform"
)

func testVMs(routers, servers int) []platform.VM {
	var vms []platform.VM
	for i := range routers {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("r%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), Group: platform.GroupRouters, State: platform.VMLive})
	}
	for i := range servers {
		vms = append(vms, platform.VM{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.1.%d.%d:1", i/256, i%256), Group: "engines", State: platform.VMLive})
	}
	return vms
}

func TestRingKeepsPrefixesOfRemainingServers(t *testing.T) {
	const prefixes = 10_000
	vms := testVMs(0, 12)
	before, after := NewView(vms), NewView(slices.Delete(slices.Clone(vms), 5, 6))
	removed := vms[5].Address
	moved := 0
	for i := range uint64(prefixes) {
		hash := i * 0x9e3779b97f4a7c15
		first, second := owner(before, hash), owner(after, hash)
		if first == removed {
			continue
		}
		if first != second {
			moved++
		}
	}
	if moved > 0 {
		t.Errorf("%d prefixes of the remaining servers moved", moved)
	}
}

func owner(v *View, hash uint64) string {
	return v.Group("engines")[v.Ring("engines").Lookup(nil, hash, 1)[0]].Address
}

func TestRingLookupReturnsDistinctServers(t *testing.T) {
	ring := NewView(testVMs(0, 5)).Ring("engines")
	found := ring.Lookup([]int32{2}, 7, 9)
	if len(found) != 5 || found[0] != 2 {
		t.Fatalf("got %v, want all five servers, 2 first", found)
	}
	slices.Sort(found)
	if !slices.Equal(found, []int32{0, 1, 2, 3, 4}) {
		t.Errorf("got %v", found)
	}
	if empty := NewRing(nil).Lookup(nil, 7, 3); len(empty) != 0 {
		t.Errorf("an empty ring returns %v", empty)
	}
}

func TestRouterRanksAreDistinct(t *testing.T) {
	view := NewView(testVMs(20, 3))
	ranks := make(map[int]bool)
	for _, router := range view.Routers {
		ranks[view.RouterRank(router.Address)] = true
	}
	if len(ranks) != 20 || view.RouterRank("unlisted:1") != 20 {
		t.Errorf("ranks %v", ranks)
	}
}

func BenchmarkView(b *testing.B) {
	vms := testVMs(1500, 7000)
	b.Run("build", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			NewView(vms)
		}
	})
	b.Run("compare", func(b *testing.B) {
		view, again := NewView(vms), slices.Clone(vms)
		for range b.N {
			if !view.BuiltFrom(again) {
				b.Fatal("not the same")
			}
		}
	})
}
