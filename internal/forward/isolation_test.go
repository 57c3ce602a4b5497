package forward

import (
	"context"
	"io"
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
			current := withWorkspaces(req.Snapshot, 1, nil, "w", "made")
			req.Snapshot, req.Workspace = current, nil
			for i := range current.Config.Workspaces {
				if w := &current.Config.Workspaces[i]; w.Name == c.workspace {
					req.Workspace = w
				}
			}
			f := &fakeBackend{steps: []step{{status: 200, body: first, cut: io.ErrUnexpectedEOF}, {status: 200, body: second}}}
			cache := kvcache.NewDirectory()
			relay := NewRelay(Relay{ProcessEnded: neverEnded, Source: func() *deployment.Snapshot { return current }, Fleet: fleet.New(), Cache: cache, Backend: f, Budget: &fakeBudget{left: ampleRetries}})
			route := testRoute(deployment.Stream, true)
			req.Route = &route
			resp, err := relay.Handle(context.Background(), req)
			if err != nil {
				t.Fatal(err)
			}
			current = withWorkspaces(current, 2, c.after, c.left...)
			for err == nil {
				_, err = resp.Events.Next(context.Background())
			}
			resp.Events.Close()
			if len(f.calls) != 2 || err != io.EOF {
				t.Fatalf("%d calls, %v; want two", len(f.calls), err)
			}
			before, after := &f.calls[0].Instructions, &f.calls[1].Instructions
			if same := before.CacheSalt == after.CacheSalt; same != c.sameSalt {
				t.Errorf("salt %q, then %q", before.CacheSalt, after.CacheSalt)
			}
			if !c.sameSalt && after.FetchFrom != "" {
				t.Errorf("fetches from %s under the new salt", after.FetchFrom)
			}
			if after.Workspace != c.workspace {
				t.Errorf("sent for workspace %q", after.Workspace)
			}
		})
	}
}
