// Package gateway assembles the daemon of the role gateway: it forwards clients'
// requests straight to the backend servers, by what it believes of the
// deployment.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/fleet"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/forward"
	"github.com/wasabigate/wasabigate/internal/kvcache"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/metrics"
	"github.com/wasabigate/wasabigate/internal/peering"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
	"github.com/wasabigate/wasabigate/internal/rollout"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
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
	// heardTime is how long a gateway that was heard of counts as one that shares the
	// workspaces' rates, if the store does not list it.
	heardTime = 2 * time.Second
	// readHeaderTimeout bounds how long a client may take to send a request's head.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes connections that no client uses: above the longest idle time
	// that operators allow.
	idleTimeout = 5 * time.Minute
)

// Platform is what translates between the users' platform and the gateway.
type Platform struct {
	Reload  func() (*config.Settings, error) // reads the settings again
	Store   func(baseURL string) platform.Store
	Layout  follower.Layout
	Headers Headers
	Engines rollout.Engines
}

// Gateway is the running daemon.
type Gateway struct {
	settings *config.Settings
	platform Platform
	store    platform.Store
	follower *follower.Follower
	fleet    *fleet.Fleet
	cache    *kvcache.Directory
	budget   *retrybudget.Budget
	rollout  *rollout.Rollout
	dialer   *rpc.Dialer
	limits   *limits
	exchange *peering.Exchange
	ingress  *ingress
}

// Run runs the gateway until ctx ends, then drains it.
func Run(ctx context.Context, settings *config.Settings, adapter Platform) error {
	flush, err := logging.SetupAsync(os.Stdout, settings.Log.Level, settings.Log.Format, settings.Daemon.Name)
	if err != nil {
		return err
	}
	defer flush()
	if limit := settings.Gateway.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(int64(float64(limit) * memoryShare))
	}
	metricsHandler, err := metrics.Setup()
	if err != nil {
		return err
	}
	open, err := listen(settings)
	if err != nil {
		return err
	}
	return newGateway(settings, adapter).serve(ctx, open, metricsHandler)
}

// listeners are the sockets that a gateway serves.
type listeners struct {
	clients net.Listener
	checks  net.Listener
	rpc     net.Listener
	admin   net.Listener // nil: none
}

func listen(settings *config.Settings) (*listeners, error) {
	open := &listeners{}
	for _, l := range []struct {
		name    string
		address string
		opened  *net.Listener
	}{
		{"clients", settings.Gateway.HTTPAddress, &open.clients},
		{"readiness checks", settings.Gateway.ReadyAddress, &open.checks},
		{"other gateways", settings.Daemon.RPCAddress, &open.rpc},
		{"metrics", settings.Daemon.AdminAddress, &open.admin},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listener for %s", l.name)
		}
		*l.opened = listener
	}
	return open, nil
}

func newGateway(settings *config.Settings, adapter Platform) *Gateway {
	g := &Gateway{
		settings: settings,
		platform: adapter,
		fleet:    fleet.New(),
		cache:    kvcache.NewDirectory(),
		dialer:   rpc.NewDialer(nil),
	}
	g.store = adapter.Store(settings.Platform.KeyValue)
	g.limits = newLimits(settings, g.dialer)
	g.follower = follower.New(g.store, adapter.Layout, g.changed)
	g.limits.follower = g.follower
	observeBelief(g.follower)
	g.exchange = peering.New(peering.Options{
		Self:     settings.Daemon.RPCAddress,
		Seeds:    settings.Daemon.Peers,
		Dialer:   g.dialer,
		Follower: g.follower,
		Fleet:    g.fleet,
		Cache:    g.cache,
	})
	g.budget = retrybudget.New(boundOf(settings), time.Now())
	g.rollout = rollout.New(rollout.Options{
		Self:    settings.Daemon.Name,
		Lease:   settings.Gateway.OrderLease,
		LeaseKV: g.store,
		Key:     follower.LeaderKey,
		Source:  g.follower,
		Fleet:   g.fleet,
		Engines: adapter.Engines,
	})
	g.ingress = newIngress(g.follower, adapter.Headers, g.chain())
	return g
}

// chain declares the filters in the order in which they act.
func (g *Gateway) chain() forward.Handler {
	relay := forward.NewRelay(forward.Relay{
		Source:      func() *deployment.Snapshot { return g.follower.Snapshot() },
		Zone:        g.settings.Daemon.AvailabilityZone,
		MaxReplaced: g.settings.Gateway.WeightsDeadline,
		Fleet:       g.fleet,
		Cache:       g.cache,
		Backend:     backend.NewClient(g.platform.Headers),
		Budget:      g.budget,
	})
	filters := []forward.Filter{forward.Match{}}
	if g.settings.Gateway.FailClosed {
		silence := func() time.Duration { return g.follower.Silence(time.Now()) }
		filters = append(filters, &forward.Confirmed{Silence: silence, Bound: g.settings.Gateway.BeliefBound})
	}
	filters = append(filters, forward.Authenticate{}, &forward.Limit{Limiter: g.limits.local})
	return pipeline.Chain[*forward.Request, *forward.Answer](relay, filters...)
}

// changed is called with each new belief.
func (g *Gateway) changed(snapshot *deployment.Snapshot) {
	g.fleet.Forget(snapshot)
	g.budget.SetGateways(len(snapshot.Gateways))
	g.limits.update(snapshot, g.exchange.Heard(time.Now().Add(-heardTime)), time.Now())
	g.follower.SetIdle(!roster.Watches(snapshot.Gateways, g.settings.Daemon.RPCAddress))
}

// serve runs all listeners and background work until ctx ends, then drains.
func (g *Gateway) serve(ctx context.Context, open *listeners, metricsHandler http.Handler) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	if err := g.serveRPC(background, group, open.rpc); err != nil {
		return err
	}
	g.startWorkers(ctx, background, group)
	clients := &http.Server{Handler: g.ingress, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	checks := &http.Server{Handler: g.ingress.checks(), ReadHeaderTimeout: readHeaderTimeout}
	admin := &http.Server{Handler: adminHandler(metricsHandler), ReadHeaderTimeout: readHeaderTimeout}
	serveHTTP(group, clients, open.clients)
	serveHTTP(group, checks, open.checks)
	serveHTTP(group, admin, open.admin)
	logger.Info(fields{"name": g.settings.Daemon.Name, "zone": g.settings.Daemon.AvailabilityZone, "clients": g.settings.Gateway.HTTPAddress}, "gateway started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	g.drain(clients)
	stop()
	_ = checks.Close() // the process ends
	_ = admin.Close()  // the process ends
	return group.Wait()
}

// startWorkers starts what runs beside the traffic. Orders end with ctx, before the
// gateway drains; the rest goes on while it does.
func (g *Gateway) startWorkers(ctx, background context.Context, group *errgroup.Group) {
	registration := roster.NewRegistration(g.store, follower.GatewayPrefix, g.settings.Daemon.RPCAddress)
	for _, work := range []func(context.Context){g.follower.Run, g.exchange.Run, g.limits.run, registration.Run, g.reloadOnSignal} {
		group.Go(func() error { work(background); return nil })
	}
	group.Go(func() error { g.rollout.Run(ctx); return nil })
}

func serveHTTP(group *errgroup.Group, server *http.Server, listener net.Listener) {
	if listener == nil {
		return
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "HTTP server")
		}
		return nil
	})
}

func adminHandler(metricsHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricsHandler)
	return mux
}

// reloadOnSignal reads the settings again at each SIGHUP.
func (g *Gateway) reloadOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			g.reload()
		}
	}
}

// reload checks the settings whole and takes over those that may change while the
// process runs: the log's level and the bound of repeats.
func (g *Gateway) reload() {
	settings, err := g.platform.Reload()
	if err != nil {
		logger.Error(fields{"error": err.Error()}, "settings not reloaded, the former ones stay in force")
		return
	}
	if err := logging.SetLevel(settings.Log.Level); err != nil {
		logger.Error(fields{"error": err.Error()}, "log level not changed")
	}
	g.budget.SetBound(boundOf(settings))
	logger.Info(fields{"level": settings.Log.Level}, "settings reloaded")
}

func boundOf(settings *config.Settings) retrybudget.Bound {
	return retrybudget.Bound{
		Ratio:  settings.Gateway.RetryRatio,
		Window: settings.Gateway.RetryWindow,
		Slack:  settings.Gateway.RetrySlack,
	}
}

// serveRPC serves the other gateways.
func (g *Gateway) serveRPC(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	mux := drpcmux.New()
	if err := g.limits.register(mux); err != nil {
		return err
	}
	if err := wire.DRPCRegisterGateways(mux, g.exchange); err != nil {
		return errors.Wrap(err, "gateways service")
	}
	if err := g.operators().register(mux); err != nil {
		return err
	}
	group.Go(func() error { return rpc.Serve(ctx, listener, mux, nil, logRPCError) })
	return nil
}

func (g *Gateway) operators() *operatorService {
	return &operatorService{
		settings: g.settings,
		started:  time.Now(),
		follower: g.follower,
		fleet:    g.fleet,
		draining: g.ingress.isDraining,
	}
}

func logRPCError(err error) {
	logger.Debug(fields{"error": err.Error()}, "rpc connection failed")
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
