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
// of all gateways, and the choice. From 9 engines to 350 it may grow four times. With 87
// engines of uneven speeds and 87 gateways it may take 15 us.
func BenchmarkPlacement(b *testing.B) {
	for _, size := range []struct {
		engines, gateways int
		speeds            string
	}{{9, 5, ""}, {49, 27, ""}, {117, 68, ""}, {350, 200, ""}, {87, 87, " uneven speeds"}} {
		b.Run(fmt.Sprintf("%d engines %d gateways%s", size.engines, size.gateways, size.speeds), func(b *testing.B) {
			f, snapshot := loadedFleet(size.engines, size.gateways)
			q := &placement.Query{
				Zone: "z1", Engine: true, Target: time.Second, HomeKey: "part", SharedTokens: 6300, OwnTokens: 500,
				Shared: func(uint64) placement.Shared {
					return placement.Shared{Holders: [2]string{"e1", "e2"}, Stored: true}
				},
			}
			if size.speeds != "" {
				q.TargetGap = 200 * time.Millisecond
				recordUnevenSpeeds(f, size.engines)
				if f.View(snapshot, "engines", "m", time.Now())[0].Speed == 0 {
					b.Fatal("the engines have no speeds")
				}
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

// recordUnevenSpeeds lets engines send events at 0.6, 1 and 1.6 times the usual speed.
func recordUnevenSpeeds(f *fleet.Fleet, engines int) {
	for i := range engines {
		for range 20 {
			f.RecordInterval(fmt.Sprint("e", i), []time.Duration{83, 50, 31}[i%3]*time.Millisecond, 1, time.Now())
		}
	}
}
