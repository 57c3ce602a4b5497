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
	"github.com/wasabigate/wasabigate/internal/retrybudget"
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
	ctx      context.Context // cancelled when the router is killed
	kill     context.CancelFunc
	source   *control.AtomicSource
	inflight *inflight.Registry
	limiter  *limit.Local
	dialer   *rpc.Dialer
	server   *httpapi.Server
}

// newRouter starts a router that has only the control state.
func (c *cluster) newRouter(i int) *router {
	r := &router{index: i, inflight: &inflight.Registry{}, dialer: rpc.NewDialer(nil)}
	r.ctx, r.kill = context.WithCancel(c.ctx)
	c.mu.Lock()
	r.source = control.NewAtomicSource(c.snapshot())
	c.mu.Unlock()
	settings := &config.Settings{
		Daemon: config.DaemonSettings{RPCAddress: routerAddress(i)},
		Router: config.RouterSettings{MaxBodyBytes: 1 << 20, Policy: "own", LimitWait: limitWait, PrefixEntries: 1 << 12},
	}
	r.limiter = limit.New(limit.Options{Self: routerAddress(i), Source: r.source, Peers: peers{c}, Wait: limitWait})
	routing, err := route.New(settings, r.source, route.NewTracker(), prefix.NewIndex(settings.Router.PrefixEntries))
	if err != nil {
		c.t.Fatal(err)
	}
	r.server = httpapi.New(httpapi.Options{
		Settings: settings,
		Source:   r.source,
		Handler:  c.chain(r, routing),
		Inflight: r.inflight,
		Metrics:  http.NotFoundHandler(),
	})
	refresher := route.NewRefresher(routing, digests{c})
	c.work.Go(func() { refresher.Run(r.ctx) })
	c.work.Go(func() { _ = r.limiter.Run(r.ctx) })
	c.work.Go(func() { r.confirm() })
	return r
}

// chain returns the router's filter chain with a stepFilter before each filter that
// is a step.
func (c *cluster) chain(r *router, routing *route.Filter) request.Handler {
	dispatcher := dispatch.New(r.dialer, routing, noRevisions{})
	at := func(s step) request.Filter { return stepFilter{cluster: c, router: r, step: s} }
	return pipeline.Chain[*request.Request, request.Stream](
		dispatcher,
		at(stepAuthenticate), auth.New(),
		httpapi.KeyFilter{},
		classify.New(),
		at(stepLimit), limit.NewFilter(countedLimiter{r.limiter, &c.admissions}, r.source),
		relay.New(r.source, dispatcher, retrybudget.New(retrybudget.Bound{}, time.Now())),
		at(stepRoute), routing,
		at(stepDispatch),
	)
}

// confirm replaces the shard manager, which confirms the shards after it has read
// the table.
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

// restart kills router i and starts another one in its place.
func (c *cluster) restart(i int) {
	c.router(i).kill()
	restarted := c.newRouter(i)
	c.mu.Lock()
	c.routers[i] = restarted
	c.mu.Unlock()
}

// noRevisions replaces the control loop.
type noRevisions struct{}

func (noRevisions) ObserveRevisions(string, *wire.Revisions) {}

// digests reads the digests of the engines' cached blocks.
type digests struct{ cluster *cluster }

func (d digests) Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error) {
	return d.cluster.server(address).sidecar.Digest(ctx, &wire.DigestRequest{MaxBlocks: maxBlocks})
}

// peers connects the limiters of the routers.
type peers struct{ cluster *cluster }

var errNoRouter = errors.New("no such router")

func (p peers) Addresses() []string { return []string{routerAddress(0), routerAddress(1)} }

func (p peers) at(address string) (*limit.Local, error) {
	for i := range routerCount {
		p.cluster.mu.Lock()
		started := i < len(p.cluster.routers)
		p.cluster.mu.Unlock()
		if started && routerAddress(i) == address {
			return p.cluster.router(i).limiter, nil
		}
	}
	return nil, errNoRouter
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

// admissionCounter counts the tokens admitted for the workspace under test.
type admissionCounter struct {
	mu       sync.Mutex
	admitted int64
}

func (c *admissionCounter) add(tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitted += tokens
}

func (c *admissionCounter) total() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admitted
}

// countedLimiter counts the tokens that its limiter admits.
type countedLimiter struct {
	limit.Limiter
	counter *admissionCounter
}

func (c countedLimiter) Acquire(ctx context.Context, workspace string, cost int64, requestID string) (limit.Grant, error) {
	grant, err := c.Limiter.Acquire(ctx, workspace, cost, requestID)
	if err != nil || workspace != probeWorkspace {
		return grant, err
	}
	c.counter.add(cost)
	return &countedGrant{Grant: grant, counter: c.counter, cost: cost}, nil
}

type countedGrant struct {
	limit.Grant
	counter *admissionCounter
	cost    int64
	once    sync.Once
}

func (g *countedGrant) Settle(used int64) {
	g.Grant.Settle(used)
	g.once.Do(func() { g.counter.add(used - g.cost) })
}
