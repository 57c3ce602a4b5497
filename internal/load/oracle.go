package load

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/wasabigate/wasabigate/internal/prefix"
)

// OracleReport holds hit rates that a router could reach which knows more than
// any router can. Both replay the requests that were answered, in the order in
// which they were due, without faults.
type OracleReport struct {
	// Exact is reached by choosing the engine with the shortest expected time to
	// the first token, from the exact state of all caches and queues.
	Exact float64 `json:"exact"`
	// Pooled is reached if each engine could use the blocks of all caches as one.
	Pooled float64 `json:"pooled"`
}

// fleet describes the engines for the oracle.
type fleet struct {
	engines     int
	cacheBlocks int
	prefillRate float64 // tokens per second
}

// replica is an engine in a replay.
type replica struct {
	cache *simplelru.LRU[uint64, struct{}]
	free  time.Duration // when it has computed what it was given
}

func newReplica(blocks int) *replica {
	cache, err := simplelru.NewLRU[uint64, struct{}](blocks, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &replica{cache: cache}
}

// match returns the number of leading blocks that are cached.
func (e *replica) match(chain []uint64) int {
	n := 0
	for n < len(chain) && e.cache.Contains(chain[n]) {
		n++
	}
	return n
}

// store caches a chain, its beginning as the most recently used.
func (e *replica) store(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		e.cache.Add(chain[i], struct{}{})
	}
}

// oracle replays the answered generations.
func (f *fleet) oracle(outcomes []outcome, t texts, warm int) OracleReport {
	if f.engines <= 0 {
		return OracleReport{}
	}
	return OracleReport{
		Exact:  f.replay(f.engines, f.cacheBlocks, outcomes, t, warm),
		Pooled: f.replay(1, f.engines*f.cacheBlocks, outcomes, t, warm),
	}
}

// replay returns the hit rate of the phases from the given one on.
func (f *fleet) replay(engines, blocks int, outcomes []outcome, t texts, from int) float64 {
	replicas := make([]*replica, engines)
	for i := range replicas {
		replicas[i] = newReplica(blocks)
	}
	var chain []uint64
	var prompt, cached int
	for i := range outcomes {
		o := &outcomes[i]
		if o.end != endAnswered || o.prompt == 0 {
			continue
		}
		chain = prefix.Chain(chain[:0], o.shot.tenant.name, o.shot.stream.rendered(t.prompt(o.shot)))
		hit := f.place(replicas, chain, o)
		if o.shot.phase >= from {
			prompt += o.prompt
			cached += hit
		}
	}
	if prompt == 0 {
		return 0
	}
	return float64(cached) / float64(prompt)
}

// place gives a request to the engine that computes it first, and returns the
// prompt tokens that are cached there.
func (f *fleet) place(replicas []*replica, chain []uint64, o *outcome) int {
	best, bestDone, bestHit := replicas[0], time.Duration(0), 0
	for i, e := range replicas {
		hit := min(o.prompt, e.match(chain)*prefix.BlockTokens)
		compute := time.Duration(float64(o.prompt-hit) / f.prefillRate * float64(time.Second))
		done := max(e.free, o.shot.at) + compute
		if i == 0 || done < bestDone {
			best, bestDone, bestHit = e, done, hit
		}
	}
	best.free = bestDone
	best.store(chain)
	return bestHit
}
