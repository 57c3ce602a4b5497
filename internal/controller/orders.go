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
	// loadExpiry is the time after which a load of unknown outcome is taken to be
	// over.
	loadExpiry = time.Minute
	// writeBackoff is the time until a load that could not be recorded is tried
	// again.
	writeBackoff = time.Second
	// maxPolls is the number of reports asked for at once.
	maxPolls = 16
)

// Outcomes of orders in logs and metrics.
const (
	outcomeDone    = "done"
	outcomeRefused = "refused"
	outcomeUnknown = "unknown"
	outcomeNotSent = "not_sent"
)

// errLapsed means that the lease lapsed before an order was sent.
var errLapsed = errors.New("lease lapsed")

// runningLoad is a load that may be running.
type runningLoad struct {
	load
	since       time.Time
	incarnation uint64 // of the engine when the load began; 0: not known
	calling     bool   // the order has not been answered yet
}

// after runs call outside the controller's goroutine and then handle in it,
// unless the term has ended meanwhile.
func (c *Controller) after(ctx context.Context, call func(t *lease.Term) error, handle func(err error)) {
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

// poll asks servers whose time has come for their report. The first call of a
// term brings the fencing number: what the sidecar reports then can no longer be
// changed by an earlier controller.
func (c *Controller) poll(ctx context.Context) {
	now := time.Now()
	polls := 0
	for _, s := range c.servers {
		if s.calling {
			polls++
		}
	}
	interval := max(pollInterval, time.Duration(len(c.servers))*time.Second/pollsPerSecond)
	for _, s := range c.servers {
		if s.calling || s.giving != nil || now.Before(s.due) || polls >= maxPolls {
			continue
		}
		polls++
		c.pollOne(ctx, s, interval*3/4+rand.N(interval/2))
	}
}

func (c *Controller) pollOne(ctx context.Context, s *server, interval time.Duration) {
	s.calling = true
	var report *wire.Load
	call := func(t *lease.Term) (err error) {
		ctx, cancel := context.WithTimeout(ctx, pollTimeout)
		defer cancel()
		report, err = c.report(ctx, t, s.address, s.fenced)
		return err
	}
	c.after(ctx, call, func(err error) {
		s.calling = false
		if err != nil {
			c.failed(s, err)
			return
		}
		s.fenced = true
		s.learn(report)
		s.due = time.Now().Add(interval)
	})
}

func (c *Controller) report(ctx context.Context, t *lease.Term, address string, fenced bool) (*wire.Load, error) {
	if fenced {
		return c.opts.Servers.GetLoad(ctx, address)
	}
	if !t.Valid() {
		return nil, errLapsed
	}
	reply, err := c.opts.Servers.Order(ctx, address, &wire.OrderRequest{Fence: uint64(t.Fence())})
	return reply.GetLoad(), err
}

// failed notes a call that failed. After a refused fencing number the lease is
// renewed at once, which fails if another router has it; if not, it is the
// server's matter.
func (c *Controller) failed(s *server, err error) {
	now := time.Now()
	s.fail(now)
	if drpcerr.Code(err) == sidecar.OrderStaleFence {
		c.nextRenewal = now
		logger.Warn(fields{"server": s.name, "error": err.Error()}, "fencing number refused")
		return
	}
	logger.Debug(fields{"server": s.name, "error": err.Error()}, "server not reached")
}

// give gives the orders that are due.
func (c *Controller) give(ctx context.Context, wanted desired) {
	p := &planner{wanted: wanted, groups: c.groups()}
	p.available = func(w weights) bool { return c.isAvailable(ctx, w) }
	for _, l := range c.loads {
		p.running = append(p.running, l.load)
	}
	orders := p.plan()
	c.missing.Store(p.missing())
	if !c.noteLoads(ctx, orders) {
		orders = slices.DeleteFunc(orders, func(o order) bool {
			if o.kind == orderLoad {
				o.server.giving = nil
			}
			return o.kind == orderLoad
		})
	}
	for _, o := range orders {
		if c.term != nil {
			c.send(ctx, o)
		}
	}
}

// groups returns the servers by group, in the order of names.
func (c *Controller) groups() map[string][]*server {
	groups := make(map[string][]*server)
	for _, s := range c.servers {
		groups[s.listed.Group] = append(groups[s.listed.Group], s)
	}
	for _, servers := range groups {
		slices.SortFunc(servers, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	}
	return groups
}

// noteLoads writes the loads of orders into the record and says whether they may
// be given.
func (c *Controller) noteLoads(ctx context.Context, orders []order) bool {
	noted := make([]load, 0, maxLoads)
	for _, l := range c.loads {
		noted = append(noted, l.load)
	}
	var added []*runningLoad
	for _, o := range orders {
		if o.kind == orderLoad {
			l := load{Server: o.server.address, Weights: o.weights}
			noted = append(noted, l)
			added = append(added, &runningLoad{load: l, since: time.Now(), incarnation: o.server.incarnation, calling: true})
		}
	}
	if len(added) == 0 {
		return true
	}
	if time.Now().Before(c.nextLoad) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	if err := c.ledger.write(ctx, noted); err != nil {
		c.nextLoad = time.Now().Add(writeBackoff)
		logger.Warn(fields{"error": err.Error()}, "no load is ordered, since it could not be recorded")
		if errors.Is(err, errOvertaken) {
			c.stepDown(ctx, "a later controller has taken over")
		}
		return false
	}
	c.loads = append(c.loads, added...)
	c.running.Store(int64(len(c.loads)))
	return true
}

// send gives one order.
func (c *Controller) send(ctx context.Context, o order) {
	req := &wire.OrderRequest{Fence: uint64(c.term.Fence()), Revisions: c.opts.Source.Snapshot().Revisions()}
	if o.kind == orderLoad {
		req.Load = wireOf(o.weights)
	} else {
		req.Unload = wireOf(o.weights)
	}
	logger.Info(c.describe(o), "order given")
	call := func(t *lease.Term) error {
		if !t.Valid() {
			return errLapsed
		}
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		_, err := c.opts.Servers.Order(ctx, o.server.address, req)
		return err
	}
	c.after(ctx, call, func(err error) { c.answered(o, err) })
}

func (c *Controller) describe(o order) fields {
	return fields{
		"order":   string(o.kind),
		"server":  o.server.name,
		"model":   o.weights.Model,
		"adapter": o.weights.Adapter,
		"version": o.weights.Version,
		"fence":   c.term.Fence(),
	}
}

// answered takes the outcome of an order. What the server holds is known again
// after its next report.
func (c *Controller) answered(o order, err error) {
	outcome := outcomeOf(err)
	line := c.describe(o)
	line["outcome"] = outcome
	if err != nil {
		line["error"] = err.Error()
	}
	logger.Info(line, "order answered")
	c.meters.countOrder(string(o.kind), outcome)
	o.server.giving = nil
	if o.kind == orderLoad {
		c.loadAnswered(o, outcome)
	} else if outcome == outcomeDone || outcome == outcomeUnknown {
		o.server.lose(o.weights)
	}
	if err != nil {
		c.failed(o.server, err)
		return
	}
	o.server.reported = false
	o.server.due = time.Now().Add(settleTime)
}

// loadAnswered forgets a load that is certainly not running.
func (c *Controller) loadAnswered(o order, outcome string) {
	o.server.refused[o.weights] = outcome == outcomeRefused
	for _, l := range c.loads {
		if l.Server == o.server.address && l.Weights == o.weights {
			l.calling = false
		}
	}
	if outcome != outcomeUnknown {
		c.forget(func(l *runningLoad) bool { return l.Server == o.server.address && l.Weights == o.weights })
	}
}

func outcomeOf(err error) string {
	if err == nil {
		return outcomeDone
	}
	if errors.Is(err, errLapsed) || errors.Is(err, rpc.ErrDial) {
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

// settleLoads forgets loads of unknown outcome that are over: the server has
// reported the weights, has restarted, is gone, or has had enough time.
func (c *Controller) settleLoads() {
	now := time.Now()
	c.forget(func(l *runningLoad) bool {
		s := c.servers[l.Server]
		switch {
		case l.calling:
			return false
		case s == nil || now.Sub(l.since) >= loadExpiry:
			return true
		case !s.fenced || !s.reported:
			return false
		default:
			return s.holds(l.Weights) || (l.incarnation != 0 && s.incarnation != l.incarnation)
		}
	})
}

func (c *Controller) forget(over func(*runningLoad) bool) {
	c.loads = slices.DeleteFunc(c.loads, over)
	c.running.Store(int64(len(c.loads)))
}
