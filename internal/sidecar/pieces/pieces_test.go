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

// trustingEngine accepts any data for an import and counts the imports with wrong
// data.
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

// alteringStore counts calls and alters the pieces that it returns.
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

// fixture is a filter in front of a model engine that has loaded two weights
// versions.
type fixture struct {
	engine  *trustingEngine
	standin *standin.Store
	store   *alteringStore
	filter  *Filter
	handler job.Handler

	requests int
}

func newFixture(t *testing.T, cacheBlocks int) *fixture {
	t.Helper()
	pieceStore, err := standin.New(1, standin.DefaultCapacity)
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
	f := &fixture{
		engine:  &trustingEngine{Engine: e, afterImport: func() {}, exported: make(map[string]string)},
		standin: pieceStore,
		store:   &alteringStore{PieceStore: pieceStore, alter: func(*platform.Piece) {}},
	}
	f.filter = New(Options{Store: f.store, Engine: f.engine, Index: index, Load: func() *wire.Load {
		state, _ := e.State(t.Context())
		return &wire.Load{Incarnation: state.Incarnation, PrefillRate: state.PrefillRate}
	}})
	f.handler = pipeline.Chain[*job.Job, job.Outcome](execute.New(f.engine, nil), job.Filter(f.filter))
	t.Cleanup(func() {
		f.filter.Wait()
		cancel()
		followed.Wait()
		e.Close()
	})
	return f
}

func promptOf(name string) string {
	return strings.Repeat(fmt.Sprintf("%-16s", name), testPieces*pieceBytes/16)
}

// response is the result of a request.
type response struct {
	text   string
	cached int
	took   time.Duration
	err    error
}

func (f *fixture) request(workspace, version, prompt string) *wire.ExecuteRequest {
	f.requests++
	return &wire.ExecuteRequest{RequestId: fmt.Sprint(f.requests), Workspace: workspace, Generation: &wire.Generation{
		Model: "badge", WeightsVersion: version, Prompt: prompt, MaxTokens: 8,
	}}
}

func (f *fixture) sendPrompt(ctx context.Context, workspace, version, prompt string) response {
	return f.send(ctx, f.request(workspace, version, prompt))
}

func (f *fixture) send(ctx context.Context, request *wire.ExecuteRequest) response {
	var got response
	start := time.Now()
	j := &job.Job{Request: request, Received: start, Emit: func(f *wire.Frame) { got.text += f.GetTokens().GetText() }}
	outcome, err := f.handler.Handle(ctx, j)
	got.took, got.err = time.Since(start), err
	got.cached = int(outcome.GetTail().GetCachedTokens())
	return got
}

// storePrompt sends the prompt until its pieces are stored, and returns the last
// response.
func (f *fixture) storePrompt(t *testing.T, prompt string) response {
	t.Helper()
	var got response
	for range minUses {
		got = f.sendPrompt(t.Context(), "north", "1", prompt)
		f.filter.Wait()
	}
	f.store.gets = 0
	return got
}

// restart restarts the engine with an empty cache.
func (f *fixture) restart() {
	f.engine.Crash(time.Millisecond)
	time.Sleep(2 * time.Millisecond)
}

const promptTokens = testPieces * prefix.PieceTokens

func TestFaultsEndInRecomputation(t *testing.T) {
	sameID := strings.Repeat("0", 48) // end of a salt with the same start, which is all that the id contains
	cases := []struct {
		name      string
		fault     func(f *fixture)
		workspace string
		version   string
		cached    int
	}{
		{name: "none", cached: promptTokens},
		{name: "another workspace", workspace: "south"},
		{name: "other weights", version: "2"},
		{name: "store down", fault: func(f *fixture) { f.standin.SetFaults(fault.Faults{Down: true}) }},
		{name: "store slow", fault: func(f *fixture) { f.standin.SetFaults(fault.Faults{Delay: time.Minute}) }},
		{name: "store throttles", fault: func(f *fixture) { f.standin.SetFaults(fault.Faults{PerSecond: 1}) }, cached: prefix.PieceTokens},
		{name: "store corrupts", fault: func(f *fixture) { f.standin.SetFaults(fault.Faults{Corrupt: 1}) }},
		{name: "store lost the pieces", fault: func(f *fixture) { f.store.PieceStore, _ = standin.New(1, 1) }},
		{name: "piece of another id", fault: func(f *fixture) { f.store.alter = func(p *platform.Piece) { p.ID, p.Data = "0-0", []byte("x") } }},
		{name: "piece of another salt", fault: func(f *fixture) {
			f.store.alter = func(p *platform.Piece) { p.Salt, p.Data = p.Salt[:16]+sameID, []byte("x") }
		}},
		{name: "piece cut short", fault: func(f *fixture) { f.store.alter = func(p *platform.Piece) { p.Tokens, p.Data = 16, p.Data[:1] } }},
		{name: "piece without data", fault: func(f *fixture) { f.store.alter = func(p *platform.Piece) { p.Data = nil } }},
		{name: "engine refuses imports", fault: func(f *fixture) { f.engine.refuse = true }},
		{name: "engine restarts after the import", fault: func(f *fixture) { f.engine.afterImport = f.restart }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 4096)
				want := f.storePrompt(t, promptOf("a"))
				if f.store.puts != testPieces {
					t.Fatalf("%d pieces stored, want %d", f.store.puts, testPieces)
				}
				f.restart()
				if c.fault != nil {
					c.fault(f)
				}
				got := f.sendPrompt(t.Context(), cmp.Or(c.workspace, "north"), cmp.Or(c.version, "1"), promptOf("a"))
				if got.err != nil || got.cached != c.cached || f.engine.wrong != 0 {
					t.Errorf("cached %d, want %d; %d wrong imports, error %v", got.cached, c.cached, f.engine.wrong, got.err)
				}
				if c.version == "" && got.text != want.text {
					t.Errorf("text %q, without faults %q", got.text, want.text)
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
		min     int // minimum number of puts
		max     int // maximum; computed from the rate limit if there are many prompts
	}{
		{"seen once", 1, 1, fault.Faults{}, 0, 0},
		{"seen twice", 1, 2, fault.Faults{}, testPieces, testPieces},
		{"seen often", 1, 9, fault.Faults{}, testPieces, testPieces},
		{"put again if the response was lost", 1, 3, fault.Faults{LoseAnswers: 1}, 2, 3},
		{"store down", 1, 4, fault.Faults{Down: true}, 1, 3},
		{"bounded rate", 40, 2, fault.Faults{}, exportBurst, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 32_768)
				f.standin.SetFaults(c.fault)
				var roundStart time.Time // of the last round of prompts
				for range c.uses {
					roundStart = time.Now()
					for i := range c.prompts {
						if got := f.sendPrompt(t.Context(), "north", "1", promptOf(fmt.Sprint(i))); got.err != nil {
							t.Fatal(got.err)
						}
						f.filter.Wait()
					}
				}
				limit := c.max
				if c.prompts > 1 {
					limit = exportBurst + int(exportsPerSecond*time.Since(roundStart).Seconds()) + 1
				}
				if f.store.puts < c.min || f.store.puts > limit {
					t.Errorf("%d puts, want %d to %d", f.store.puts, c.min, limit)
				}
			})
		})
	}
}

func TestPiecesLostByTheStoreAreExportedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4096)
		f.storePrompt(t, promptOf("a"))
		f.store.PieceStore, _ = standin.New(1, standin.DefaultCapacity)
		f.restart()
		f.sendPrompt(t.Context(), "north", "1", promptOf("a")) // finds that the store lost them
		f.filter.Wait()
		time.Sleep(missingFor)
		f.restart()
		if got := f.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
			t.Errorf("cached %d, want the pieces that were exported again", got.cached)
		}
	})
}

// TestCostlyImportsAreSkipped makes the store slower than recomputation.
func TestCostlyImportsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4096)
		f.storePrompt(t, promptOf("a"))
		f.standin.SetFaults(fault.Faults{Delay: recompute})
		for range 10 {
			f.restart()
			f.sendPrompt(t.Context(), "north", "1", promptOf("a"))
		}
		if f.store.gets != 1 {
			t.Errorf("%d fetches from a store that is too slow, want 1", f.store.gets)
		}
		f.standin.SetFaults(fault.Faults{})
		time.Sleep(probeInterval)
		f.restart()
		if got := f.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
			t.Errorf("cached %d after the store became fast again, want %d", got.cached, promptTokens)
		}
	})
}

func TestImportsPauseWhenStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4096)
		f.storePrompt(t, promptOf("a"))
		f.standin.SetFaults(fault.Faults{Down: true})
		start := time.Now()
		for time.Since(start) < maxBackoff {
			f.restart()
			f.sendPrompt(t.Context(), "north", "1", promptOf("a"))
		}
		if f.store.gets < 2 || f.store.gets > 8 { // pauses that double from minBackoff to maxBackoff
			t.Errorf("%d fetches from a store that is down", f.store.gets)
		}
	})
}

// TestLostEventsDoNotRepeatImports checks that pieces are not imported again if
// their cache events were lost, so that the index does not contain them.
func TestLostEventsDoNotRepeatImports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4096)
		f.storePrompt(t, promptOf("a"))
		f.restart()
		f.engine.LoseEvents(testPieces, 0)
		for range 5 {
			if got := f.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
				t.Errorf("cached %d, want %d", got.cached, promptTokens)
			}
		}
		if f.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", f.store.gets, testPieces)
		}
	})
}

func TestRequestsShareAnImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 4096)
		f.storePrompt(t, promptOf("a"))
		f.restart()
		f.standin.SetFaults(fault.Faults{Delay: 10 * time.Millisecond})
		var group sync.WaitGroup
		for range 8 {
			request := f.request("north", "1", promptOf("a"))
			group.Go(func() {
				if got := f.send(t.Context(), request); got.cached != promptTokens {
					t.Errorf("cached %d, want %d", got.cached, promptTokens)
				}
			})
		}
		group.Wait()
		if f.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", f.store.gets, testPieces)
		}
	})
}
