package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
)

// newTracker returns the tracker of rollouts, or nil if the settings permit none.
func newTracker(settings *config.Settings) *canary.Tracker {
	bounds := canary.Bounds(settings.Gateway.Canary)
	if bounds.Share <= 0 {
		return nil
	}
	return canary.NewTracker(bounds)
}

// newCanaryOwner returns the owner of rollouts, or nil if there are none.
func (g *Gateway) newCanaryOwner() *canary.Owner {
	if g.canary == nil || g.platform.RolloutStatus == nil {
		return nil
	}
	return canary.NewOwner(canary.OwnerOptions{
		Self: g.settings.Daemon.Name, Lease: g.settings.Gateway.OrderLease, KV: g.store,
		Prefix: follower.CanaryPrefix, LeaseKey: follower.CanaryOwnerKey,
		Tracker: g.canary, Status: g.platform.RolloutStatus, Entries: g.rolloutEntries,
		Holder: func() string { return g.follower.Snapshot().RolloutOwner }, Gateways: g.otherGateways,
		Staleness: func() time.Duration { return g.follower.Staleness(time.Now()) },
	})
}

// otherGateways returns the addresses of the other gateways that the store lists.
func (g *Gateway) otherGateways() []string {
	var addresses []string
	for _, gateway := range g.follower.Snapshot().Gateways {
		if gateway.Address != g.settings.Daemon.RPCAddress {
			addresses = append(addresses, gateway.Address)
		}
	}
	return addresses
}

// trackRollouts applies a snapshot to the tracker of rollouts.
func (g *Gateway) trackRollouts(snapshot *deployment.Snapshot, now time.Time) {
	if g.canary == nil || snapshot.Config == nil {
		return
	}
	views := make(map[string]*canary.View, len(snapshot.Config.Services))
	for i := range snapshot.Config.Services {
		name := snapshot.Config.Services[i].Name
		view := &canary.View{}
		if rollout := snapshot.Rollouts[name]; rollout != nil {
			view.Order, view.State = rollout.Order, rollout.State
		}
		for _, server := range snapshot.ServersOf(name) {
			if !server.Draining {
				view.Servers = append(view.Servers, canary.Server{ID: server.ID, Software: server.Software, Slots: server.Slots})
			}
		}
		views[name] = view
	}
	g.canary.Update(views, now)
}

// rolloutEntries returns what is known of the rollouts of all services.
func (g *Gateway) rolloutEntries() []canary.Entry {
	snapshot := g.follower.Snapshot()
	if snapshot.Config == nil {
		return nil
	}
	names := make(map[string]bool, len(snapshot.Config.Services))
	for i := range snapshot.Config.Services {
		if len(snapshot.ServersOf(snapshot.Config.Services[i].Name)) > 0 {
			names[snapshot.Config.Services[i].Name] = true
		}
	}
	for name := range snapshot.Rollouts {
		names[name] = snapshot.Config.Service(name) != nil
	}
	entries := make([]canary.Entry, 0, len(names))
	for _, name := range slices.Sorted(maps.Keys(names)) {
		entry := canary.Entry{Service: name, Configured: names[name]}
		if r := snapshot.Rollouts[name]; r != nil {
			entry.Order, entry.State, entry.Revision, entry.Lost = r.Order, r.State, r.Revision, r.Lost
		}
		entries = append(entries, entry)
	}
	return entries
}
