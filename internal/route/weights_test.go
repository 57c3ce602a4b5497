package route

import (
	"fmt"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// newRolloutFilter returns a filter whose engines have reported the given
// versions, and a model with target version v2.
func newRolloutFilter(t *testing.T, reports ...[]string) (*Filter, *config.Model) {
	t.Helper()
	var vms []platform.VM
	tracker := NewTracker()
	for i, versions := range reports {
		address := fmt.Sprintf("engine-%d", i)
		vms = append(vms, platform.VM{Name: address, Address: address, Group: "engines", State: platform.VMLive})
		load := &wire.Load{Incarnation: 1}
		for _, v := range versions {
			load.Loaded = append(load.Loaded, &wire.Weights{Model: "m", Version: v})
		}
		tracker.RecordReport(address, load)
	}
	settings := &config.Settings{Router: config.RouterSettings{Policy: PolicyPrefixAware}}
	source := control.NewAtomicSource(&control.Snapshot{View: membership.NewView(vms)})
	f, err := New(settings, source, tracker, prefix.NewIndex(16))
	if err != nil {
		t.Fatal(err)
	}
	return f, &config.Model{Name: "m", Base: "m", Group: "engines", WeightsVersion: "v2"}
}

func newRequest(model *config.Model, n int) *request.Request {
	return &request.Request{ID: fmt.Sprint(n), Workspace: "north", Generation: &request.Generation{
		Model: model, Prompt: fmt.Sprintf("prompt %d", n), WeightsVersion: model.WeightsVersion,
	}}
}

func TestVersionDuringRollout(t *testing.T) {
	old, both, newOnly := []string{"v1"}, []string{"v1", "v2"}, []string{"v2"}
	cases := []struct {
		name    string
		reports [][]string
		atLeast int // of 100 requests that use v2
		atMost  int
	}{
		{"no server", [][]string{old, old, old, old}, 0, 0},
		{"a quarter", [][]string{both, old, old, old}, 10, 40},
		{"half, which unloaded the old version", [][]string{newOnly, newOnly, old, old}, 30, 70},
		{"all servers", [][]string{both, both, newOnly, both}, 100, 100},
		{"unknown", [][]string{nil, nil}, 100, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, model := newRolloutFilter(t, c.reports...)
			used := 0
			for n := range 100 {
				req := newRequest(model, n)
				target, err := f.choose(req)
				if err != nil {
					t.Fatal(err)
				}
				again := newRequest(model, n)
				if _, _ = f.choose(again); again.Generation.WeightsVersion != req.Generation.WeightsVersion {
					t.Error("the same prompt uses both versions")
				}
				held := f.tracker.server(target.Address).loadedVersions(nil, model)
				if len(held) > 0 && !f.tracker.server(target.Address).hasReported(model, req.Generation.WeightsVersion) {
					t.Errorf("version %s was routed to a server that holds %v", req.Generation.WeightsVersion, held)
				}
				if req.Generation.WeightsVersion == "v2" {
					used++
				}
			}
			if used < c.atLeast || used > c.atMost {
				t.Errorf("%d of 100 requests use the new version, want %d to %d", used, c.atLeast, c.atMost)
			}
		})
	}
}

// TestWeightsMismatchReroutes refuses a request with a weights mismatch at each
// server whose report was out of date, until routing follows the report that
// came with the refusal.
func TestWeightsMismatchReroutes(t *testing.T) {
	for name, c := range map[string]struct{ reported, truth string }{
		"old version unloaded": {"v1", "v2"},
		"new version unloaded": {"v2", "v1"},
		"no version reported":  {"", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			reports := [][]string{{c.reported}, {c.reported}, {c.reported}}
			if c.reported == "" {
				reports = [][]string{nil, nil, nil}
			}
			f, model := newRolloutFilter(t, reports...)
			req := newRequest(model, 1)
			for attempt := 1; ; attempt++ {
				target, err := f.choose(req)
				if err != nil || attempt > 2 {
					t.Fatalf("attempt %d: %v", attempt, err)
				}
				if req.Generation.WeightsVersion == c.truth {
					break
				}
				req.Target = target
				f.Received(target, req, &wire.Frame{Failure: &wire.Failure{
					Code: string(verdict.CodeWeightsMismatch),
					Load: &wire.Load{Incarnation: 1, Loaded: []*wire.Weights{{Model: "m", Version: c.truth}}},
				}})
				req.RecordFailure(verdict.CodeWeightsMismatch)
			}
		})
	}
}

func TestBegunStreamKeepsItsVersion(t *testing.T) {
	f, model := newRolloutFilter(t, []string{"v2"}, []string{"v2"})
	req := newRequest(model, 1)
	req.Generation.WeightsVersion = "v1"
	req.Generation.ResumeText, req.Generation.ResumeTokens = "text ", 1
	if target, err := f.choose(req); err == nil {
		t.Errorf("a stream begun with v1 continues at %s with version %s", target.Name, req.Generation.WeightsVersion)
	}
}

// BenchmarkVersions measures counting the versions of a whole group, which
// happens whenever the cached counts are too old.
func BenchmarkVersions(b *testing.B) {
	for _, engines := range []int{12, 7000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			fleet := newFleet(engines)
			f := fleet.router(b, PolicyPrefixAware)
			req := promptRequest("pack", 100, 1)
			if _, err := f.choose(req); err != nil {
				b.Fatal(err)
			}
			servers := f.source.Snapshot().View.Group(testGroup)
			for b.Loop() {
				f.countVersions(req.Generation.Model, servers)
			}
		})
	}
}
