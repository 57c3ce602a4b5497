package fleet

import (
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabigate/wasabigate/internal/deployment"
)

// TestSumsMatchReports compares the load of each server with the sum over the valid reports,
// while gateways report, fall silent and servers leave, come back and restart.
func TestSumsMatchReports(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		f, now := New(), time.Unix(1000, 0)
		reports := make(map[string]remoteLoad) // the reference
		servers := make(map[string]*deployment.Server)
		for _, id := range ids {
			servers[id] = &deployment.Server{ID: id, Service: "s", Incarnation: 1}
		}
		snapshot := (&deployment.Snapshot{Servers: servers}).Index()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				loads := make(map[string]Load)
				for _, id := range ids {
					if n := rapid.IntRange(0, 5).Draw(t, "running"); n > 0 {
						loads[id] = Load{Running: n, PendingTokens: int64(100 * n)}
					}
				}
				gateway := rapid.SampledFrom([]string{"g1", "g2", "g3", "g4"}).Draw(t, "gateway")
				f.SetRemoteLoad(gateway, loads, now)
				reports[gateway] = remoteLoad{expires: now.Add(remoteTTL), loads: maps.Clone(loads)}
			case 2:
				listed := maps.Clone(servers)
				if id := rapid.SampledFrom(ids).Draw(t, "server"); rapid.Bool().Draw(t, "leaves") {
					delete(listed, id)
				} else {
					servers[id] = &deployment.Server{ID: id, Service: "s", Incarnation: now.UnixMilli()}
					listed[id] = servers[id]
				}
				snapshot = (&deployment.Snapshot{Servers: listed}).Index()
				f.Prune(snapshot)
			}
			for _, got := range f.View(snapshot, "s", "m", now) {
				var want Load
				for _, r := range reports {
					if now.Before(r.expires) {
						want.Running += r.loads[got.ID].Running
						want.PendingTokens += r.loads[got.ID].PendingTokens
					}
				}
				if (Load{Running: got.Running, PendingTokens: got.PendingTokens}) != want {
					t.Fatalf("%s has %d running and %d tokens pending, want %+v", got.ID, got.Running, got.PendingTokens, want)
				}
			}
		}
	})
}
