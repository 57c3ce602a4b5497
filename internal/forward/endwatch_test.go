package forward

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// The end of a server counts although its process accepts connections for a while after it
// broke the request's, or another process is at its address at once. The end of a server that
// leaves, or one long after, is not put down to the request.
func TestServerThatIsNotSeenToEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration                   // until connections are refused
		list  func(server *deployment.Server) // changes the listed server after the connection broke
		sent  int
	}{
		{"ends after 60 ms", 60 * time.Millisecond, nil, 3},
		{"ends after a second", time.Second, nil, 3},
		{"ends after four seconds", 4 * time.Second, nil, 3},
		{"ends much later", time.Minute, nil, 4},
		{"is back at once under its ID", time.Hour, func(s *deployment.Server) { s.Incarnation++ }, 3},
		{"is back at once under another ID", time.Hour, func(s *deployment.Server) { s.ID += "-again"; s.Incarnation++ }, 3},
		{"leaves", time.Second, func(s *deployment.Server) { s.Draining = true }, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				calls := 0
				var broke atomic.Pointer[time.Time]
				var listed atomic.Pointer[deployment.Server]
				source := func() *deployment.Snapshot {
					snapshot := *testSnapshot(testRoute(deployment.Stream, true))
					server := listed.Load()
					snapshot.Servers = map[string]*deployment.Server{server.ID: server}
					return snapshot.Index()
				}
				relay := NewRelay(Relay{
					Source: source, Fleet: fleet.New(), Cache: kvcache.NewDirectory(), Budget: &fakeBudget{}, Quarantine: quarantine.New(func(quarantine.Part, int64) bool { return false }),
					Backend: backendFunc(func(context.Context, *backend.Call) (*backend.Response, error) {
						calls++
						now := time.Now()
						broke.Store(&now)
						if c.list != nil {
							changed := *listed.Load()
							c.list(&changed)
							listed.Store(&changed)
						}
						return nil, verdict.Wrap(io.EOF, verdict.MayHaveRun, verdict.CodeBackendFailed, "no response")
					}),
					ProcessEnded: func(context.Context, string) bool { return time.Since(*broke.Load()) >= c.after },
				})
				for i := range 4 { // one server after the other
					listed.Store(&deployment.Server{ID: "s" + strconv.Itoa(i), Service: "s", Address: "10.0.0.1:" + strconv.Itoa(i+1), AvailabilityZone: "z", Slots: 4, Incarnation: 7})
					serve(relay, promptRequest(strconv.Itoa(i), "system", "bad"))
					time.Sleep(quarantine.CrashTime + time.Second)
				}
				if calls != c.sent {
					t.Errorf("%d of 4 requests were sent, want %d", calls, c.sent)
				}
			})
		})
	}
}
