package forward

import (
	"context"
	"io"
	"sync/atomic"
	"testing"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
)

// withWorkspaces returns a snapshot with workspaces, of which some are isolated.
func withWorkspaces(snapshot *deployment.Snapshot, version uint64, isolated map[string]bool, names ...string) *deployment.Snapshot {
	config := *snapshot.Config
	config.Version, config.Workspaces = version, nil
	for _, name := range names {
		config.Workspaces = append(config.Workspaces, deployment.Workspace{Name: name, Isolated: isolated[name]})
	}
	next := *snapshot
	next.Config = config.Index()
	return next.Index()
}

// A stream that goes on at another server after a workspace became isolated, or after its own
// did, uses the salt that is in force then, and nothing that was made under the former one.
func TestResumedStreamOfAWorkspaceThatBecameIsolated(t *testing.T) {
	for _, c := range []struct {
		name, workspace string // that sends the stream; empty: none
		after           map[string]bool
		left            []string // workspaces in the later configuration
		sameSalt        bool
	}{
		{"another became isolated", "w", map[string]bool{"made": true}, []string{"w", "made"}, false},
		{"its own became isolated", "w", map[string]bool{"w": true}, []string{"w", "made"}, false},
		{"its own was removed", "w", nil, []string{"made"}, false},
		{"another became isolated, without a workspace", "", map[string]bool{"made": true}, []string{"w", "made"}, false},
		{"nothing changed but the version", "w", nil, []string{"w", "made"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			req := requestWithPrompt()
			before := withWorkspaces(req.Snapshot, 1, nil, "w", "made")
			var current atomic.Pointer[deployment.Snapshot]
			current.Store(before)
			req.Snapshot, req.Workspace = before, nil
			for i := range before.Config.Workspaces {
				if w := &before.Config.Workspaces[i]; w.Name == c.workspace {
					req.Workspace = w
				}
			}
			f := &fakeBackend{steps: []step{{status: 200, body: first, cut: io.ErrUnexpectedEOF}, {status: 200, body: second}}}
			cache := kvcache.NewDirectory()
			relay := NewRelay(Relay{ProcessEnded: neverEnded, Source: current.Load, Fleet: fleet.New(), Cache: cache, Backend: f, Budget: &fakeBudget{left: ampleRetries}})
			route := testRoute(deployment.Stream, true)
			req.Route = &route
			resp, err := relay.Handle(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			current.Store(withWorkspaces(before, 2, c.after, c.left...))
			for err == nil {
				_, err = resp.Events.Next(context.Background())
			}
			resp.Events.Close()
			if len(f.calls) != 2 || err != io.EOF {
				t.Fatalf("%d calls, %v; want two", len(f.calls), err)
			}
			former, latter := &f.calls[0].Instructions, &f.calls[1].Instructions
			if same := former.CacheSalt == latter.CacheSalt; same != c.sameSalt {
				t.Errorf("salt %q, then %q", former.CacheSalt, latter.CacheSalt)
			}
			if !c.sameSalt && latter.FetchFrom != "" {
				t.Errorf("fetches from %s under the new salt", latter.FetchFrom)
			}
			if latter.Workspace != c.workspace {
				t.Errorf("sent for workspace %q", latter.Workspace)
			}
		})
	}
}
