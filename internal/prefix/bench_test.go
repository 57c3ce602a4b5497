package prefix

import (
	"fmt"
	"runtime"
	"testing"
)

const (
	benchIndexBlocks  = 50_000
	benchChainBlocks  = 500
	benchSharedBlocks = 400
)

// filledIndex returns an index with chains of a few hot prefixes at the given number of
// servers, and these chains.
func filledIndex(servers int) (*Index, [][]uint64) {
	x := NewIndex(benchIndexBlocks)
	var chains [][]uint64
	for tail := range uint64(2000) {
		chain := chainOf(tail%8, tail+1, benchSharedBlocks, benchChainBlocks)
		x.Add(chain, fmt.Sprintf("10.0.%d.%d:7400", tail/8%uint64(servers)/250, tail/8%uint64(servers)%250), 1)
		chains = append(chains, chain)
	}
	return x, chains
}

func BenchmarkHolders(b *testing.B) {
	for _, servers := range []int{12, 200} {
		x, chains := filledIndex(servers)
		fresh := make([][]uint64, 64)
		unknown := make([][]uint64, 64)
		for i := range fresh {
			fresh[i] = chainOf(uint64(i%8), uint64(1_000_000+i), benchSharedBlocks, benchChainBlocks)
			unknown[i] = chainOf(uint64(100+i), 0, benchSharedBlocks, benchChainBlocks)
		}
		for _, c := range []struct {
			name   string
			chains [][]uint64
		}{{"known", chains[len(chains)-64:]}, {"shared", fresh}, {"unknown", unknown}} {
			b.Run(fmt.Sprintf("servers=%d/%s", servers, c.name), func(b *testing.B) {
				b.ReportAllocs()
				var dst []Holder
				for i := 0; b.Loop(); i++ {
					dst = x.Holders(dst[:0], c.chains[i%len(c.chains)])
				}
				b.ReportMetric(float64(len(dst)), "holders")
			})
		}
	}
}

func BenchmarkLearn(b *testing.B) {
	x, chains := filledIndex(12)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		x.Add(chains[i%len(chains)], "10.0.0.1:7400", 1)
	}
}

func BenchmarkHeat(b *testing.B) {
	x, chains := filledIndex(12)
	for b.Loop() {
		x.Heat(chains[0][benchSharedBlocks-1])
	}
}

// BenchmarkIndexState reports the memory used by a full index.
func BenchmarkIndexState(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		x := NewIndex(benchIndexBlocks)
		for root := 0; x.Len() < benchIndexBlocks; root++ {
			x.Add(chainOf(uint64(root), 0, 0, benchChainBlocks), "10.0.0.1:7400", 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(x)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchIndexBlocks, "bytes/block")
}

func BenchmarkChain(b *testing.B) {
	text := string(make([]byte, benchChainBlocks*BlockBytes))
	var dst []uint64
	b.ReportAllocs()
	for b.Loop() {
		dst = Chain(dst[:0], "salt", text)
	}
}
