// Package node serves the RPCs that every daemon offers to its peers and to
// operators: state exchange, status, draining and log level.
package node

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var logger = logging.For("node")

// RoleHandler is the part of a daemon that depends on its role.
type RoleHandler interface {
	// Describe sets the fields of a status that depend on the role.
	Describe(status *wire.StatusReply)
	// SetDraining sets whether new work is refused.
	SetDraining(draining bool)
}

// Service implements wire.DRPCNodeServer.
type Service struct {
	loop         *control.Loop
	roleHandler  RoleHandler
	staticStatus *wire.StatusReply // fields that never change
}

var _ wire.DRPCNodeServer = (*Service)(nil)

// New returns a Service. The version is that of the program, and startedUnix is
// the start time of the daemon in Unix seconds.
func New(settings *config.Settings, loop *control.Loop, roleHandler RoleHandler, version string, startedUnix int64) *Service {
	return &Service{loop: loop, roleHandler: roleHandler, staticStatus: &wire.StatusReply{
		Name:        settings.Daemon.Name,
		Role:        string(settings.Daemon.Role),
		Zone:        settings.Daemon.AvailabilityZone,
		Address:     settings.Daemon.RPCAddress,
		Environment: settings.Daemon.Environment,
		Version:     version,
		StartedUnix: startedUnix,
	}}
}

// Exchange implements wire.DRPCNodeServer.
func (s *Service) Exchange(_ context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return s.loop.HandleExchange(req), nil
}

// Status implements wire.DRPCNodeServer.
func (s *Service) Status(context.Context, *wire.StatusRequest) (*wire.StatusReply, error) {
	snapshot := s.loop.Snapshot()
	status := &wire.StatusReply{
		Name:        s.staticStatus.GetName(),
		Role:        s.staticStatus.GetRole(),
		Zone:        s.staticStatus.GetZone(),
		Address:     s.staticStatus.GetAddress(),
		Environment: s.staticStatus.GetEnvironment(),
		Version:     s.staticStatus.GetVersion(),
		StartedUnix: s.staticStatus.GetStartedUnix(),
		Revisions:   snapshot.Revisions(),
		Draining:    snapshot.Draining,
	}
	if snapshot.Config != nil {
		status.DocumentDigest = snapshot.Config.Digest[:]
	}
	s.roleHandler.Describe(status)
	return status, nil
}

// Drain implements wire.DRPCNodeServer.
func (s *Service) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainReply, error) {
	draining := !req.GetCancel()
	logger.Info(logging.Fields{"draining": draining}, "draining changed by operator")
	s.loop.SetDraining(draining)
	s.roleHandler.SetDraining(draining)
	status, err := s.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, err
	}
	return &wire.DrainReply{Draining: draining, Inflight: status.GetInflight()}, nil
}

// SetLogLevel implements wire.DRPCNodeServer.
func (s *Service) SetLogLevel(_ context.Context, req *wire.LogLevelRequest) (*wire.LogLevelReply, error) {
	return SetLogLevel(req)
}

// SetLogLevel sets the log level of this process.
func SetLogLevel(req *wire.LogLevelRequest) (*wire.LogLevelReply, error) {
	if err := logging.SetLevel(req.GetLevel()); err != nil {
		return nil, err
	}
	logger.Info(logging.Fields{"level": req.GetLevel()}, "log level changed by operator")
	return &wire.LogLevelReply{Level: req.GetLevel()}, nil
}

// PeerClient calls the Node service of other daemons. It implements control.Peers.
type PeerClient struct {
	Dialer *rpc.Dialer
}

// Exchange implements control.Peers.
func (p PeerClient) Exchange(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return wire.NewDRPCNodeClient(p.Dialer.Conn(ctx, address)).Exchange(ctx, req)
}
