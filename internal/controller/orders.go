package controller

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/wasabigate/wasabigate/internal/lease"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar"
)

const (
	pollTimeout  = 2 * time.Second
	orderTimeout = 30 * time.Second
	// loadExpiry is the time after which a load with an unknown outcome is
	// assumed to have ended.
	loadExpiry = time.Minute
	// writeBackoff is the delay before the next load order after writing the
	// record has failed.
	writeBackoff = time.Second
	// maxPolls limits the concurrent calls for load reports.
	maxPolls = 16
)

// Outcomes of orders, as logged and counted.
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
	outcomeNotSent = "not_sent"
)

// errLeaseExpired means that the lease expired before a call was sent.
var errLeaseExpired = errors.New("lease expired")

// runningLoad is a load with its state in the current term.
type runningLoad struct {
	load
	startedAt     time.Time
	incarnation   uint64 // of the engine when the load started; 0 if unknown
	awaitingReply bool   // the order has no reply yet
}

// callAsync runs call in a goroutine and then handle in the goroutine of Run,
// unless the term has ended meanwhile.
func (c *Controller) callAsync(ctx context.Context, call func(t *lease.Term) error, handle func(err error)) {
	t := c.term
	c.calls.Go(func() {
		err := call(t)
		done := func() {
			if c.term == t {
				handle(err)
			}
		}
		select {
		case c.results <- done:
		case <-ctx.Done():
		}
	})
}

// pollServers requests the load reports that are due. The first call to a
// server in a term carries the fencing token, so that no earlier controller can
// change what the sidecar reports from then on.
func (c *Controller) pollServers(ctx context.Context) {
	now := time.Now()
	polls := 0
	for _, s := range c.servers {
		if s.pollInProgress {
			polls++
		}
	}
	interval := max(pollInterval, time.Duration(len(c.servers))*time.Second/pollsPerSecond)
	for _, s := range c.servers {
		if s.pollInProgress || s.pendingOrder != nil || now.Before(s.nextPoll) || polls >= maxPolls {
			continue
		}
		polls++
		c.pollServer(ctx, s, interval*3/4+rand.N(interval/2))
	}
}

func (c *Controller) pollServer(ctx context.Context, s *server, interval time.Duration) {
	s.pollInProgress = true
	var loadReport *wire.Load
	call := func(t *lease.Term) (err error) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		loadReport, err = c.loadReport(ctx, t, s.address, s.fenced)
		return err
	}
	c.callAsync(ctx, call, func(err error) {
		s.pollInProgress = false
		if err != nil {
			c.handleCallFailure(s, err)
			return
		}
		s.fenced = true
		s.applyReport(loadReport)
		s.nextPoll = time.Now().Add(interval)
	})
}

func (c *Controller) loadReport(ctx context.Context, t *lease.Term, address string, fenced bool) (*wire.Load, error) {
	if fenced {
		return c.opts.SidecarClient.GetLoad(ctx, address)
	}
	if !t.Valid() {
		return nil, errLeaseExpired
	}
	reply, err := c.opts.SidecarClient.Order(ctx, address, &wire.OrderRequest{Fence: uint64(t.Fence())})
	return reply.GetLoad(), err
}

// handleCallFailure records a failed call. If the sidecar refused the fencing
// token, the lease is renewed at once, which fails if another router holds it;
// if the renewal succeeds, the fault is that of the server alone.
func (c *Controller) handleCallFailure(s *server, err error) {
	now := time.Now()
	s.recordFailure(now)
	if drpcerr.Code(err) == sidecar.OrderStaleFence {
		c.nextRenewal = now
		logger.Warn(fields{"server": s.name, "error": err.Error()}, "sidecar refused fencing token")
		return
	}
	logger.Debug(fields{"server": s.name, "error": err.Error()}, "call to sidecar failed")
}

// sendDueOrders plans orders and sends them. Load orders are dropped if they
// could not be recorded.
func (c *Controller) sendDueOrders(ctx context.Context, target targetState) {
	p := &planner{target: target, serversByGroup: c.serversByGroup()}
	p.available = func(w weights) bool { return c.isAvailable(ctx, w) }
	for _, l := range c.loads {
		p.running = append(p.running, l.load)
	}
	orders := p.plan()
	c.missingWeights.Store(p.missingWeights())
	if !c.recordLoads(ctx, orders) {
		orders = slices.DeleteFunc(orders, func(o order) bool {
			if o.kind == orderLoad {
				o.server.pendingOrder = nil
			}
			return o.kind == orderLoad
		})
	}
	for _, o := range orders {
		if c.term != nil {
			c.sendOrder(ctx, o)
		}
	}
}

// serversByGroup returns the servers by group, ordered by name.
func (c *Controller) serversByGroup() map[string][]*server {
	serversByGroup := make(map[string][]*server)
	for _, s := range c.servers {
		serversByGroup[s.listed.Group] = append(serversByGroup[s.listed.Group], s)
	}
	for _, servers := range serversByGroup {
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	}
	return serversByGroup
}

// recordLoads writes the loads in orders to the record and reports whether they
// may be ordered.
func (c *Controller) recordLoads(ctx context.Context, orders []order) bool {
	recorded := make([]load, 0, maxLoads)
	for _, l := range c.loads {
		recorded = append(recorded, l.load)
	}
	var added []*runningLoad
	for _, o := range orders {
		if o.kind == orderLoad {
			l := load{Server: o.server.address, Weights: o.weights}
			recorded = append(recorded, l)
			added = append(added, &runningLoad{load: l, startedAt: time.Now(), incarnation: o.server.incarnation, awaitingReply: true})
		}
	}
	if len(added) == 0 {
		return true
	}
	if time.Now().Before(c.nextLoadWrite) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if err := c.recordStore.write(ctx, recorded); err != nil {
		c.nextLoadWrite = time.Now().Add(writeBackoff)
		logger.Warn(fields{"error": err.Error()}, "load order not sent: writing load record failed")
		if errors.Is(err, errSuperseded) {
			c.stepDown(ctx, "superseded by a later controller")
		}
		return false
	}
	c.loads = append(c.loads, added...)
	c.runningLoads.Store(int64(len(c.loads)))
	return true
}

// sendOrder sends one order.
func (c *Controller) sendOrder(ctx context.Context, o order) {
	req := &wire.OrderRequest{Fence: uint64(c.term.Fence()), Revisions: c.opts.Source.Snapshot().Revisions()}
	if o.kind == orderLoad {
		req.Load = weightsToWire(o.weights)
	} else {
		req.Unload = weightsToWire(o.weights)
	}
	logger.Info(c.orderFields(o), "sending order")
	call := func(t *lease.Term) error {
		if !t.Valid() {
			return errLeaseExpired
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		_, err := c.opts.SidecarClient.Order(ctx, o.server.address, req)
		return err
	}
	c.callAsync(ctx, call, func(err error) { c.handleOrderResult(o, err) })
}

func (c *Controller) orderFields(o order) fields {
	return fields{
		"order":   string(o.kind),
		"server":  o.server.name,
		"model":   o.weights.Model,
		"adapter": o.weights.Adapter,
		"version": o.weights.Version,
		"fence":   c.term.Fence(),
	}
}

// handleOrderResult handles the outcome of an order. The next report of the
// server shows what it holds now.
func (c *Controller) handleOrderResult(o order, err error) {
	outcome := outcomeOf(err)
	line := c.orderFields(o)
	line["outcome"] = outcome
	if err != nil {
		line["error"] = err.Error()
	}
	logger.Info(line, "order finished")
	c.metrics.countOrder(string(o.kind), outcome)
	o.server.pendingOrder = nil
	if o.kind == orderLoad {
		c.handleLoadResult(o, outcome)
	} else if outcome == outcomeDone || outcome == outcomeUnknown {
		o.server.markUnloaded(o.weights)
	}
	if err != nil {
		c.handleCallFailure(o.server, err)
		return
	}
	o.server.reported = false
	o.server.nextPoll = time.Now().Add(reportDelay)
}

// handleLoadResult removes the load unless its outcome is unknown, in which
// case it may still be running.
func (c *Controller) handleLoadResult(o order, outcome string) {
	o.server.refused[o.weights] = outcome == outcomeRefused
	for _, l := range c.loads {
		if l.Server == o.server.address && l.Weights == o.weights {
			l.awaitingReply = false
		}
	}
	if outcome != outcomeUnknown {
		c.removeLoads(func(l *runningLoad) bool { return l.Server == o.server.address && l.Weights == o.weights })
	}
}

func outcomeOf(err error) string {
	if err == nil {
		return outcomeDone
	}
	if errors.Is(err, errLeaseExpired) || errors.Is(err, rpc.ErrDial) {
		return outcomeNotSent
	}
	switch drpcerr.Code(err) {
	case sidecar.OrderStaleFence, sidecar.OrderUnsupported, sidecar.OrderUnreachable:
		return outcomeNotSent
	case sidecar.OrderFailed, sidecar.OrderBusy:
		return outcomeRefused
	default:
		return outcomeUnknown
	}
}

// removeEndedLoads removes loads with an unknown outcome that have ended: the
// server has reported the weights, has restarted or is no longer listed, or
// loadExpiry has passed.
func (c *Controller) removeEndedLoads() {
	now := time.Now()
	c.removeLoads(func(l *runningLoad) bool {
		s := c.servers[l.Server]
		switch {
		case l.awaitingReply:
			return false
		case s == nil || now.Sub(l.startedAt) >= loadExpiry:
			return true
		case !s.fenced || !s.reported:
			return false
		default:
			return s.holds(l.Weights) || (l.incarnation != 0 && s.incarnation != l.incarnation)
		}
	})
}

func (c *Controller) removeLoads(match func(*runningLoad) bool) {
	c.loads = slices.DeleteFunc(c.loads, match)
	c.runningLoads.Store(int64(len(c.loads)))
}
