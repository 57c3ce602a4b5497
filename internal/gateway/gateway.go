// Package gateway assembles the daemon of the role gateway: it forwards clients'
// requests straight to the backend servers, by what it believes of the
// deployment.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/metrics"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
)

var logger = logging.For("gateway")

type fields = logging.Fields

const (
	// balancerDelay is how long a stopping gateway still takes requests: the balancer
	// asks once a second and needs two answers.
	balancerDelay = 2500 * time.Millisecond
	// stopMargin is left of the drain time-out for the rest of the stop.
	stopMargin = 500 * time.Millisecond
	// memoryShare is the part of the memory limit at which the garbage collector
	// works harder; the rest is for the kernel's buffers and stacks.
	memoryShare = 0.7
	// readHeaderTimeout bounds how long a client may take to send a request's head.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections that no client uses: above the longest idle time
	// that operators allow.
	idleTimeout = 5 * time.Minute
	// housekeepingInterval is the time between two looks at what has grown old.
	housekeepingInterval = time.Second
)

// Platform is what translates between the users' platform and the gateway.
type Platform struct {
	Store   func(baseURL string) platform.Store
	Layout  follower.Layout
	Headers Headers
}

// Gateway is the running daemon.
type Gateway struct {
	settings *config.Settings
	platform Platform
	store    platform.Store
	follower *follower.Follower
	fleet    *fleet.Fleet
	budget   *retrybudget.Budget
	ingress  *ingress
}

// Run runs the gateway until ctx ends, then drains it.
func Run(ctx context.Context, settings *config.Settings, adapter Platform) error {
	if err := logging.Setup(os.Stdout, settings.Log.Level, settings.Log.Format); err != nil {
		return err
	}
	if limit := settings.Gateway.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
	metricsHandler, err := metrics.Setup()
	if err != nil {
		return err
	}
	g := newGateway(settings, adapter)
	return g.serve(ctx, metricsHandler)
}

func newGateway(settings *config.Settings, adapter Platform) *Gateway {
	g := &Gateway{settings: settings, platform: adapter, fleet: fleet.New()}
	g.store = adapter.Store(settings.Platform.KeyValue)
	g.follower = follower.New(g.store, adapter.Layout, g.changed)
	g.budget = retrybudget.New(retrybudget.Bound{
		Ratio:  settings.Gateway.RetryRatio,
		Window: settings.Gateway.RetryWindow,
		Slack:  settings.Gateway.RetrySlack,
	}, time.Now())
	g.ingress = newIngress(g.follower, adapter.Headers, g.chain())
	return g
}

// chain declares the filters in the order in which they act.
func (g *Gateway) chain() forward.Handler {
	relay := &forward.Relay{
		Zone:      g.settings.Daemon.AvailabilityZone,
		MaxOldAge: g.settings.Gateway.WeightsDeadline,
		Fleet:     g.fleet,
		Cache:     kvcache.NewDirectory(),
		Backend:   backend.NewClient(g.platform.Headers),
		Budget:    g.budget,
	}
	return pipeline.Chain[*forward.Request, *forward.Answer](
		relay,
		forward.Match{},
		forward.Authenticate{},
	)
}

// changed is called with each new belief.
func (g *Gateway) changed(snapshot *deployment.Snapshot) {
	g.fleet.Forget(snapshot)
	g.budget.SetGateways(len(snapshot.Gateways))
}

// serve runs all listeners and background work until ctx ends, then drains.
func (g *Gateway) serve(ctx context.Context, metricsHandler http.Handler) error {
	front, err := net.Listen("tcp", g.settings.Gateway.HTTPAddress)
	if err != nil {
		return errors.Wrap(err, "clients' listener")
	}
	ready, err := net.Listen("tcp", g.settings.Gateway.ReadyAddress)
	if err != nil {
		return errors.Wrap(err, "readiness listener")
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	group.Go(func() error { g.follower.Run(background); return nil })
	clients := &http.Server{Handler: g.ingress, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	group.Go(func() error { return ignoreClosed(clients.Serve(front)) })
	checks := &http.Server{Handler: g.ingress.checks(), ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return ignoreClosed(checks.Serve(ready)) })
	if address := g.settings.Daemon.AdminAddress; address != "" {
		if err := serveAdmin(group, address, metricsHandler); err != nil {
			return err
		}
	}
	logger.Info(fields{"name": g.settings.Daemon.Name, "zone": g.settings.Daemon.AvailabilityZone, "clients": g.settings.Gateway.HTTPAddress}, "gateway started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	g.drain(clients)
	stop()
	_ = checks.Close() // the process ends
	return nil
}

func serveAdmin(group *errgroup.Group, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "admin listener")
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", handler)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	group.Go(func() error { return ignoreClosed(server.Serve(listener)) })
	return nil
}

// drain stops taking requests and lets running ones finish.
func (g *Gateway) drain(clients *http.Server) {
	logger.Info(nil, "draining")
	g.ingress.setDraining()
	time.Sleep(min(balancerDelay, g.settings.Daemon.DrainTimeout/2))
	timeout := max(stopMargin, g.settings.Daemon.DrainTimeout-balancerDelay-stopMargin)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		logger.Warn(fields{"error": err.Error()}, "requests cut at the end of the drain timeout")
	}
	logger.Info(nil, "stopped")
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "HTTP server")
}
