package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/placement"
)

// BenchmarkPlacement measures one placement: the view of the fleet, with fresh reports
// of all gateways, and the choice. From 9 engines to 350 it may grow four times.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct{ engines, gateways int }{{9, 5}, {49, 27}, {117, 68}, {350, 200}} {
		b.Run(fmt.Sprintf("%d engines %d gateways", size.engines, size.gateways), func(b *testing.B) {
			f, snapshot := loadedFleet(size.engines, size.gateways)
			q := &placement.Query{
				Zone: "z1", Engine: true, Target: time.Second, HomeKey: "part", SharedTokens: 6300, OwnTokens: 500,
				Shared: func(uint64) placement.Shared {
					return placement.Shared{Holders: [2]string{"e1", "e2"}, Stored: true}
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := placement.Pick(q, f.View(snapshot, "engines", "m", time.Now())); !ok {
					b.Fatal("nothing chosen")
				}
			}
		})
	}
}

// loadedFleet returns a fleet whose gateways have each just reported requests at all
// engines.
func loadedFleet(engines, gateways int) (*fleet.Fleet, *deployment.Snapshot) {
	servers := make(map[string]*deployment.Server)
	for i := range engines {
		id := fmt.Sprint("e", i)
		servers[id] = &deployment.Server{
			ID: id, Service: "engines", Address: id + ":1", AvailabilityZone: fmt.Sprint("z", i%5), Slots: 32,
			Weights: map[string]uint64{"m": 1},
		}
	}
	config := &deployment.Config{Version: 1, Services: []deployment.Service{{Name: "engines", Engine: &deployment.Engine{}}}}
	snapshot := (&deployment.Snapshot{Config: config.Index(), Servers: servers}).Index()
	f := fleet.New()
	reportedAt := time.Now().Add(time.Hour) // fresh for the whole benchmark
	for g := range gateways {
		loads := make(map[string]fleet.Load)
		for id := range servers {
			loads[id] = fleet.Load{Running: 1, PendingTokens: 100}
		}
		f.SetRemoteLoad(fmt.Sprint("g", g), loads, reportedAt)
	}
	return f, snapshot
}
