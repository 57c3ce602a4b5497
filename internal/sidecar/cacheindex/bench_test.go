package cacheindex

import (
	"runtime"
	"testing"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const (
	// benchBlocks is the number of blocks of a server at the largest site: 350
	// million over 7,000 servers.
	benchBlocks = 50_000
	// eventBlocks is the number of blocks in one event.
	eventBlocks = 8
)

// BenchmarkApply measures the cost of one event that stores and evicts the same
// number of blocks, with benchBlocks blocks in the index. It also reports the
// memory per block.
func BenchmarkApply(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	x := New()
	next, sequence := uint64(0), uint64(0)
	store := func(evict bool) {
		sequence++
		event := engine.CacheEvent{Sequence: sequence, Incarnation: 1}
		for range eventBlocks {
			next++
			event.Stored = append(event.Stored, next*0x9e3779b97f4a7c15)
			if evict {
				event.Evicted = append(event.Evicted, (next-benchBlocks)*0x9e3779b97f4a7c15)
			}
		}
		x.Apply(event)
	}
	for next < benchBlocks {
		store(false)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ResetTimer()
	for range b.N {
		store(true)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/benchBlocks, "bytes/block")
	if x.Len() != benchBlocks {
		b.Fatalf("%d blocks", x.Len())
	}
}
