package daemon

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/auth"
	"github.com/wasabigate/wasabigate/internal/classify"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/controller"
	"github.com/wasabigate/wasabigate/internal/dispatch"
	"github.com/wasabigate/wasabigate/internal/hold"
	"github.com/wasabigate/wasabigate/internal/httpapi"
	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/platform/client"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/relay"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/retrybudget"
	"github.com/wasabigate/wasabigate/internal/route"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
)

// loadBalancerDelay is how long a draining router still accepts requests, so that
// the load balancer can notice that it is not ready and clients can leave their
// connections.
const loadBalancerDelay = 2 * time.Second

// router implements role for routers.
type router struct {
	base       *base
	inflight   *inflight.Registry
	limiter    *limit.Local
	budget     *retrybudget.Budget
	refresher  *route.Refresher
	controller *controller.Controller
	server     *httpapi.Server
}

func newLimiter(b *base, source control.Source) *limit.Local {
	self := b.settings.Daemon.RPCAddress
	return limit.New(limit.Options{
		Self:   self,
		Source: source,
		Peers:  limit.RPCPeers{Dialer: b.dialer, List: func() []string { return otherRouters(source, self) }},
		Wait:   b.settings.Router.LimitWait,
	})
}

func newShardManager(b *base, limiter *limit.Local) *shard.Manager {
	return shard.NewManager(shard.Options{
		Self:        b.settings.Daemon.RPCAddress,
		Environment: b.settings.Daemon.Environment,
		KV:          b.kv,
		Limiter:     limiter,
		VMListLag:   b.settings.Platform.VMListLag,
	})
}

func newController(b *base) *controller.Controller {
	options := controller.Options{
		Self:          b.settings.Daemon.RPCAddress,
		Environment:   b.settings.Daemon.Environment,
		KV:            b.kv,
		Source:        b.loop,
		SidecarClient: sidecarClient{dialer: b.dialer},
		Timeout:       b.settings.Platform.Timeout,
	}
	if url := b.settings.Platform.WeightStore; url != "" {
		options.Weights = client.NewWeightStore(url, b.settings.Platform.Timeout)
	}
	return controller.New(options)
}

// newQuarantine returns a Quarantine whose probes the routers share.
func newQuarantine(source control.Source, self string) *quarantine.Quarantine {
	return quarantine.New(func(part quarantine.Part, turn int64) bool {
		return quarantine.Elected(part, turn, self, otherRouters(source, self))
	})
}

// newRouter builds a router with its filter chain.
func newRouter(b *base, limiter *limit.Local, q *quarantine.Quarantine) (*router, error) {
	r := &router{base: b, inflight: &inflight.Registry{}, limiter: limiter, controller: newController(b)}
	r.budget = retrybudget.New(retrybudget.Bound(b.settings.Router.Retries), time.Now())
	routing, err := route.New(b.settings, b.loop, route.NewTracker(), prefix.NewIndex(b.settings.Router.PrefixEntries))
	if err != nil {
		return nil, err
	}
	r.refresher = route.NewRefresher(routing, digestClient{dialer: b.dialer})
	if err := wire.DRPCRegisterLimits(b.mux, r.limiter); err != nil {
		return nil, errors.Wrap(err, "limits service")
	}
	r.server = httpapi.New(httpapi.Options{
		Settings: b.settings,
		Source:   b.loop,
		Handler:  r.chain(routing, q),
		Inflight: r.inflight,
		Metrics:  b.metrics,
		Memory:   b.memory,
	})
	return r, nil
}

// chain returns the filter chain. Filters are listed in the order in which they run.
func (r *router) chain(routing *route.Filter, q *quarantine.Quarantine) request.Handler {
	dispatcher := dispatch.New(r.base.dialer, routing, r.base.loop)
	return pipeline.Chain[*request.Request, request.Stream](
		dispatcher,
		auth.New(),
		httpapi.KeyFilter{},
		classify.New(),
		limit.NewFilter(r.limiter, r.base.loop),
		relay.New(r.base.loop, dispatcher, r.budget),
		routing,
		hold.New(q),
	)
}

func (r *router) handler() http.Handler { return r.server }

func (r *router) httpAddress() string { return r.base.settings.Router.HTTPAddress }

func (r *router) run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { r.limiter.Run(ctx) })
	group.Go(func() { r.refresher.Run(ctx) })
	group.Go(func() { r.controller.Run(ctx) })
	group.Wait()
	return nil
}

// snapshotChanged shares the bound on retries among the routers, and ends the running
// requests of withdrawn keys.
func (r *router) snapshotChanged(snapshot *control.Snapshot) {
	if snapshot.View != nil {
		listed := slices.ContainsFunc(snapshot.View.Routers, func(other membership.Router) bool { return other.Address == r.base.settings.Daemon.RPCAddress })
		r.budget.SetDaemons(len(snapshot.View.Routers), listed, time.Now())
	}
	if snapshot.Config != nil {
		r.inflight.CancelWithdrawn(snapshot.Config.KeyWithdrawn)
	}
}

// Describe implements node.RoleHandler.
func (r *router) Describe(status *wire.StatusReply) {
	snapshot := r.base.loop.Snapshot()
	status.Inflight = uint32(r.inflight.Len())
	status.Controller = r.controller.HoldsLease()
	if snapshot.Shards != nil {
		status.Shards = uint32(len(snapshot.Shards.OwnedBy(r.base.settings.Daemon.RPCAddress)))
	}
}

// SetDraining implements node.RoleHandler. It does nothing, since the control loop's
// snapshot has the draining state.
func (r *router) SetDraining(bool) {}

// drain keeps accepting requests for loadBalancerDelay, waits until the running
// requests have ended and releases the shards.
func (r *router) drain(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-time.After(loadBalancerDelay):
	}
	if err := r.inflight.Wait(ctx); err != nil {
		return err
	}
	return r.releaseShards(ctx)
}

// releaseShards releases this router's shards to the other routers, with their
// remaining tokens.
func (r *router) releaseShards(ctx context.Context) error {
	table := r.base.loop.Snapshot().Shards
	if table == nil {
		return nil
	}
	levels := r.limiter.Release(table.Epoch, table.OwnedBy(r.base.settings.Daemon.RPCAddress))
	return errors.Wrap(r.base.loop.ReleaseShards(ctx, levels), "shards not released and still owned by this router")
}
