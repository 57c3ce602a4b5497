package limit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/guard"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// maxAsks bounds how often one round asks the same peer.
const maxAsks = 2

// debits requests the tokens that an attempt lacks from several peers in parallel: from
// as few as are expected to have them, and from all if one does not respond in time.
type debits struct {
	attempt  *attempt
	peers    []*debitPeer // not asked yet, fullest first
	running  []*debit
	expected int64 // tokens requested by the running calls that are not overdue
	hedging  bool  // a call is overdue
	// heldUntil is when the request stops waiting if there is a refusal time, which it
	// exceeds only for peers that usually respond later.
	heldUntil time.Time
	results   chan *debit
}

// debitPeer is a peer to ask.
type debitPeer struct {
	address string
	level   int64 // estimate
	asks    int
}

// debit is a call to one peer.
type debit struct {
	peer      *debitPeer
	requested int64
	overdueAt time.Time // other peers are asked from then on; zero: never
	overdue   bool
	settled   atomic.Bool // by the response, or by the request that waits no longer
	reply     *wire.DebitReply
	err       error
}

func newDebits(a *attempt, parts []part) *debits {
	d := &debits{attempt: a, heldUntil: a.began.Add(a.local.refusalTime), results: make(chan *debit, maxAsks*len(parts))}
	for _, p := range parts {
		d.peers = append(d.peers, &debitPeer{address: p.address, level: p.level})
	}
	return d
}

// run returns when the cost is drawn, no peer is left to ask, the hold time is over or
// ctx ends. Tokens that arrive afterwards are returned.
func (d *debits) run(ctx context.Context) {
	defer d.abandon()
	for d.attempt.drawn < d.attempt.cost {
		d.launch(ctx)
		if len(d.running) == 0 {
			return
		}
		if done := d.poll(); done != nil {
			d.finish(ctx, done)
			continue
		}
		overdue, held := d.deadlines()
		if !held.IsZero() && !time.Now().Before(held) {
			return
		}
		select {
		case done := <-d.results:
			d.finish(ctx, done)
		case <-after(overdue):
			d.markOverdue(time.Now())
		case <-after(held):
		case <-ctx.Done():
			return
		}
	}
}

// after returns a channel that receives at the given time; never, if it is zero.
func after(at time.Time) <-chan time.Time {
	if at.IsZero() {
		return nil
	}
	return time.After(time.Until(at))
}

// poll returns a call that has ended, or nil.
func (d *debits) poll() *debit {
	select {
	case done := <-d.results:
		return done
	default:
		return nil
	}
}

// launch asks the fullest peers for what the running calls are not expected to bring. If a
// call is overdue, all peers are asked.
func (d *debits) launch(ctx context.Context) {
	a := d.attempt
	if !d.mayLaunch(time.Now()) {
		return
	}
	for len(d.peers) > 0 {
		missing := a.cost - a.drawn
		if !d.hedging {
			missing -= d.expected
		}
		if missing <= 0 {
			return
		}
		p := d.peers[0]
		d.peers = d.peers[1:]
		p.asks++
		requested := missing
		if p.level > 0 {
			requested = min(missing, p.level)
		}
		d.start(ctx, &debit{peer: p, requested: requested})
	}
}

// mayLaunch reports whether there is time for more calls. Peers that usually respond after
// the refusal time are asked until the longest wait is over.
func (d *debits) mayLaunch(now time.Time) bool {
	l := d.attempt.local
	if l.refusalTime == 0 {
		return true
	}
	elapsed := now.Sub(d.attempt.began)
	return elapsed < l.refusalTime || elapsed < l.wait && now.Before(d.heldUntil)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (d *debits) start(ctx context.Context, c *debit) {
	now := time.Now()
	patience, limit := d.attempt.local.health.patience(c.peer.address), d.attempt.local.refusalTime
	if patience == 0 && limit > 0 {
		patience = min(limit/2, callTimeout)
	}
	if patience > 0 && patience < callTimeout {
		c.overdueAt = now.Add(patience)
	}
	if limit > 0 && d.mayWaitFor(c.peer.address, patience, now) {
		d.heldUntil = later(d.heldUntil, now.Add(patience))
		d.attempt.distant = true
	}
	d.running = append(d.running, c)
	d.expected += c.requested
	a := *d.attempt // the call may outlast the attempt
	a.local.spawn(func() { a.debit(context.WithoutCancel(ctx), c, d.results) })
}

// mayWaitFor reports whether the request may wait for a peer beyond the refusal time: for a
// distant one, and for one that is slow since its machine is busy if the workspace seems to be
// inside its rate. Without the latter, a fifth of all requests were refused at 300 gateways.
func (d *debits) mayWaitFor(address string, patience time.Duration, now time.Time) bool {
	l := d.attempt.local
	return l.health.isDistant(address, l.refusalTime/2) || patience > l.refusalTime && !d.attempt.bucket.isOverRate(now)
}

// deadlines returns when the next call is overdue and when the request stops waiting for
// the running calls. A zero time stands for never: calls end by themselves after
// callTimeout.
func (d *debits) deadlines() (overdue, held time.Time) {
	if d.attempt.local.refusalTime > 0 {
		held = d.heldUntil
	}
	for _, c := range d.running {
		if !c.overdue && !c.overdueAt.IsZero() && (overdue.IsZero() || c.overdueAt.Before(overdue)) {
			overdue = c.overdueAt
		}
	}
	return overdue, held
}

// markOverdue stops counting on calls that take longer than usual.
func (d *debits) markOverdue(now time.Time) {
	for _, c := range d.running {
		if !c.overdue && !c.overdueAt.IsZero() && !now.Before(c.overdueAt) {
			c.overdue, d.hedging = true, true
			d.expected -= c.requested
		}
	}
}

// finish collects the tokens of a call. A peer that has more may be asked again.
func (d *debits) finish(ctx context.Context, c *debit) {
	for i, running := range d.running {
		if running == c {
			d.running = append(d.running[:i], d.running[i+1:]...)
			break
		}
	}
	if !c.overdue {
		d.expected -= c.requested
	}
	if c.err != nil {
		return
	}
	d.attempt.responded = true
	d.attempt.collect(ctx, c.reply.Draws, c.requested)
	if c.peer.level = c.reply.Level; c.peer.level > 0 && c.peer.asks < maxAsks {
		d.peers = append(d.peers, c.peer)
	}
}

// abandon gives up the running calls. Each returns its tokens by itself, unless it has
// ended already.
func (d *debits) abandon() {
	ended := 0
	for _, c := range d.running {
		if !c.settled.CompareAndSwap(false, true) {
			ended++
		}
	}
	a := d.attempt
	for ; ended > 0; ended-- {
		if c := <-d.results; c.err == nil {
			a.local.returnDraws(context.Background(), a.bucket, a.own.mark, a.local.validDraws(c.reply.Draws, c.requested))
		}
	}
}

// debit makes a call. If the request has not waited for the response, its tokens are
// returned; those of a response after callTimeout are lost.
func (a *attempt) debit(ctx context.Context, c *debit, results chan<- *debit) {
	l := a.local
	address := c.peer.address
	req := &wire.DebitRequest{
		Workspace: a.bucket.workspace,
		Tokens:    c.requested,
		Revisions: a.snapshot.Revisions(),
		RequestId: a.requestID,
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var sent time.Time
	sent, c.err = l.call(address, func() error {
		return guard.Call("debit of a peer", func() (err error) { // a panic is logged there
			c.reply, err = l.peers.Debit(callCtx, address, req)
			return err
		})
	})
	if c.err == nil {
		l.meters.debits.Add(ctx, 1)
		a.bucket.recordPeerLevel(l.pauseGuard.now().elapsed, address, c.reply.Level)
		if time.Since(sent) > callTimeout {
			c.reply.Draws = nil
		}
	}
	if c.settled.CompareAndSwap(false, true) {
		results <- c
		return
	}
	if c.err == nil {
		l.returnDraws(ctx, a.bucket, a.own.mark, l.validDraws(c.reply.Draws, c.requested))
	}
}
