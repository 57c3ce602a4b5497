package verify

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

func newDocument(keys ...config.Key) *config.Document {
	d := &config.Document{
		Models:     []config.Model{{Name: "m", WeightsVersion: "v2"}},
		Workspaces: []config.Workspace{{Name: "north"}, {Name: "south"}},
		Keys:       append(keys, config.Key{ID: "k1", Workspace: "north"}, config.Key{ID: "k2", Workspace: "south"}),
		Routes: []config.Route{
			{Name: "chat", Path: "/v1/chat/completions", Access: config.AccessKey},
			{Name: "open-chat", Path: "/v1/completions", Access: config.AccessOpen, Workspace: "south"},
			{Name: "hours", Method: "GET", Path: "/desk/hours", StripPrefix: "/desk", Group: "desk", Access: config.AccessOpen, Workspace: "north"},
			{Name: "guests", Path: "/desk/guests/*", StripPrefix: "/desk", Group: "desk", Access: config.AccessKey},
			{Name: "jobs", Path: "/jobs/*", Group: "records", Access: config.AccessKey},
		},
	}
	d.BuildIndex()
	return d
}

func newSnapshot(number uint64, epoch uint64, keys ...config.Key) *control.Snapshot {
	table := &shard.Table{Epoch: epoch}
	table.Owners[0] = shard.Owner{Address: "router-a", SinceEpoch: 2}
	return &control.Snapshot{
		Config: &config.Revision{Number: number, Document: newDocument(keys...), Withdrawn: map[string]struct{}{"gone": {}}},
		Shards: table,
		View:   membership.NewView(nil),
	}
}

func newFilter(kind config.GroupKind, source control.Source, onRevisions func(*wire.Revisions)) *Filter {
	group := "desk"
	if kind == config.GroupEngines {
		group = "engines"
	}
	return New(Options{
		Settings:    &config.SidecarSettings{Kind: kind, Group: group},
		Source:      source,
		OnRevisions: onRevisions,
		Draining:    func() bool { return source.Snapshot().Draining },
		Loaded:      func() []*wire.Weights { return []*wire.Weights{{Model: "m", Version: "v1"}} },
	})
}

// check returns the code of the refusal, or "" if the request passes. Each
// refusal must have the verdict NotRun.
func check(t *testing.T, f *Filter, req *wire.ExecuteRequest) verdict.Code {
	t.Helper()
	passed := false
	last := pipeline.HandlerFunc[*job.Job, job.Outcome](func(_ context.Context, j *job.Job) (job.Outcome, error) {
		passed = j.Route != nil && j.Snapshot != nil
		return nil, nil
	})
	_, err := f.Handle(t.Context(), &job.Job{Request: req, Received: time.Now()}, last)
	if err == nil {
		if !passed {
			t.Error("passed without route and snapshot")
		}
		return ""
	}
	refusal := verdict.From(err)
	if passed || refusal.Verdict != verdict.NotRun {
		t.Errorf("refusal %v, passed %v", refusal, passed)
	}
	return refusal.Code
}

func newGeneration(workspace, key, version string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestId: "r1", Workspace: workspace, KeyId: key, Route: "chat",
		Generation: &wire.Generation{Model: "m", WeightsVersion: version}}
}

func newCall(route, key, method, path string) *wire.ExecuteRequest {
	return &wire.ExecuteRequest{RequestId: "r1", Workspace: "north", KeyId: key, Route: route,
		Call: &wire.Call{Method: method, Path: path}}
}

func TestChecks(t *testing.T) {
	draw := func(shard uint32, owner string, epoch uint64) *wire.ExecuteRequest {
		req := newGeneration("north", "k1", "v2")
		req.Draws = []*wire.Draw{{Shard: shard, Owner: owner, Epoch: epoch, Tokens: 1}}
		return req
	}
	route := func(name, workspace, key string) *wire.ExecuteRequest {
		req := newGeneration(workspace, key, "v2")
		req.Route = name
		return req
	}
	engine, service := config.GroupEngines, config.GroupService
	cases := []struct {
		name string
		kind config.GroupKind
		req  *wire.ExecuteRequest
		want verdict.Code
	}{
		{"key of the workspace", engine, newGeneration("north", "k1", "v2"), ""},
		{"key of another workspace", engine, newGeneration("south", "k1", "v2"), verdict.CodeForbidden},
		{"key without a workspace", engine, newGeneration("", "k1", "v2"), verdict.CodeForbidden},
		{"unknown key", engine, newGeneration("north", "k9", "v2"), verdict.CodeUnauthenticated},
		{"withdrawn key", engine, newGeneration("north", "gone", "v2"), verdict.CodeKeyWithdrawn},
		{"no key", engine, newGeneration("north", "", "v2"), verdict.CodeUnauthenticated},
		{"open route", engine, route("open-chat", "south", ""), ""},
		{"open route for another workspace", engine, route("open-chat", "north", ""), verdict.CodeForbidden},
		{"unknown route", engine, route("nothing", "north", "k1"), verdict.CodeNotFound},
		{"weights that only the engine lists", engine, newGeneration("north", "k1", "v1"), ""},
		{"unknown weights", engine, newGeneration("north", "k1", "v0"), verdict.CodeWeightsMismatch},
		{"generation on a service group", service, newGeneration("north", "k1", "v2"), verdict.CodeNotFound},
		{"draw of the owner", engine, draw(0, "router-a", 3), ""},
		{"draw of a newer epoch", engine, draw(0, "router-b", 6), ""},
		{"draw before the owner had it", engine, draw(0, "router-a", 1), verdict.CodeStaleShardEpoch},
		{"draw of a former owner", engine, draw(0, "router-b", 4), verdict.CodeStaleShardEpoch},
		{"draw of no shard", engine, draw(shard.Count, "router-a", 9), verdict.CodeStaleShardEpoch},
		{"call", service, newCall("guests", "k1", "GET", "/guests/ann?x=1"), ""},
		{"call of another group", service, newCall("jobs", "k1", "GET", "/jobs/1"), verdict.CodeNotFound},
		{"call of an engine", engine, newCall("guests", "k1", "GET", "/guests/ann"), verdict.CodeNotFound},
		{"open call", service, newCall("hours", "", "GET", "/hours"), ""},
		{"open route, another path", service, newCall("hours", "", "GET", "/guests/ann"), verdict.CodeForbidden},
		{"open route, another method", service, newCall("hours", "", "POST", "/hours"), verdict.CodeForbidden},
		{"dots in the path", service, newCall("guests", "k1", "GET", "/guests/../hours"), verdict.CodeForbidden},
		{"escaped dots in the path", service, newCall("guests", "k1", "GET", "/guests/%2e%2e/hours"), verdict.CodeForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFilter(c.kind, control.NewAtomicSource(newSnapshot(4, 5)), nil)
			if got := check(t, f, c.req); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func TestDrainingAndEmptyState(t *testing.T) {
	draining := newSnapshot(4, 5)
	draining.Draining = true
	if got := check(t, newFilter(config.GroupEngines, control.NewAtomicSource(draining), nil), newGeneration("north", "k1", "v2")); got != verdict.CodeDraining {
		t.Errorf("draining: got %q", got)
	}
	empty := &control.Snapshot{View: membership.NewView(nil)}
	if got := check(t, newFilter(config.GroupEngines, control.NewAtomicSource(empty), nil), newGeneration("north", "k1", "v2")); got != verdict.CodeStaleDocument {
		t.Errorf("no document: got %q", got)
	}
}

// TestCatchUp sends requests of a router that has a newer document than the
// sidecar.
func TestCatchUp(t *testing.T) {
	newKey := config.Key{ID: "new", Workspace: "north"}
	cases := []struct {
		name    string
		key     string
		after   time.Duration // when the newer document arrives; 0: never
		want    verdict.Code
		minWait time.Duration // minimum duration of the check
	}{
		{"known key does not wait", "k1", 0, "", 0},
		{"new key, document arrives", "new", 100 * time.Millisecond, "", 100 * time.Millisecond},
		{"new key, document does not arrive", "new", 0, verdict.CodeStaleDocument, catchUpWait},
		{"unknown key, document arrives", "k9", 100 * time.Millisecond, verdict.CodeUnauthenticated, 100 * time.Millisecond},
		{"withdrawn key does not wait", "gone", 0, verdict.CodeKeyWithdrawn, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source := control.NewAtomicSource(newSnapshot(4, 5))
				notified := uint64(0)
				f := newFilter(config.GroupEngines, source, func(r *wire.Revisions) { notified = r.Document })
				if c.after > 0 {
					time.AfterFunc(c.after, func() { source.Publish(newSnapshot(5, 5, newKey)) })
				}
				req := newGeneration("north", c.key, "v2")
				req.Revisions = &wire.Revisions{Document: 5}
				start := time.Now()
				if got := check(t, f, req); got != c.want {
					t.Errorf("got %q, want %q", got, c.want)
				}
				if took := time.Since(start); took < c.minWait || took > c.minWait+2*catchUpPoll {
					t.Errorf("took %v, want %v", took, c.minWait)
				}
				if notified != 5 {
					t.Errorf("OnRevisions was called with document %d, want 5", notified)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
