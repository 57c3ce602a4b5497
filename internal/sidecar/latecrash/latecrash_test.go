package latecrash

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// The end of a process a while after it broke a connection is a crash, unless the backend
// server leaves or the executor has named the crash itself.
func TestProcessThatEndsSlowly(t *testing.T) {
	broken := verdict.Wrap(engine.ErrBroken, verdict.MayHaveRun, verdict.CodeBackendFailed, "call failed")
	crashed := verdict.Wrap(engine.ErrBroken, verdict.MayHaveRun, verdict.CodeBackendFailed, "call failed")
	crashed.Crashed = 1
	for _, c := range []struct {
		name        string
		err         error
		endsAfter   time.Duration
		incarnation uint64 // of the engine after endsAfter, 1 before
		leaving     bool
		blamed      bool
	}{
		{"ends after a second", broken, time.Second, 1, false, true},
		{"ends after four seconds", broken, 4 * time.Second, 1, false, true},
		{"ends after ten seconds", broken, 10 * time.Second, 1, false, false},
		{"is back at once", broken, time.Hour, 2, false, true},
		{"leaves", broken, time.Second, 1, true, false},
		{"was seen to end", crashed, time.Second, 1, false, false},
		{"refuses", verdict.New(verdict.NotRun, verdict.CodeOverloaded, "full"), time.Second, 1, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var broke atomic.Pointer[time.Time]
				sinceBreak := func() time.Duration { return time.Since(*broke.Load()) }
				q := quarantine.New(nil)
				filter := New(Options{
					Server: "desk", Quarantine: q, Leaving: func() bool { return c.leaving },
					Ended: func(context.Context) bool { return sinceBreak() >= c.endsAfter },
					Incarnation: func() uint64 {
						if sinceBreak() > 100*time.Millisecond {
							return c.incarnation
						}
						return 1
					},
				})
				request := &wire.ExecuteRequest{Route: "orders", Workspace: "w", Call: &wire.Call{Method: "POST", Path: "/x", Body: []byte("deadly")}}
				handler := pipeline.Chain[*job.Job, job.Outcome](pipeline.HandlerFunc[*job.Job, job.Outcome](func(context.Context, *job.Job) (job.Outcome, error) {
					now := time.Now()
					broke.Store(&now)
					return nil, c.err
				}), job.Filter(filter))
				for range 3 {
					if _, err := handler.Handle(t.Context(), &job.Job{Request: request, Emit: func(*wire.Frame) {}}); err != c.err {
						t.Fatalf("got %v", err)
					}
					time.Sleep(time.Minute)
				}
				if blamed := q.Len() > 0; blamed != c.blamed {
					t.Errorf("blamed: %v, want %v", blamed, c.blamed)
				}
			})
		})
	}
}
