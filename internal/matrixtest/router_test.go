package matrixtest

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/auth"
	"github.com/wasabigate/wasabigate/internal/classify"
	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/dispatch"
	"github.com/wasabigate/wasabigate/internal/httpapi"
	"github.com/wasabigate/wasabigate/internal/inflight"
	"github.com/wasabigate/wasabigate/internal/limit"
	"github.com/wasabigate/wasabigate/internal/pipeline"
	"github.com/wasabigate/wasabigate/internal/prefix"
	"github.com/wasabigate/wasabigate/internal/relay"
	"github.com/wasabigate/wasabigate/internal/request"
	"github.com/wasabigate/wasabigate/internal/route"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	limitWait = 50 * time.Millisecond
	// confirmInterval is how often the shards are confirmed.
	confirmInterval = 100 * time.Millisecond
)

// router is a router without its control loop.
type router struct {
	index    int
	ctx      context.Context // ends when it is killed
	kill     context.CancelFunc
	cell     *control.AtomicSource
	inflight *inflight.Registry
	limiter  *limit.Local
	dialer   *rpc.Dialer
	server   *httpapi.Server
}

// newRouter starts a router that knows the control state and nothing else.
func (w *world) newRouter(i int) *router {
	r := &router{index: i, inflight: &inflight.Registry{}, dialer: rpc.NewDialer(nil)}
	r.ctx, r.kill = context.WithCancel(w.ctx)
	w.mu.Lock()
	r.cell = control.NewAtomicSource(w.snapshot())
	w.mu.Unlock()
	settings := &config.Settings{
		Daemon: config.DaemonSettings{RPCAddress: routerAddress(i)},
		Router: config.RouterSettings{MaxBodyBytes: 1 << 20, Policy: "own", LimitWait: limitWait, PrefixEntries: 1 << 12},
	}
	r.limiter = limit.New(limit.Options{Self: routerAddress(i), Source: r.cell, Peers: peers{w}, Wait: limitWait})
	routing, err := route.New(settings, r.cell, route.NewTracker(), prefix.NewIndex(settings.Router.PrefixEntries))
	if err != nil {
		w.t.Fatal(err)
	}
	r.server = httpapi.New(httpapi.Options{
		Settings: settings,
		Source:   r.cell,
		Handler:  w.chain(r, routing),
		Inflight: r.inflight,
		Metrics:  http.NotFoundHandler(),
	})
	refresher := route.NewRefresher(routing, digests{w})
	w.work.Go(func() { refresher.Run(r.ctx) })
	w.work.Go(func() { _ = r.limiter.Run(r.ctx) })
	w.work.Go(func() { r.confirm() })
	return r
}

// chain is the router's filter chain with a step before each filter that has
// one.
func (w *world) chain(r *router, routing *route.Filter) request.Handler {
	dispatcher := dispatch.New(r.dialer, routing, noRevisions{})
	at := func(s step) request.Filter { return stepFilter{world: w, router: r, step: s} }
	return pipeline.Chain[*request.Request, request.Stream](
		dispatcher,
		at(stepAuthenticate), auth.New(),
		httpapi.KeyFilter{},
		classify.New(),
		at(stepLimit), limit.NewFilter(countedLimiter{r.limiter, &w.ledger}, r.cell),
		relay.New(r.cell, dispatcher),
		at(stepRoute), routing,
		at(stepDispatch),
	)
}

// confirm stands in for the shard manager, which confirms the shards after it
// has read the table.
func (r *router) confirm() {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			_ = r.dialer.Close()
			return
		case <-ticker.C:
			r.limiter.Confirm(time.Now())
		}
	}
}

// restart kills the router at a place and starts another one.
func (w *world) restart(i int) {
	w.router(i).kill()
	fresh := w.newRouter(i)
	w.mu.Lock()
	w.routers[i] = fresh
	w.mu.Unlock()
}

// noRevisions stands in for the control loop.
type noRevisions struct{}

func (noRevisions) ObserveRevisions(string, *wire.Revisions) {}

// digests reads what engines hold.
type digests struct{ world *world }

func (d digests) Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error) {
	return d.world.server(address).sidecar.Digest(ctx, &wire.DigestRequest{MaxBlocks: maxBlocks})
}

// peers reaches the limiters of the other routers.
type peers struct{ world *world }

var errGone = errors.New("no such router")

func (p peers) Addresses() []string { return []string{routerAddress(0), routerAddress(1)} }

func (p peers) at(address string) (*limit.Local, error) {
	for i := range routerCount {
		p.world.mu.Lock()
		started := i < len(p.world.routers)
		p.world.mu.Unlock()
		if started && routerAddress(i) == address {
			return p.world.router(i).limiter, nil
		}
	}
	return nil, errGone
}

func (p peers) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	l, err := p.at(address)
	if err != nil {
		return nil, err
	}
	return l.Debit(ctx, req)
}

func (p peers) Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error) {
	l, err := p.at(address)
	if err != nil {
		return nil, err
	}
	return l.Credit(ctx, req)
}

func (p peers) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	l, err := p.at(address)
	if err != nil {
		return nil, err
	}
	return l.Levels(ctx, req)
}

// ledger counts the tokens admitted for the workspace under test.
type ledger struct {
	mu       sync.Mutex
	admitted int64
}

func (l *ledger) add(tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.admitted += tokens
}

func (l *ledger) total() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admitted
}

// countedLimiter notes what its limiter admits.
type countedLimiter struct {
	limit.Limiter
	ledger *ledger
}

func (c countedLimiter) Acquire(ctx context.Context, workspace string, cost int64, requestID string) (limit.Grant, error) {
	grant, err := c.Limiter.Acquire(ctx, workspace, cost, requestID)
	if err != nil || workspace != probeWorkspace {
		return grant, err
	}
	c.ledger.add(cost)
	return &countedGrant{Grant: grant, ledger: c.ledger, cost: cost}, nil
}

type countedGrant struct {
	limit.Grant
	ledger *ledger
	cost   int64
	once   sync.Once
}

func (g *countedGrant) Settle(used int64) {
	g.Grant.Settle(used)
	g.once.Do(func() { g.ledger.add(used - g.cost) })
}
