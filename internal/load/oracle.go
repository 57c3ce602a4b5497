package load

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabigate/wasabigate/internal/prefix"
)

// OracleReport holds the hit rates of a router with knowledge that no real router
// has. Both come from a replay of the answered requests in due order, without faults.
type OracleReport struct {
	// Exact is the hit rate when choosing the engine with the shortest expected time to
	// the first token, from the exact state of all caches and queues.
	Exact float64 `json:"exact"`
	// Pooled is the hit rate if all engines shared one cache of the total size.
	Pooled float64 `json:"pooled"`
}

// fleet describes the engines for the oracle.
type fleet struct {
	engines     int
	cacheBlocks int
	prefillRate float64 // tokens per second
}

// replayEngine is an engine in a replay.
type replayEngine struct {
	cache  *simplelru.LRU[uint64, struct{}]
	freeAt time.Duration // when it has finished its prefills
}

func newReplayEngine(blocks int) *replayEngine {
	cache, err := simplelru.NewLRU[uint64, struct{}](blocks, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &replayEngine{cache: cache}
}

// match returns the number of leading blocks that are cached.
func (e *replayEngine) match(chain []uint64) int {
	n := 0
	for n < len(chain) && e.cache.Contains(chain[n]) {
		n++
	}
	return n
}

// store caches a chain, with its first blocks as the most recently used.
func (e *replayEngine) store(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		e.cache.Add(chain[i], struct{}{})
	}
}

// oracle replays the answered generations; phases before firstPhase are not counted.
func (f *fleet) oracle(outcomes []outcome, texts promptTexts, firstPhase int) OracleReport {
	if f.engines <= 0 {
		return OracleReport{}
	}
	return OracleReport{
		Exact:  f.replay(f.engines, f.cacheBlocks, outcomes, texts, firstPhase),
		Pooled: f.replay(1, f.engines*f.cacheBlocks, outcomes, texts, firstPhase),
	}
}

// replay returns the hit rate of the phases from firstPhase on, with count engines
// of blocks cache blocks each.
func (f *fleet) replay(count, blocks int, outcomes []outcome, texts promptTexts, firstPhase int) float64 {
	engines := make([]*replayEngine, count)
	for i := range engines {
		engines[i] = newReplayEngine(blocks)
	}
	var chain []uint64
	var prompt, cached int
	for i := range outcomes {
		o := &outcomes[i]
		if o.end != endAnswered || o.promptTokens == 0 {
			continue
		}
		chain = prefix.Chain(chain[:0], o.arrival.workspace.name, o.arrival.stream.rendered(texts.prompt(o.arrival)))
		hit := f.place(engines, chain, o)
		if o.arrival.phase >= firstPhase {
			prompt += o.promptTokens
			cached += hit
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

// place assigns a request to the engine that finishes its prefill first, and
// returns the number of prompt tokens cached there.
func (f *fleet) place(engines []*replayEngine, chain []uint64, o *outcome) int {
	best, bestDone, bestHit := engines[0], time.Duration(0), 0
	for i, e := range engines {
		hit := min(o.promptTokens, e.match(chain)*prefix.BlockTokens)
		compute := time.Duration(float64(o.promptTokens-hit) / f.prefillRate * float64(time.Second))
		done := max(e.freeAt, o.arrival.at) + compute
		if i == 0 || done < bestDone {
			best, bestDone, bestHit = e, done, hit
		}
	}
	best.freeAt = bestDone
	best.store(chain)
	return bestHit
}
