package pieces

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/sidecar/queue"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
)

// strategy is a way to use stored pieces.
type strategy struct {
	name        string
	disabled    bool
	maxShare    float64 // of the time to recompute
	beforeQueue bool
}

// load describes a run of requests with more hot prompts than the engine caches,
// with two crashes of the engine.
type load struct {
	storeDelay time.Duration
	interval   time.Duration // mean time between requests
}

type measurement struct {
	recomputed int // prompt tokens
	fetches    int
	p50, p99   time.Duration // time until the response of 8 tokens is complete
}

const (
	measuredRequests = 200
	hotPrompts       = 8
	cachedPrompts    = 3
	slots            = 4
)

func (l load) run(t *testing.T, s strategy) measurement {
	f := newFixture(t, cachedPrompts*promptTokens/16)
	f.filter.cost.maxShare = s.maxShare
	f.standin.SetFaults(fault.Faults{Delay: l.storeDelay})
	filters := []job.Filter{queue.New(&config.SidecarSettings{MaxConcurrent: slots}), f.filter}
	if s.beforeQueue {
		slices.Reverse(filters)
	}
	if s.disabled {
		filters = filters[:1]
	}
	f.handler = pipeline.Chain[*job.Job, job.Outcome](execute.New(f.engine, nil), filters...)

	random := rand.New(rand.NewPCG(7, 7))
	zipf := rand.NewZipf(random, 1.2, 1, hotPrompts-1)
	responses := make([]response, measuredRequests)
	var group sync.WaitGroup
	for i := range responses {
		if i%(measuredRequests/2) == measuredRequests/4 {
			f.filter.Wait()
			group.Wait()
			f.restart()
		}
		request := f.request("north", "1", promptOf(fmt.Sprint(zipf.Uint64())))
		group.Go(func() { responses[i] = f.send(t.Context(), request) })
		time.Sleep(time.Duration(random.ExpFloat64() * float64(l.interval)))
	}
	group.Wait()
	return summary(t, responses, f.store.gets)
}

func summary(t *testing.T, responses []response, fetches int) measurement {
	m := measurement{fetches: fetches}
	var took []time.Duration
	for _, r := range responses {
		if r.err != nil {
			t.Error(r.err)
		}
		m.recomputed += promptTokens - r.cached
		took = append(took, r.took)
	}
	slices.Sort(took)
	m.p50, m.p99 = took[len(took)/2], took[len(took)*99/100]
	return m
}

// TestImportAgainstRecomputation prints the table of docs/design/kept-pieces.md.
func TestImportAgainstRecomputation(t *testing.T) {
	strategies := []strategy{
		{name: "no import", disabled: true},
		{name: "when cheaper, after the queue", maxShare: maxBudgetShare},
		{name: "when cheaper, before the queue", maxShare: maxBudgetShare, beforeQueue: true},
		{name: "always, after the queue", maxShare: 1000},
	}
	loads := []struct {
		name string
		load
	}{
		{"store 5ms, calm", load{5 * time.Millisecond, 400 * time.Millisecond}},
		{"store 5ms, busy", load{5 * time.Millisecond, 200 * time.Millisecond}},
		{"store 150ms, calm", load{150 * time.Millisecond, 400 * time.Millisecond}},
		{"store 150ms, busy", load{150 * time.Millisecond, 200 * time.Millisecond}},
	}
	for _, l := range loads {
		results := make(map[string]measurement)
		for _, w := range strategies {
			synctest.Test(t, func(t *testing.T) { results[w.name] = l.run(t, w) })
			m := results[w.name]
			t.Logf("| %-17s | %-30s | %7d | %5d | %6d | %6d |", l.name, w.name,
				m.recomputed, m.fetches, m.p50.Milliseconds(), m.p99.Milliseconds())
		}
		none, imported := results[strategies[0].name], results[strategies[1].name]
		if l.storeDelay < recompute/testPieces/2 && 2*imported.recomputed > none.recomputed {
			t.Errorf("%s: %d tokens recomputed, %d without import", l.name, imported.recomputed, none.recomputed)
		}
		if float64(imported.p99) > (1+maxBudgetShare)*float64(none.p99) {
			t.Errorf("%s: p99 %v, %v without import", l.name, imported.p99, none.p99)
		}
	}
}

// BenchmarkCachedPrompt measures the filter's cost for a request that needs no
// import.
func BenchmarkCachedPrompt(b *testing.B) {
	ended := pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
		return &wire.Frame{Tail: &wire.Tail{Load: &wire.Load{Incarnation: 5}}}, nil
	})
	filter := New(Options{Index: wholeIndex{}, Load: func() *wire.Load { return &wire.Load{Incarnation: 5} }})
	j := &job.Job{Request: &wire.ExecuteRequest{Workspace: "north", Generation: &wire.Generation{Prompt: promptOf("a")}}}
	key := newPrompt(j.Request)
	for i := range key.pieces() {
		filter.history.recordStored(key.key(i))
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := filter.Handle(b.Context(), j, ended); err != nil {
			b.Fatal(err)
		}
	}
}

// wholeIndex contains every block.
type wholeIndex struct{}

func (wholeIndex) Depth(chain []uint64) (int, bool) { return len(chain), true }
