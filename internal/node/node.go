// Package node serves the rpc that every daemon offers to its peers and to
// operators: exchange of state, status, draining and the log level.
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

// Part is the role's part of a daemon.
type Part interface {
	// Describe fills in the role's fields of a status.
	Describe(status *wire.StatusReply)
	// SetDraining starts or ends the refusal of new work.
	SetDraining(draining bool)
}

// Service implements wire.DRPCNodeServer.
type Service struct {
	loop     *control.Loop
	part     Part
	identity *wire.StatusReply // the fields that never change
}

var _ wire.DRPCNodeServer = (*Service)(nil)

// New returns a Service. version is the program's version, startedUnix the time
// of the daemon's start in seconds.
func New(settings *config.Settings, loop *control.Loop, part Part, version string, startedUnix int64) *Service {
	return &Service{loop: loop, part: part, identity: &wire.StatusReply{
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
		Name:        s.identity.GetName(),
		Role:        s.identity.GetRole(),
		Zone:        s.identity.GetZone(),
		Address:     s.identity.GetAddress(),
		Environment: s.identity.GetEnvironment(),
		Version:     s.identity.GetVersion(),
		StartedUnix: s.identity.GetStartedUnix(),
		Revisions:   snapshot.Revisions(),
		Draining:    snapshot.Draining,
	}
	if snapshot.Config != nil {
		status.DocumentDigest = snapshot.Config.Digest[:]
	}
	s.part.Describe(status)
	return status, nil
}

// Drain implements wire.DRPCNodeServer.
func (s *Service) Drain(ctx context.Context, req *wire.DrainRequest) (*wire.DrainReply, error) {
	draining := !req.GetCancel()
	logger.Info(logging.Fields{"draining": draining}, "draining set by operator")
	s.loop.SetDraining(draining)
	s.part.SetDraining(draining)
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

// SetLogLevel changes the level of this process's log as an operator asks.
func SetLogLevel(req *wire.LogLevelRequest) (*wire.LogLevelReply, error) {
	if err := logging.SetLevel(req.GetLevel()); err != nil {
		return nil, err
	}
	logger.Info(logging.Fields{"level": req.GetLevel()}, "log level set by operator")
	return &wire.LogLevelReply{Level: req.GetLevel()}, nil
}

// Peers reaches the Node service of other daemons. It implements control.Peers.
type Peers struct {
	Dialer *rpc.Dialer
}

// Exchange implements control.Peers.
func (p Peers) Exchange(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return wire.NewDRPCNodeClient(p.Dialer.Conn(ctx, address)).Exchange(ctx, req)
}
