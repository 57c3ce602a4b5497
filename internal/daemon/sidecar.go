package daemon

import (
	"context"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/platform"
	platformclient "github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar"
	"github.com/wasabigate/wasabigate/internal/sidecar/cacheindex"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
	"github.com/wasabigate/wasabigate/internal/sidecar/processend"
)

// sidecarRole implements role for sidecars.
type sidecarRole struct {
	base    *base
	sidecar *sidecar.Sidecar
	engine  engine.Engine     // nil unless the backend server is an engine
	index   *cacheindex.Index // nil unless the backend server is an engine
}

// newSidecar builds the sidecar of one backend server.
func newSidecar(b *base, crashes *quarantine.Quarantine) (*sidecarRole, error) {
	settings := &b.settings.Sidecar
	s := &sidecarRole{base: b}
	options := sidecar.Options{
		Settings:    settings,
		Source:      b.loop,
		KV:          b.kv,
		Environment: b.settings.Daemon.Environment,
		OnRevisions: b.loop.PullNewer,
		Name:        b.settings.Daemon.Name,
		Quarantine:  crashes,
	}
	observe := func(answer engine.Answer) { s.sidecar.ObserveResponse(answer) }
	options.Ended = processEnded(settings.BackendURL)
	if settings.Kind == config.GroupEngines {
		modelEngine := client.NewEngine(settings.BackendURL)
		modelEngine.OnResponse = observe
		s.engine = modelEngine
		s.index = cacheindex.New()
		options.Engine = modelEngine
		options.Blocks = s.index
		options.PieceStore = newPieceStore(&b.settings.Platform)
		options.Executor = execute.New(modelEngine, nil)
	} else {
		service := client.NewService(settings.BackendURL)
		service.OnResponse = observe
		options.Numbers = new(processend.Numbers)
		options.Executor = execute.NewForService(service, options.Ended, options.Numbers)
	}
	s.sidecar = sidecar.New(options)
	return s, errors.Wrap(wire.DRPCRegisterBackend(b.mux, s.sidecar), "backend service")
}

// processEnded returns a function that reports whether no process serves a base URL.
func processEnded(baseURL string) func(context.Context) bool {
	parsed, err := url.Parse(baseURL)
	if err != nil {
		return nil // calls fail as well
	}
	return func(ctx context.Context) bool { return backend.ProcessEnded(ctx, parsed.Host) }
}

// newPieceStore returns nil if no store for KV cache is configured.
func newPieceStore(settings *config.PlatformSettings) platform.PieceStore {
	if settings.PieceStore == "" {
		return nil
	}
	return platformclient.NewPieceStore(settings.PieceStore, settings.Timeout)
}

func (s *sidecarRole) httpAddress() string { return s.base.settings.Daemon.AdminAddress }

// handler serves health checks and metrics.
func (s *sidecarRole) handler() http.Handler {
	server := echo.New()
	server.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/readyz", s.ready)
	server.GET("/metrics", echo.WrapHandler(s.base.metrics))
	return server
}

func (s *sidecarRole) ready(c echo.Context) error {
	snapshot := s.base.loop.Snapshot()
	if snapshot.Config == nil || snapshot.Draining {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (s *sidecarRole) run(ctx context.Context) error {
	if s.index != nil {
		s.index.Run(ctx, s.engine)
	}
	return nil
}

func (s *sidecarRole) snapshotChanged(*control.Snapshot) { s.sidecar.SnapshotChanged() }

// Describe implements node.RoleHandler.
func (s *sidecarRole) Describe(status *wire.StatusReply) {
	status.Load = s.sidecar.Load()
	status.Queue = s.sidecar.QueueStatus()
	status.Inflight = status.GetLoad().GetQueued() + status.GetLoad().GetRunning()
}

// SetDraining implements node.RoleHandler.
func (s *sidecarRole) SetDraining(draining bool) { s.sidecar.SetDraining(draining) }

func (s *sidecarRole) drain(ctx context.Context) error { return s.sidecar.Drain(ctx) }
