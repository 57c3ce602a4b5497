package pieces

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/cacheindex"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/model"
	standin "github.com/wasabigate/wasabigate/internal/standin/pieces"
)

const (
	testPieces  = 3
	prefillRate = 20_000 // tokens per second
	// recompute is the time to compute the test prompt.
	recompute = testPieces * prefix.PieceTokens * time.Second / prefillRate
)

// trustingEngine takes any data. It counts what it must not have been given.
type trustingEngine struct {
	*model.Engine
	afterImport func()
	refuse      bool

	mu       sync.Mutex
	exported map[string]string // data by salt and blocks
	wrong    int
}

func dataKey(salt string, blocks []uint64) string { return fmt.Sprint(salt, blocks) }

func (e *trustingEngine) ExportPiece(ctx context.Context, salt string, blocks []uint64) ([]byte, error) {
	data, err := e.Engine.ExportPiece(ctx, salt, blocks)
	if err == nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.exported[dataKey(salt, blocks)] = string(data)
	}
	return data, err
}

func (e *trustingEngine) ImportPiece(ctx context.Context, salt string, blocks []uint64, data []byte) error {
	if e.refuse {
		return engine.ErrRefused
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	own := e.exported[dataKey(salt, blocks)]
	if own != string(data) {
		e.wrong++
	}
	defer e.afterImport()
	return e.Engine.ImportPiece(ctx, salt, blocks, []byte(own))
}

// alteringStore counts calls and alters what it returns.
type alteringStore struct {
	platform.PieceStore
	alter func(*platform.Piece)

	mu         sync.Mutex
	gets, puts int
}

func (s *alteringStore) Get(ctx context.Context, id string) (platform.Piece, error) {
	s.mu.Lock()
	s.gets++
	s.mu.Unlock()
	piece, err := s.PieceStore.Get(ctx, id)
	s.alter(&piece)
	return piece, err
}

func (s *alteringStore) Put(ctx context.Context, piece platform.Piece) error {
	s.mu.Lock()
	s.puts++
	s.mu.Unlock()
	return s.PieceStore.Put(ctx, piece)
}

// rig is a filter before a model engine that holds two weights versions.
type rig struct {
	engine  *trustingEngine
	standin *standin.Store
	store   *alteringStore
	filter  *Pieces
	handler job.Handler

	requests int
}

func newRig(t *testing.T, cacheBlocks int) *rig {
	t.Helper()
	kept, err := standin.New(1, standin.DefaultCapacity)
	if err != nil {
		t.Fatal(err)
	}
	e := model.New(model.Options{
		PrefillRate: prefillRate, DecodeStep: time.Millisecond, CacheBlocks: cacheBlocks, FirstIncarnation: 5, EventDelay: 50 * time.Millisecond,
		Loaded: []engine.LoadedWeights{{Model: "badge", Version: "1"}, {Model: "badge", Version: "2"}},
	})
	index := cacheindex.New()
	ctx, cancel := context.WithCancel(t.Context())
	var followed sync.WaitGroup
	followed.Go(func() { index.Run(ctx, e) })
	r := &rig{
		engine:  &trustingEngine{Engine: e, afterImport: func() {}, exported: make(map[string]string)},
		standin: kept,
		store:   &alteringStore{PieceStore: kept, alter: func(*platform.Piece) {}},
	}
	r.filter = New(Options{Store: r.store, Engine: r.engine, Index: index, Load: func() *wire.Load {
		state, _ := e.State(t.Context())
		return &wire.Load{Incarnation: state.Incarnation, PrefillRate: state.PrefillRate}
	}})
	r.handler = pipeline.Chain[*job.Job, job.Outcome](execute.New(r.engine, nil), job.Filter(r.filter))
	t.Cleanup(func() {
		r.filter.Wait()
		cancel()
		followed.Wait()
		e.Close()
	})
	return r
}

func promptOf(name string) string {
	return strings.Repeat(fmt.Sprintf("%-16s", name), testPieces*pieceBytes/16)
}

// answer is what a request gave.
type answer struct {
	text   string
	cached int
	took   time.Duration
	err    error
}

func (r *rig) request(workspace, version, prompt string) *wire.ExecuteRequest {
	r.requests++
	return &wire.ExecuteRequest{RequestId: fmt.Sprint(r.requests), Workspace: workspace, Generation: &wire.Generation{
		Model: "badge", WeightsVersion: version, Prompt: prompt, MaxTokens: 8,
	}}
}

func (r *rig) ask(ctx context.Context, workspace, version, prompt string) answer {
	return r.send(ctx, r.request(workspace, version, prompt))
}

func (r *rig) send(ctx context.Context, request *wire.ExecuteRequest) answer {
	var got answer
	start := time.Now()
	j := &job.Job{Request: request, Received: start, Emit: func(f *wire.Frame) { got.text += f.GetTokens().GetText() }}
	outcome, err := r.handler.Handle(ctx, j)
	got.took, got.err = time.Since(start), err
	got.cached = int(outcome.GetTail().GetCachedTokens())
	return got
}

// keep uses the prompt until its pieces are kept, and returns the answer.
func (r *rig) keep(t *testing.T, prompt string) answer {
	t.Helper()
	var got answer
	for range minUses {
		got = r.ask(t.Context(), "north", "1", prompt)
		r.filter.Wait()
	}
	r.store.gets = 0
	return got
}

// restart lets the engine come back empty.
func (r *rig) restart() {
	r.engine.Crash(time.Millisecond)
	time.Sleep(2 * time.Millisecond)
}

const allTokens = testPieces * prefix.PieceTokens

func TestFaultsEndInRecomputation(t *testing.T) {
	sameID := strings.Repeat("0", 48) // the rest of a salt whose start is in the id
	cases := []struct {
		name      string
		fault     func(r *rig)
		workspace string
		version   string
		cached    int
	}{
		{name: "none", cached: allTokens},
		{name: "another workspace", workspace: "south"},
		{name: "other weights", version: "2"},
		{name: "store down", fault: func(r *rig) { r.standin.SetFaults(fault.Faults{Down: true}) }},
		{name: "store slow", fault: func(r *rig) { r.standin.SetFaults(fault.Faults{Delay: time.Minute}) }},
		{name: "store throttles", fault: func(r *rig) { r.standin.SetFaults(fault.Faults{PerSecond: 1}) }, cached: prefix.PieceTokens},
		{name: "store corrupts", fault: func(r *rig) { r.standin.SetFaults(fault.Faults{Corrupt: 1}) }},
		{name: "store lost the pieces", fault: func(r *rig) { r.store.PieceStore, _ = standin.New(1, 1) }},
		{name: "piece of another id", fault: func(r *rig) { r.store.alter = func(p *platform.Piece) { p.ID, p.Data = "0-0", []byte("x") } }},
		{name: "piece of another salt", fault: func(r *rig) {
			r.store.alter = func(p *platform.Piece) { p.Salt, p.Data = p.Salt[:16]+sameID, []byte("x") }
		}},
		{name: "piece cut short", fault: func(r *rig) { r.store.alter = func(p *platform.Piece) { p.Tokens, p.Data = 16, p.Data[:1] } }},
		{name: "piece without data", fault: func(r *rig) { r.store.alter = func(p *platform.Piece) { p.Data = nil } }},
		{name: "engine refuses imports", fault: func(r *rig) { r.engine.refuse = true }},
		{name: "engine restarts after the import", fault: func(r *rig) { r.engine.afterImport = r.restart }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 4096)
				want := r.keep(t, promptOf("a"))
				if r.store.puts != testPieces {
					t.Fatalf("%d pieces kept, want %d", r.store.puts, testPieces)
				}
				r.restart()
				if c.fault != nil {
					c.fault(r)
				}
				got := r.ask(t.Context(), cmp.Or(c.workspace, "north"), cmp.Or(c.version, "1"), promptOf("a"))
				if got.err != nil || got.cached != c.cached || r.engine.wrong != 0 {
					t.Errorf("cached %d, want %d; %d wrong imports, error %v", got.cached, c.cached, r.engine.wrong, got.err)
				}
				if c.version == "" && got.text != want.text {
					t.Errorf("text %q, fault-free %q", got.text, want.text)
				}
				if limit := recompute + time.Duration(maxBudgetShare*float64(recompute)) + want.took; got.took > limit {
					t.Errorf("took %v, more than %v", got.took, limit)
				}
			})
		})
	}
}

func TestExports(t *testing.T) {
	cases := []struct {
		name    string
		prompts int
		uses    int
		fault   fault.Faults
		min     int // pieces put at least
		max     int // at most; with many prompts the rate bounds them
	}{
		{"seen once", 1, 1, fault.Faults{}, 0, 0},
		{"seen twice", 1, 2, fault.Faults{}, testPieces, testPieces},
		{"seen often", 1, 9, fault.Faults{}, testPieces, testPieces},
		{"put again when the answer was lost", 1, 3, fault.Faults{LoseAnswers: 1}, 2, 3},
		{"store down", 1, 4, fault.Faults{Down: true}, 1, 3},
		{"bounded rate", 40, 2, fault.Faults{}, exportBurst, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 32_768)
				r.standin.SetFaults(c.fault)
				var began time.Time // of the last round
				for range c.uses {
					began = time.Now()
					for i := range c.prompts {
						if got := r.ask(t.Context(), "north", "1", promptOf(fmt.Sprint(i))); got.err != nil {
							t.Fatal(got.err)
						}
						r.filter.Wait()
					}
				}
				limit := c.max
				if c.prompts > 1 {
					limit = exportBurst + int(exportsPerSecond*time.Since(began).Seconds()) + 1
				}
				if r.store.puts < c.min || r.store.puts > limit {
					t.Errorf("%d puts, want %d to %d", r.store.puts, c.min, limit)
				}
			})
		})
	}
}

func TestPiecesLostByTheStoreAreExportedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4096)
		r.keep(t, promptOf("a"))
		r.store.PieceStore, _ = standin.New(1, standin.DefaultCapacity)
		r.restart()
		r.ask(t.Context(), "north", "1", promptOf("a")) // finds that they are lost
		r.filter.Wait()
		time.Sleep(absentFor)
		r.restart()
		if got := r.ask(t.Context(), "north", "1", promptOf("a")); got.cached != allTokens {
			t.Errorf("cached %d, want the pieces that were kept again", got.cached)
		}
	})
}

// TestCostlyImportsAreLeftOut makes the store slower than recomputation.
func TestCostlyImportsAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4096)
		r.keep(t, promptOf("a"))
		r.standin.SetFaults(fault.Faults{Delay: recompute})
		for range 10 {
			r.restart()
			r.ask(t.Context(), "north", "1", promptOf("a"))
		}
		if r.store.gets != 1 {
			t.Errorf("%d fetches from a store that is too slow, want 1", r.store.gets)
		}
		r.standin.SetFaults(fault.Faults{})
		time.Sleep(probeInterval)
		r.restart()
		if got := r.ask(t.Context(), "north", "1", promptOf("a")); got.cached != allTokens {
			t.Errorf("cached %d when the store was fast again, want %d", got.cached, allTokens)
		}
	})
}

func TestFailingStoreIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4096)
		r.keep(t, promptOf("a"))
		r.standin.SetFaults(fault.Faults{Down: true})
		began := time.Now()
		for time.Since(began) < lastPause {
			r.restart()
			r.ask(t.Context(), "north", "1", promptOf("a"))
		}
		if r.store.gets < 2 || r.store.gets > 8 { // pauses that double from firstPause to lastPause
			t.Errorf("%d fetches from a store that is down", r.store.gets)
		}
	})
}

// TestLostEventsDoNotRepeatImports loses the events of an import, after which
// the index never learns that the engine holds the pieces.
func TestLostEventsDoNotRepeatImports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4096)
		r.keep(t, promptOf("a"))
		r.restart()
		r.engine.LoseEvents(testPieces, 0)
		for range 5 {
			if got := r.ask(t.Context(), "north", "1", promptOf("a")); got.cached != allTokens {
				t.Errorf("cached %d, want %d", got.cached, allTokens)
			}
		}
		if r.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", r.store.gets, testPieces)
		}
	})
}

func TestRequestsShareAnImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 4096)
		r.keep(t, promptOf("a"))
		r.restart()
		r.standin.SetFaults(fault.Faults{Delay: 10 * time.Millisecond})
		var group sync.WaitGroup
		for range 8 {
			request := r.request("north", "1", promptOf("a"))
			group.Go(func() {
				if got := r.send(t.Context(), request); got.cached != allTokens {
					t.Errorf("cached %d, want %d", got.cached, allTokens)
				}
			})
		}
		group.Wait()
		if r.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", r.store.gets, testPieces)
		}
	})
}
