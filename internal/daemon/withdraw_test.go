package daemon

import (
	"context"
	"testing"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// A router ends the running requests of a withdrawn key itself, since the sidecar
// may not have received the withdrawal yet.
func TestNewSnapshotEndsRequestsOfWithdrawnKeys(t *testing.T) {
	registry := &inflight.Registry{}
	ended, entry := registry.Begin(t.Context())
	entry.SetKey("north-1")
	other, entry := registry.Begin(t.Context())
	entry.SetKey("south-1")
	r := &router{inflight: registry}
	r.snapshotChanged(&control.Snapshot{})
	if ended.Err() != nil {
		t.Fatal("a snapshot without a document ended a request")
	}
	r.snapshotChanged(&control.Snapshot{Config: &config.Revision{Withdrawn: map[string]struct{}{"north-1": {}}}})
	if failure := verdict.From(context.Cause(ended)); failure == nil || failure.Code != verdict.CodeKeyWithdrawn || failure.Verdict != verdict.MayHaveRun {
		t.Errorf("the request of the withdrawn key ended with %v", failure)
	}
	if other.Err() != nil {
		t.Error("another key's request ended")
	}
}
