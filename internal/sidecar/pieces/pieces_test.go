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
	r := &fixture{
		engine:  &trustingEngine{Engine: e, afterImport: func() {}, exported: make(map[string]string)},
		standin: pieceStore,
		store:   &alteringStore{PieceStore: pieceStore, alter: func(*platform.Piece) {}},
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

// response is the result of a request.
type response struct {
	text   string
	cached int
	took   time.Duration
	err    error
}

func (r *fixture) request(workspace, version, prompt string) *wire.ExecuteRequest {
	r.requests++
	return &wire.ExecuteRequest{RequestId: fmt.Sprint(r.requests), Workspace: workspace, Generation: &wire.Generation{
		Model: "badge", WeightsVersion: version, Prompt: prompt, MaxTokens: 8,
	}}
}

func (r *fixture) sendPrompt(ctx context.Context, workspace, version, prompt string) response {
	return r.send(ctx, r.request(workspace, version, prompt))
}

func (r *fixture) send(ctx context.Context, request *wire.ExecuteRequest) response {
	var got response
	start := time.Now()
	j := &job.Job{Request: request, Received: start, Emit: func(f *wire.Frame) { got.text += f.GetTokens().GetText() }}
	outcome, err := r.handler.Handle(ctx, j)
	got.took, got.err = time.Since(start), err
	got.cached = int(outcome.GetTail().GetCachedTokens())
	return got
}

// storePrompt sends the prompt until its pieces are stored, and returns the last
// response.
func (r *fixture) storePrompt(t *testing.T, prompt string) response {
	t.Helper()
	var got response
	for range minUses {
		got = r.sendPrompt(t.Context(), "north", "1", prompt)
		r.filter.Wait()
	}
	r.store.gets = 0
	return got
}

// restart restarts the engine with an empty cache.
func (r *fixture) restart() {
	r.engine.Crash(time.Millisecond)
	time.Sleep(2 * time.Millisecond)
}

const promptTokens = testPieces * prefix.PieceTokens

func TestFaultsEndInRecomputation(t *testing.T) {
	sameID := strings.Repeat("0", 48) // end of a salt with the same start, which is all that the id contains
	cases := []struct {
		name      string
		fault     func(r *fixture)
		workspace string
		version   string
		cached    int
	}{
		{name: "none", cached: promptTokens},
		{name: "another workspace", workspace: "south"},
		{name: "other weights", version: "2"},
		{name: "store down", fault: func(r *fixture) { r.standin.SetFaults(fault.Faults{Down: true}) }},
		{name: "store slow", fault: func(r *fixture) { r.standin.SetFaults(fault.Faults{Delay: time.Minute}) }},
		{name: "store throttles", fault: func(r *fixture) { r.standin.SetFaults(fault.Faults{PerSecond: 1}) }, cached: prefix.PieceTokens},
		{name: "store corrupts", fault: func(r *fixture) { r.standin.SetFaults(fault.Faults{Corrupt: 1}) }},
		{name: "store lost the pieces", fault: func(r *fixture) { r.store.PieceStore, _ = standin.New(1, 1) }},
		{name: "piece of another id", fault: func(r *fixture) { r.store.alter = func(p *platform.Piece) { p.ID, p.Data = "0-0", []byte("x") } }},
		{name: "piece of another salt", fault: func(r *fixture) {
			r.store.alter = func(p *platform.Piece) { p.Salt, p.Data = p.Salt[:16]+sameID, []byte("x") }
		}},
		{name: "piece cut short", fault: func(r *fixture) { r.store.alter = func(p *platform.Piece) { p.Tokens, p.Data = 16, p.Data[:1] } }},
		{name: "piece without data", fault: func(r *fixture) { r.store.alter = func(p *platform.Piece) { p.Data = nil } }},
		{name: "engine refuses imports", fault: func(r *fixture) { r.engine.refuse = true }},
		{name: "engine restarts after the import", fault: func(r *fixture) { r.engine.afterImport = r.restart }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newFixture(t, 4096)
				want := r.storePrompt(t, promptOf("a"))
				if r.store.puts != testPieces {
					t.Fatalf("%d pieces stored, want %d", r.store.puts, testPieces)
				}
				r.restart()
				if c.fault != nil {
					c.fault(r)
				}
				got := r.sendPrompt(t.Context(), cmp.Or(c.workspace, "north"), cmp.Or(c.version, "1"), promptOf("a"))
				if got.err != nil || got.cached != c.cached || r.engine.wrong != 0 {
					t.Errorf("cached %d, want %d; %d wrong imports, error %v", got.cached, c.cached, r.engine.wrong, got.err)
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
		min     int // pieces put at least
		max     int // at most; with many prompts the rate bounds them
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
				r := newFixture(t, 32_768)
				r.standin.SetFaults(c.fault)
				var began time.Time // of the last round
				for range c.uses {
					began = time.Now()
					for i := range c.prompts {
						if got := r.sendPrompt(t.Context(), "north", "1", promptOf(fmt.Sprint(i))); got.err != nil {
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
		r := newFixture(t, 4096)
		r.storePrompt(t, promptOf("a"))
		r.store.PieceStore, _ = standin.New(1, standin.DefaultCapacity)
		r.restart()
		r.sendPrompt(t.Context(), "north", "1", promptOf("a")) // finds that the store lost them
		r.filter.Wait()
		time.Sleep(missingFor)
		r.restart()
		if got := r.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
			t.Errorf("cached %d, want the pieces that were exported again", got.cached)
		}
	})
}

// TestCostlyImportsAreSkipped makes the store slower than recomputation.
func TestCostlyImportsAreSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 4096)
		r.storePrompt(t, promptOf("a"))
		r.standin.SetFaults(fault.Faults{Delay: recompute})
		for range 10 {
			r.restart()
			r.sendPrompt(t.Context(), "north", "1", promptOf("a"))
		}
		if r.store.gets != 1 {
			t.Errorf("%d fetches from a store that is too slow, want 1", r.store.gets)
		}
		r.standin.SetFaults(fault.Faults{})
		time.Sleep(probeInterval)
		r.restart()
		if got := r.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
			t.Errorf("cached %d after the store became fast again, want %d", got.cached, promptTokens)
		}
	})
}

func TestImportsPauseWhenStoreFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 4096)
		r.storePrompt(t, promptOf("a"))
		r.standin.SetFaults(fault.Faults{Down: true})
		began := time.Now()
		for time.Since(began) < maxBackoff {
			r.restart()
			r.sendPrompt(t.Context(), "north", "1", promptOf("a"))
		}
		if r.store.gets < 2 || r.store.gets > 8 { // pauses that double from minBackoff to maxBackoff
			t.Errorf("%d fetches from a store that is down", r.store.gets)
		}
	})
}

// TestLostEventsDoNotRepeatImports checks that pieces are not imported again if
// their cache events were lost, so that the index does not contain them.
func TestLostEventsDoNotRepeatImports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 4096)
		r.storePrompt(t, promptOf("a"))
		r.restart()
		r.engine.LoseEvents(testPieces, 0)
		for range 5 {
			if got := r.sendPrompt(t.Context(), "north", "1", promptOf("a")); got.cached != promptTokens {
				t.Errorf("cached %d, want %d", got.cached, promptTokens)
			}
		}
		if r.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", r.store.gets, testPieces)
		}
	})
}

func TestRequestsShareAnImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(t, 4096)
		r.storePrompt(t, promptOf("a"))
		r.restart()
		r.standin.SetFaults(fault.Faults{Delay: 10 * time.Millisecond})
		var group sync.WaitGroup
		for range 8 {
			request := r.request("north", "1", promptOf("a"))
			group.Go(func() {
				if got := r.send(t.Context(), request); got.cached != promptTokens {
					t.Errorf("cached %d, want %d", got.cached, promptTokens)
				}
			})
		}
		group.Wait()
		if r.store.gets != testPieces {
			t.Errorf("%d fetches, want %d", r.store.gets, testPieces)
		}
	})
}
