package systemtest

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/model"
)

const (
	hotPieces     = 3
	outputTokens  = 12
	exportTimeout = 10 * time.Second
)

// hotPrompt returns a prompt of three whole pieces and a remainder.
func hotPrompt(name string) string {
	line := fmt.Sprintf("%-32s", "roof pack of "+name)
	return strings.Repeat(line, hotPieces*prefix.PieceBlocks*prefix.BlockBytes/len(line)) + "Is the layout in order?"
}

// cacheSystem is a system with one engine, so that all requests use its cache.
func cacheSystem(t *testing.T) *system {
	return start(t, plan{routers: 1, engines: 1, engine: model.Options{
		DecodeStep: time.Millisecond, PrefillRate: 5000, // so slow that an import is cheaper on a busy machine
	}})
}

// storePieces sends a prompt until its pieces are stored, and returns the completion.
func (s *system) storePieces(t *testing.T, prompt string) completion {
	t.Helper()
	s.complete(t, s.routers[0], s.key, prompt, outputTokens)
	want := s.complete(t, s.routers[0], s.key, prompt, outputTokens)
	if want.cached == 0 {
		t.Fatal("no prompt tokens were cached on the second request")
	}
	salt := prefix.Seed{Workspace: "north", Model: modelName, WeightsVersion: weights}.Salt()
	last := prefix.Chain(nil, salt, prompt)[hotPieces*prefix.PieceBlocks-1]
	eventually(t, exportTimeout, "the last piece is stored", func() bool {
		_, err := s.pieces.Get(t.Context(), prefix.PieceID(salt, last))
		return err == nil
	})
	return want
}

// crash restarts the engine with an empty cache.
func (s *system) crash(t *testing.T) {
	t.Helper()
	s.engines[0].engine.Crash(50 * time.Millisecond)
	s.awaitReady(t, s.routers[0])
}

// switchWeights loads new weights and makes them the target version.
func (s *system) switchWeights(t *testing.T) {
	t.Helper()
	r := s.routers[0]
	old := s.complete(t, r, s.key, "hello", outputTokens).text
	order := engine.Order{Fence: 1, Load: &engine.LoadedWeights{Model: modelName, Version: newWeights}}
	if err := s.engines[0].engine.Apply(t.Context(), order); err != nil {
		t.Fatal(err)
	}
	s.apply(t, strings.Replace(s.document(plan{}), "weights_version = "+weights, "weights_version = "+newWeights, 1))
	eventually(t, startTimeout, "the new weights are used", func() bool {
		return s.complete(t, r, s.key, "hello", outputTokens).text != old
	})
}

func TestCacheUseUnderFaults(t *testing.T) {
	const all = hotPieces * prefix.PieceTokens
	cases := []struct {
		name    string
		fault   func(t *testing.T, s *system)
		south   bool // another workspace sends the request
		differs bool // the response comes from other weights
		cached  int
	}{
		{name: "another workspace", south: true},
		{name: "another workspace after a crash", south: true, fault: func(t *testing.T, s *system) { s.crash(t) }},
		{name: "new weights", fault: func(t *testing.T, s *system) { s.switchWeights(t) }, differs: true},
		{name: "crash", fault: func(t *testing.T, s *system) { s.crash(t) }, cached: all},
		{name: "crash with the store down", fault: func(t *testing.T, s *system) {
			s.pieces.SetFaults(fault.Faults{Down: true})
			s.crash(t)
		}},
		{name: "crash with the store slow", fault: func(t *testing.T, s *system) {
			s.pieces.SetFaults(fault.Faults{Delay: time.Minute})
			s.crash(t)
		}},
		{name: "crash with a corrupt store", fault: func(t *testing.T, s *system) {
			s.pieces.SetFaults(fault.Faults{Corrupt: 1})
			s.crash(t)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := cacheSystem(t)
			prompt := hotPrompt("a school")
			want := s.storePieces(t, prompt)
			if c.fault != nil {
				c.fault(t, s)
			}
			key := s.key
			if c.south {
				key = s.otherKey
			}
			got := s.complete(t, s.routers[0], key, prompt, outputTokens)
			if got.cached != c.cached {
				t.Errorf("%d tokens cached, want %d", got.cached, c.cached)
			}
			if (got.text != want.text) != c.differs {
				t.Errorf("response %q, fault-free %q", got.text, want.text)
			}
			t.Logf("%d of %d prompt tokens recomputed", got.prompt-got.cached, got.prompt)
		})
	}
}

// TestImportSavesRecomputation crashes the engine after every round, with and
// without the store.
func TestImportSavesRecomputation(t *testing.T) {
	const rounds = 2
	recomputed := make(map[bool]int)
	for _, down := range []bool{true, false} {
		s := cacheSystem(t)
		prompts := []string{hotPrompt("a school"), hotPrompt("a hall")}
		for _, prompt := range prompts {
			s.storePieces(t, prompt)
		}
		s.pieces.SetFaults(fault.Faults{Down: down})
		for range rounds {
			s.crash(t)
			for _, prompt := range prompts {
				got := s.complete(t, s.routers[0], s.key, prompt, 1)
				recomputed[down] += got.prompt - got.cached
			}
		}
	}
	t.Logf("%d tokens recomputed without import, %d with", recomputed[true], recomputed[false])
	if 2*recomputed[false] > recomputed[true] {
		t.Errorf("%d tokens recomputed with import, more than half of %d", recomputed[false], recomputed[true])
	}
}
