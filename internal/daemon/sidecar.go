package daemon

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/engine/client"
	"github.com/wasabigate/wasabigate/internal/platform"
	platformclient "github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar"
	"github.com/wasabigate/wasabigate/internal/sidecar/cacheindex"
	"github.com/wasabigate/wasabigate/internal/sidecar/execute"
)

// sidecarPart is the part of a sidecar.
type sidecarPart struct {
	base    *base
	sidecar *sidecar.Sidecar
	engine  engine.Engine     // nil beside plain services
	index   *cacheindex.Index // nil beside plain services
}

// newSidecar builds the sidecar beside one backend server.
func newSidecar(b *base) (*sidecarPart, error) {
	settings := &b.settings.Sidecar
	p := &sidecarPart{base: b}
	options := sidecar.Options{
		Settings:    settings,
		Source:      b.loop,
		KV:          b.kv,
		Environment: b.settings.Daemon.Environment,
		OnRevisions: b.loop.PullNewer,
	}
	if settings.Kind == config.GroupEngines {
		backend := client.NewEngine(settings.BackendURL)
		p.engine = backend
		p.index = cacheindex.New()
		options.Engine = backend
		options.Blocks = p.index
		options.PieceStore = newPieceStore(&b.settings.Platform)
		options.Executor = execute.New(backend, nil)
	} else {
		options.Executor = execute.New(nil, client.NewService(settings.BackendURL))
	}
	p.sidecar = sidecar.New(options)
	return p, errors.Wrap(wire.DRPCRegisterBackend(b.mux, p.sidecar), "backend service")
}

// newPieceStore returns nil if there is no store of kept KV cache.
func newPieceStore(settings *config.PlatformSettings) platform.PieceStore {
	if settings.PieceStore == "" {
		return nil
	}
	return platformclient.NewPieceStore(settings.PieceStore, settings.Timeout)
}

func (p *sidecarPart) httpAddress() string { return p.base.settings.Daemon.AdminAddress }

// handler serves health and metrics.
func (p *sidecarPart) handler() http.Handler {
	server := echo.New()
	server.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	server.GET("/readyz", p.ready)
	server.GET("/metrics", echo.WrapHandler(p.base.metrics))
	return server
}

func (p *sidecarPart) ready(c echo.Context) error {
	snapshot := p.base.loop.Snapshot()
	if snapshot.Config == nil || snapshot.Draining {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (p *sidecarPart) run(ctx context.Context) error {
	if p.index != nil {
		p.index.Run(ctx, p.engine)
	}
	return nil
}

func (p *sidecarPart) changed(*control.Snapshot) { p.sidecar.SnapshotChanged() }

// Describe implements node.Part.
func (p *sidecarPart) Describe(status *wire.StatusReply) {
	status.Load = p.sidecar.Load()
	status.Queue = p.sidecar.QueueStatus()
	status.Inflight = status.GetLoad().GetQueued() + status.GetLoad().GetRunning()
}

// SetDraining implements node.Part.
func (p *sidecarPart) SetDraining(draining bool) { p.sidecar.SetDraining(draining) }

func (p *sidecarPart) drain(ctx context.Context) error { return p.sidecar.Drain(ctx) }
