package gateway

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/node"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/version"
)

// operatorService serves the operators' tool. It implements wire.DRPCNodeServer except
// Exchange and Drain: a gateway gets its state from the platform's store, and is drained
// by a signal of the platform.
type operatorService struct {
	wire.DRPCNodeUnimplementedServer

	settings *config.Settings
	started  time.Time
	follower *follower.Follower
	fleet    *fleet.Fleet
	draining func() bool
}

var _ wire.DRPCNodeServer = (*operatorService)(nil)

func (s *operatorService) register(mux *drpcmux.Mux) error {
	return errors.Wrap(wire.DRPCRegisterNode(mux, s), "register node service")
}

// Status implements wire.DRPCNodeServer.
func (s *operatorService) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	snapshot, now := s.follower.Snapshot(), time.Now()
	status := &wire.StatusReply{
		Name:        s.settings.Daemon.Name,
		Role:        string(s.settings.Daemon.Role),
		Zone:        s.settings.Daemon.AvailabilityZone,
		Address:     s.settings.Daemon.RPCAddress,
		Environment: s.settings.Daemon.Environment,
		Version:     version.Version,
		StartedUnix: s.started.Unix(),
		Draining:    s.draining(),
		Revisions:   &wire.Revisions{},
		Belief: &wire.Belief{
			Position:       snapshot.Position.Revision(),
			StoreEra:       uint64(snapshot.Position.Era()),
			StoreSilenceMs: s.follower.Staleness(now).Milliseconds(),
			Leader:         snapshot.Leader,
			Gateways:       uint32(len(snapshot.Gateways)),
			Servers:        s.servers(snapshot, now),
		},
	}
	if snapshot.Config != nil {
		status.Revisions.Document = snapshot.Config.Version
	}
	for _, model := range slices.Sorted(maps.Keys(snapshot.Weights)) {
		status.Belief.Wanted = append(status.Belief.Wanted, &wire.ModelWeights{Model: model, Version: snapshot.Weights[model].Version})
	}
	for _, load := range s.fleet.OwnLoad() {
		status.Inflight += uint32(max(0, load.Running))
	}
	return status, nil
}

// servers returns the cached state of the listed backend servers, sorted by service
// and ID.
func (s *operatorService) servers(snapshot *deployment.Snapshot, now time.Time) []*wire.BelievedServer {
	var listed []*wire.BelievedServer
	for _, server := range snapshot.Servers {
		listed = append(listed, s.server(snapshot, server, now))
	}
	slices.SortFunc(listed, func(a, b *wire.BelievedServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Id, b.Id))
	})
	return listed
}

// server returns the cached state of a backend server.
func (s *operatorService) server(snapshot *deployment.Snapshot, server *deployment.Server, now time.Time) *wire.BelievedServer {
	view := s.fleet.ViewOf(server, "", now)
	entry := &wire.BelievedServer{
		Id: server.ID, Service: server.Service, Address: server.Address, Zone: server.AvailabilityZone,
		Draining: view.Draining, Loading: view.Loading, Suspect: view.Suspect,
		Running: uint32(max(0, view.Running)), FailureRate: view.FailureRate,
	}
	for _, model := range slices.Sorted(maps.Keys(snapshot.Weights)) {
		if version := s.fleet.ViewOf(server, model, now).Weights; version > 0 {
			entry.Weights = append(entry.Weights, &wire.ModelWeights{Model: model, Version: version})
		}
	}
	return entry
}

// SetLogLevel implements wire.DRPCNodeServer.
func (s *operatorService) SetLogLevel(_ context.Context, req *wire.LogLevelRequest) (*wire.LogLevelReply, error) {
	return node.SetLogLevel(req)
}
