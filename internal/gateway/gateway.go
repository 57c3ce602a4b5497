// Package gateway assembles the gateway daemon, which forwards clients' requests
// directly to the backend servers, based on its cached state of the deployment.
package gateway

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcmux"

	"github.com/wasabigate/wasabigate/internal/backend"
	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/clientconn"
	"github.com/wasabigate/wasabigate/internal/clientmem"
	"github.com/wasabigate/wasabigate/internal/clock"
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
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
	"github.com/wasabigate/wasabigate/internal/rollout"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/serveraccess"
	"github.com/wasabigate/wasabigate/internal/serverbackoff"
	"github.com/wasabigate/wasabigate/internal/serverlimit"
	"github.com/wasabigate/wasabigate/internal/streamversion"
	"github.com/wasabigate/wasabigate/internal/tcplisten"
)

var logger = logging.For("gateway")

type fields = logging.Fields

const (
	// balancerDelay is how long a stopping gateway still accepts requests: the load
	// balancer checks readiness once a second and needs two failed checks.
	balancerDelay = 2500 * time.Millisecond
	// refusePeriod is how long a stopping gateway refuses new requests before it closes
	// idle connections. Clients that send at least this often have left by then.
	refusePeriod = time.Second
	// shutdownMargin is the part of the drain time-out reserved for the steps after the
	// HTTP server has shut down.
	shutdownMargin = 500 * time.Millisecond
	// startWait is how long a process that starts waits at most for what other gateways know, from
	// its first reading of the store on. It covers an exchange with one that is unreachable.
	startWait = 500 * time.Millisecond
	// unlistedPeerTTL is how long a gateway that the store does not list still shares
	// the workspaces' rates after it was last seen in an exchange.
	unlistedPeerTTL = 2 * time.Second
	// readHeaderTimeout is how long a client may take to send a request's headers.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an unused client connection stays open if the configuration
	// does not limit that. It exceeds readHeaderTimeout; see clientconn.
	idleTimeout = 5 * time.Minute
)

// Platform adapts the gateway to the users' platform.
type Platform struct {
	Reload  func() (*config.Settings, error) // reads the settings again
	Hangups <-chan os.Signal                 // asks for a reload
	Store   func(baseURL string) platform.Store
	Layout  follower.Layout
	Headers Headers
	// Engines returns the client of engines. It passes the head of each response to observe.
	Engines func(observe rollout.Observe) rollout.Engines
	// RolloutStatus encodes how far the rollout of a software version is; nil: none is rolled out.
	RolloutStatus canary.Status
	// ShortOfRoom reports whether contracts are those of a deployment whose engines can be short
	// of room, so that less urgent requests are refused; nil: they never are.
	ShortOfRoom func(contracts string) bool
}

// Gateway is the gateway daemon.
type Gateway struct {
	settings *config.Settings
	platform Platform
	store    platform.Store
	follower *follower.Follower
	fleet    *fleet.Fleet
	cache    *kvcache.Directory
	budget   *retrybudget.Budget
	rollout  *rollout.Rollout
	engines  rollout.Engines
	streams  *streamversion.Decider
	keeper   *streamversion.Keeper
	canary   *canary.Tracker // nil: rollout orders are ignored
	owner    *canary.Owner   // nil: as above
	dialer   *rpc.Dialer
	limits   *limits
	exchange *peering.Exchange
	ingress  *ingress
	memory   *clientmem.Account // of what is held for clients
	// quarantine is shared with the other gateways through exchange.
	quarantine   *quarantine.Quarantine
	crashes      *savedCrashes
	weightsAges  *weightsAges
	sharing      *savedSharing
	serverLimits *serverlimit.Limits
	access       *serveraccess.Access
}

// Run runs the gateway until ctx ends, then drains it.
func Run(ctx context.Context, settings *config.Settings, adapter Platform) error {
	flush, err := logging.SetupAsync(os.Stdout, settings.Log.Level, settings.Log.Format, settings.Daemon.Name)
	if err != nil {
		return err
	}
	defer flush()
	if limit := settings.Gateway.MemoryLimit; limit > 0 {
		debug.SetMemoryLimit(clientmem.SoftHeapLimit(limit))
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

// listeners holds the open sockets of a gateway.
type listeners struct {
	clients   net.Listener
	readiness net.Listener
	rpc       net.Listener
	admin     net.Listener // nil if no admin address is set
}

func listen(settings *config.Settings) (*listeners, error) {
	open := &listeners{}
	for _, l := range []struct {
		name    string
		address string
		opened  *net.Listener
	}{
		{"clients", settings.Gateway.HTTPAddress, &open.clients},
		{"readiness checks", settings.Gateway.ReadyAddress, &open.readiness},
		{"other gateways", settings.Daemon.RPCAddress, &open.rpc},
		{"metrics", settings.Daemon.AdminAddress, &open.admin},
	} {
		if l.address == "" {
			continue
		}
		listener, err := tcplisten.Listen(l.address)
		if err != nil {
			return nil, errors.Wrapf(err, "listen for %s", l.name)
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
		streams:  streamversion.NewDecider(),
		dialer:   rpc.NewDialer(nil),
		canary:   newTracker(settings),
		memory:   clientmem.ForProcess(settings.Gateway.MemoryLimit),
	}
	g.store = adapter.Store(settings.Platform.KeyValue)
	g.limits = newLimits(settings, g.dialer)
	g.follower = follower.New(g.store, adapter.Layout, g.onSnapshot)
	g.follower.AwaitGateways(startWait)
	g.limits.follower = g.follower
	registerStateGauges(g.follower)
	clientconn.RegisterMemoryGauge(g.memory)
	g.quarantine = quarantine.New(g.mayProbe)
	g.crashes = &savedCrashes{
		quarantine: g.quarantine, store: g.store, self: settings.Daemon.RPCAddress,
		snapshot: func() *deployment.Snapshot { return g.follower.Snapshot() }, gateways: g.runningGateways,
	}
	g.weightsAges = &weightsAges{
		deadline: settings.Gateway.WeightsDeadline, store: g.store, self: settings.Daemon.RPCAddress,
		snapshot: g.follower.Snapshot, gateways: g.runningGateways, merge: g.follower.MergeReports,
	}
	g.sharing = &savedSharing{store: g.store, self: settings.Daemon.RPCAddress, snapshot: g.follower.Snapshot, gateways: g.runningGateways}
	g.serverLimits = serverlimit.New(settings.Daemon.RPCAddress)
	g.access = serveraccess.New(serveraccess.Options{
		Source: g.follower.Snapshot, Fleet: g.fleet, Limits: g.serverLimits, Backoffs: serverbackoff.New(),
		OnLeaving: func(server *deployment.Server, requestID string) {
			g.follower.ReportLeaving(follower.Leaving{ID: server.ID, Incarnation: server.Incarnation}, requestID)
		},
	})
	g.exchange = peering.New(peering.Options{
		Self:     settings.Daemon.RPCAddress,
		Seeds:    settings.Daemon.Peers,
		Dialer:   g.dialer,
		Follower: g.follower,
		Fleet:    g.fleet,
		Cache:    g.cache,

		Quarantine: g.quarantine,
		Limits:     g.serverLimits,
		Canary:     g.canary,
	})
	g.budget = retrybudget.New(retryBound(settings), time.Now())
	var engines rollout.Engines
	if adapter.Engines != nil {
		engines = adapter.Engines(func(server *deployment.Server, head *backend.Description, sent time.Time) {
			g.access.Observe(server, "", head, sent, time.Now())
		})
	}
	g.engines = engines
	g.rollout = rollout.New(rollout.Options{
		Self:    settings.Daemon.Name,
		Lease:   settings.Gateway.OrderLease,
		LeaseKV: g.store,
		Key:     follower.LeaderKey,
		Source:  g.follower,
		Fleet:   g.fleet,
		Engines: engines,
		MayCall: func(server *deployment.Server) bool {
			return g.access.Check(server, time.Now()).Reason == serveraccess.Allowed
		},
	})
	g.keeper = g.newKeeper()
	g.owner = g.newCanaryOwner()
	g.ingress = newIngress(g.follower, adapter.Headers, g.newChain(), g.memory)
	return g
}

// mayProbe reports whether this gateway may send the probe of a part that crashes servers.
func (g *Gateway) mayProbe(part quarantine.Part, turn int64) bool {
	return quarantine.Elected(part, turn, g.settings.Daemon.RPCAddress, g.runningGateways(g.follower.Snapshot()))
}

// runningGateways returns the addresses of the gateways that the store lists and of those
// heard of recently: after an outage of the store, the leases of all may have expired.
func (g *Gateway) runningGateways(snapshot *deployment.Snapshot) []string {
	addresses := g.exchange.PeersSince(time.Now().Add(-unlistedPeerTTL))
	for _, gateway := range snapshot.Gateways {
		addresses = append(addresses, gateway.Address)
	}
	slices.Sort(addresses)
	return slices.Compact(addresses)
}

// newChain returns the filter chain, in the order in which the filters run.
func (g *Gateway) newChain() forward.Handler {
	relay := forward.NewRelay(forward.Relay{
		Source:        func() *deployment.Snapshot { return g.follower.Snapshot() },
		Zone:          g.settings.Daemon.AvailabilityZone,
		MaxReplaced:   g.settings.Gateway.WeightsDeadline,
		Fleet:         g.fleet,
		Cache:         g.cache,
		Backend:       backend.NewClient(g.platform.Headers),
		Budget:        g.budget,
		Quarantine:    g.quarantine,
		ClaimProbe:    (&probeClaims{store: g.store, self: g.settings.Daemon.RPCAddress}).claim,
		Access:        g.access,
		Streams:       g.streams,
		Canary:        g.canary,
		AdmitByRoom:   g.platform.ShortOfRoom != nil && g.platform.ShortOfRoom(g.settings.Platform.Contracts),
		OtherGateways: g.exchange,
		Assignments:   newAssignmentReader(g.store),
		Outdated:      g.isIsolated,
		Processes:     g.processes(),
		Staleness:     func() time.Duration { return g.follower.Staleness(time.Now()) },
	})
	filters := []forward.Filter{forward.Match{}}
	if g.settings.Gateway.FailClosed {
		staleness := func() time.Duration { return g.follower.Staleness(time.Now()) }
		filters = append(filters, &forward.RequireConfirmed{Staleness: staleness, MaxStaleness: g.settings.Gateway.MaxStaleness})
	}
	filters = append(filters, forward.Authenticate{}, &forward.JoinCopies{}, &forward.Limit{Limiter: g.limits.local})
	return pipeline.Chain[*forward.Request, *forward.Response](relay, filters...)
}

// onSnapshot applies a new snapshot of the deployment to the parts that depend on it.
func (g *Gateway) onSnapshot(snapshot *deployment.Snapshot) {
	g.fleet.Prune(snapshot)
	g.trackRollouts(snapshot, time.Now())
	g.shareBounds(snapshot)
	g.crashes.merge(snapshot)
	g.serverLimits.Prune(snapshot.Incarnation)
	g.limits.update(snapshot, g.exchange.PeersSince(time.Now().Add(-unlistedPeerTTL)), time.Now())
	g.follower.SetIdle(!roster.Watches(snapshot.Gateways, g.settings.Daemon.RPCAddress))
}

// shareBounds divides what the gateways may do together among those that run.
func (g *Gateway) shareBounds(snapshot *deployment.Snapshot) {
	gateways := g.runningGateways(snapshot)
	others := slices.DeleteFunc(gateways, func(address string) bool { return address == g.settings.Daemon.RPCAddress })
	listed := slices.ContainsFunc(snapshot.Gateways, func(other deployment.Gateway) bool { return other.Address == g.settings.Daemon.RPCAddress })
	g.budget.SetDaemons(max(1+len(others), g.seeds()), listed, time.Now())
	g.serverLimits.SetGateways(others)
}

// seeds returns the number of gateways in the settings, this one included.
func (g *Gateway) seeds() int {
	addresses := append(slices.Clone(g.settings.Daemon.Peers), g.settings.Daemon.RPCAddress)
	slices.Sort(addresses)
	return len(slices.Compact(addresses))
}

// shareBoundsRegularly divides them again as gateways fall silent.
func (g *Gateway) shareBoundsRegularly(ctx context.Context) {
	for clock.Sleep(ctx, unlistedPeerTTL/2) == nil {
		g.shareBounds(g.follower.Snapshot())
	}
}

// serve runs all listeners and background work until ctx ends, then drains.
func (g *Gateway) serve(ctx context.Context, open *listeners, metricsHandler http.Handler) error {
	background, stop := context.WithCancel(context.Background())
	defer stop()
	group, background := errgroup.WithContext(background)
	if err := g.serveRPC(background, group, open.rpc); err != nil {
		return err
	}
	g.startBackground(ctx, background, group)
	clients := g.newClientServer()
	readiness := newSmallServer(g.ingress.readinessHandler())
	admin := newSmallServer(adminHandler(metricsHandler))
	serveHTTP(group, clients, g.boundClients(open.clients, clients))
	serveHTTP(group, readiness, boundSmall(open.readiness, listenerReadiness, readiness))
	serveHTTP(group, admin, boundSmall(open.admin, listenerAdmin, admin))
	logger.Info(fields{"name": g.settings.Daemon.Name, "zone": g.settings.Daemon.AvailabilityZone, "clients": g.settings.Gateway.HTTPAddress}, "gateway started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	g.drain(clients)
	stop()
	_ = readiness.Close() // error ignored: the process ends
	_ = admin.Close()     // error ignored: the process ends
	return waitAtMost(group, shutdownMargin/2)
}

// waitAtMost waits until the background work has ended. Work that waits for an
// unreachable store must not keep a stopped process until it is killed.
func waitAtMost(group *errgroup.Group, limit time.Duration) error {
	ended := make(chan error, 1)
	go func() { ended <- group.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(limit):
		logger.Warn(nil, "background work did not end")
		return nil
	}
}

// startBackground starts the background goroutines. The rollouts end with ctx, before
// the gateway drains; the others run until background ends, after the drain.
func (g *Gateway) startBackground(ctx, background context.Context, group *errgroup.Group) {
	registration := roster.NewRegistration(g.store, follower.GatewayPrefix, g.settings.Daemon.RPCAddress, g.isNarrow())
	for _, work := range []func(context.Context){g.follower.Run, g.exchange.Run, g.limits.run, registration.Run, g.reloadOnSignal, g.shareBoundsRegularly, g.crashes.run, g.weightsAges.run, g.sharing.run, g.keeper.Run, g.exchange.TellOrigins} {
		group.Go(func() error { work(background); return nil })
	}
	group.Go(func() error { g.rollout.Run(ctx); return nil })
	if g.owner != nil {
		group.Go(func() error { g.owner.Run(ctx); return nil })
		group.Go(func() error { g.owner.Analyze(background); return nil })
	}
}

// isNarrow returns what reports whether this gateway's link was found to be narrow, or nil if that
// is not measured.
func (g *Gateway) isNarrow() func() bool {
	if meter, ok := g.store.(platform.LinkMeter); ok {
		return meter.IsNarrow
	}
	return nil
}

func serveHTTP(group *errgroup.Group, server *http.Server, listener net.Listener) {
	if listener == nil {
		return
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve HTTP")
		}
		return nil
	})
}

func adminHandler(metricsHandler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", metricsHandler)
	return mux
}

// reloadOnSignal reloads the settings on each signal of the platform.
func (g *Gateway) reloadOnSignal(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.platform.Hangups:
			g.reload()
		}
	}
}

// reload validates all settings and applies those that can change at run time: the
// log level and the retry bound.
func (g *Gateway) reload() {
	settings, err := g.platform.Reload()
	if err != nil {
		logger.Error(fields{"error": err.Error()}, "settings not reloaded; the previous ones stay in force")
		return
	}
	if err := logging.SetLevel(settings.Log.Level); err != nil {
		logger.Error(fields{"error": err.Error()}, "log level not changed")
	}
	g.budget.SetBound(retryBound(settings), time.Now())
	logger.Info(fields{"level": settings.Log.Level}, "settings reloaded")
}

func retryBound(settings *config.Settings) retrybudget.Bound {
	return retrybudget.Bound(settings.Gateway.Retries)
}

// serveRPC serves the RPC listener, for other gateways and the operators' tool.
func (g *Gateway) serveRPC(ctx context.Context, group *errgroup.Group, listener net.Listener) error {
	mux := drpcmux.New()
	if err := g.limits.register(mux); err != nil {
		return err
	}
	if err := wire.DRPCRegisterGateways(mux, g.exchange); err != nil {
		return errors.Wrap(err, "register gateways service")
	}
	if err := wire.DRPCRegisterStreams(mux, peering.OriginServer{Origins: g.streams}); err != nil {
		return errors.Wrap(err, "register streams service")
	}
	if err := g.newOperatorService().register(mux); err != nil {
		return err
	}
	bounded := clientconn.Listen(listener, clientconn.Options{Name: listenerRPC, MaxConns: g.share(rpcShare), Account: g.memory})
	group.Go(func() error { return rpc.Serve(ctx, bounded, mux, nil, logRPCError) })
	return nil
}

func (g *Gateway) newOperatorService() *operatorService {
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

// drain fails readiness checks, then refuses new requests and waits for running ones up
// to the drain time-out.
//
// A client's connection can't be closed safely while the client may send on it: a request
// that crosses the close is cut without an answer. Idle connections therefore stay open to
// the end, and what arrives on them is refused as not run.
func (g *Gateway) drain(clients *http.Server) {
	logger.Info(nil, "draining")
	g.ingress.setDraining()
	time.Sleep(min(balancerDelay, g.settings.Daemon.DrainTimeout/2))
	g.ingress.setRefusing()
	timeout := max(shutdownMargin, g.settings.Daemon.DrainTimeout-balancerDelay-shutdownMargin)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_ = clock.Sleep(ctx, min(refusePeriod, timeout)) // the error only says that ctx ended
	g.ingress.awaitEnd(ctx)
	if err := clients.Shutdown(ctx); err != nil {
		logger.Warn(fields{"error": err.Error()}, "requests cut at the end of the drain timeout")
		_ = clients.Close() // their time is up
	}
	logger.Info(nil, "stopped")
}
