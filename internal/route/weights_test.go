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

// rollout returns a filter whose engines have reported the given versions; the
// document names v2.
func rollout(t *testing.T, reports ...[]string) (*Filter, *config.Model) {
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
		tracker.Report(address, load)
	}
	settings := &config.Settings{Router: config.RouterSettings{Policy: PolicyOwn}}
	source := control.NewCell(&control.Snapshot{View: membership.NewView(vms)})
	f, err := New(settings, source, tracker, prefix.NewIndex(16))
	if err != nil {
		t.Fatal(err)
	}
	return f, &config.Model{Name: "m", Base: "m", Group: "engines", WeightsVersion: "v2"}
}

func ask(model *config.Model, n int) *request.Request {
	return &request.Request{ID: fmt.Sprint(n), Workspace: "north", Generation: &request.Generation{
		Model: model, Prompt: fmt.Sprintf("prompt %d", n), WeightsVersion: model.WeightsVersion,
	}}
}

func TestVersionDuringARollout(t *testing.T) {
	old, both, only := []string{"v1"}, []string{"v1", "v2"}, []string{"v2"}
	cases := []struct {
		name    string
		reports [][]string
		atLeast int // of 100 requests, those that use v2
		atMost  int
	}{
		{"nowhere", [][]string{old, old, old, old}, 0, 0},
		{"a quarter", [][]string{both, old, old, old}, 10, 40},
		{"half, the old version given up there", [][]string{only, only, old, old}, 30, 70},
		{"everywhere", [][]string{both, both, only, both}, 100, 100},
		{"unknown", [][]string{nil, nil}, 100, 100},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f, model := rollout(t, c.reports...)
			used := 0
			for n := range 100 {
				req := ask(model, n)
				target, err := f.choose(req)
				if err != nil {
					t.Fatal(err)
				}
				again := ask(model, n)
				if _, _ = f.choose(again); again.Generation.WeightsVersion != req.Generation.WeightsVersion {
					t.Error("one prompt uses both versions")
				}
				held := f.tracker.server(target.Address).versions(nil, model)
				if len(held) > 0 && !f.tracker.server(target.Address).reports(model, req.Generation.WeightsVersion) {
					t.Errorf("version %s goes to a server with %v", req.Generation.WeightsVersion, held)
				}
				if req.Generation.WeightsVersion == "v2" {
					used++
				}
			}
			if used < c.atLeast || used > c.atMost {
				t.Errorf("%d of 100 use the new version, want %d to %d", used, c.atLeast, c.atMost)
			}
		})
	}
}

// TestRefusalTeaches refuses a request for its weights at each server whose
// report was old, until it is routed by the newest report.
func TestRefusalTeaches(t *testing.T) {
	for name, c := range map[string]struct{ reported, truth string }{
		"old version given up":  {"v1", "v2"},
		"new version lost":      {"v2", "v1"},
		"new version not known": {"", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			reports := [][]string{{c.reported}, {c.reported}, {c.reported}}
			if c.reported == "" {
				reports = [][]string{nil, nil, nil}
			}
			f, model := rollout(t, reports...)
			req := ask(model, 1)
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
				req.NoteFailure(verdict.CodeWeightsMismatch)
			}
		})
	}
}

func TestBegunStreamKeepsItsVersion(t *testing.T) {
	f, model := rollout(t, []string{"v2"}, []string{"v2"})
	req := ask(model, 1)
	req.Generation.WeightsVersion = "v1"
	req.Generation.Resume, req.Generation.ResumeTokens = "text ", 1
	if target, err := f.choose(req); err == nil {
		t.Errorf("a stream of v1 goes on at %s with version %s", target.Name, req.Generation.WeightsVersion)
	}
}

// BenchmarkVersions is the count of versions over a whole group, which is made
// again when it is old.
func BenchmarkVersions(b *testing.B) {
	for _, engines := range []int{12, 7000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			fleet := newFleet(engines)
			f := fleet.router(b, PolicyOwn)
			req := prompt("pack", 100, 1)
			if _, err := f.choose(req); err != nil {
				b.Fatal(err)
			}
			servers := f.source.Snapshot().View.Group(testGroup)
			for b.Loop() {
				f.count(req.Generation.Model, servers)
			}
		})
	}
}
