package sidecar

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcerr"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Codes of the errors that Order returns.
const (
	OrderStaleFence  = 101 // the order's fencing token is older than the highest seen
	OrderUnsupported = 102 // the backend server is no engine and takes no orders
	OrderFailed      = 103 // the engine refused the order; it has no effect
	OrderUnknown     = 104 // the outcome is unknown; the order may have an effect
	OrderBusy        = 105 // requests use the weights to unload; the order has no effect
	OrderUnreachable = 106 // the engine could not be reached; the order has no effect
)

// orders sends orders to the engine, one at a time, and refuses those of an
// earlier controller even if the engine ignores fencing tokens.
type orders struct {
	engine    engine.Engine
	usage     *weightsUsage
	refused   func() error  // why the engine takes no order now; asked when one is sent
	sem       chan struct{} // binary semaphore; guards fence and fenceRead
	fence     uint64        // highest fencing token seen
	fenceRead bool          // the engine's own fencing token was read
}

func newOrders(e engine.Engine, usage *weightsUsage, refused func() error) *orders {
	o := &orders{engine: e, usage: usage, refused: refused, sem: make(chan struct{}, 1)}
	o.sem <- struct{}{}
	return o
}

// Order implements wire.DRPCBackendServer.
func (s *Sidecar) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderReply, error) {
	s.verify.NotifyIfNewer(req.Revisions)
	if s.orders.engine == nil {
		return nil, drpcerr.WithCode(errors.New("the backend server takes no orders"), OrderUnsupported)
	}
	err := s.orders.apply(ctx, orderOf(req))
	logger.Info(logging.Fields{"fence": req.Fence, "accepted": err == nil}, "order received")
	if err != nil {
		return nil, err
	}
	s.engine.refresh(ctx)
	return &wire.OrderReply{Load: s.Load()}, nil
}

// orderRefusal returns why the engine takes no order now, or nil.
func (s *Sidecar) orderRefusal() error {
	if s.leaving.is() {
		return errors.New("the engine is leaving")
	}
	if pause := s.queue.Pause(time.Now()); pause > 0 {
		return errors.Errorf("the engine wants nothing for %v", pause)
	}
	return nil
}

func orderOf(req *wire.OrderRequest) engine.Order {
	return engine.Order{
		Fence:  req.Fence,
		Load:   weightsOf(req.Load),
		Unload: weightsOf(req.Unload),
		Role:   req.Role,
	}
}

func weightsOf(w *wire.Weights) *engine.LoadedWeights {
	if w == nil {
		return nil
	}
	return &engine.LoadedWeights{Model: w.Model, Adapter: w.Adapter, Version: w.Version}
}

// apply sends an order to the engine. It holds the semaphore until the engine has
// responded, so that an old order can't reach the engine after a newer one.
func (o *orders) apply(ctx context.Context, order engine.Order) error {
	select {
	case <-o.sem:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { o.sem <- struct{}{} }()
	if err := o.refused(); err != nil {
		return drpcerr.WithCode(err, OrderFailed)
	}
	if err := o.readFence(ctx); err != nil {
		return drpcerr.WithCode(err, OrderUnreachable)
	}
	if order.Fence < o.fence {
		err := errors.Wrapf(engine.ErrStaleFence, "order %d after %d", order.Fence, o.fence)
		return drpcerr.WithCode(err, OrderStaleFence)
	}
	o.fence = order.Fence
	if order.Unload != nil {
		return o.unload(ctx, order)
	}
	err := o.engine.Apply(ctx, order)
	if err == nil && order.Load != nil {
		o.usage.restore(*order.Load)
	}
	return withCode(err)
}

// unload refuses the weights to new requests and sends the order once no request
// uses them. If the order fails, the weights are in use again.
func (o *orders) unload(ctx context.Context, order engine.Order) error {
	if err := o.usage.retire(ctx, *order.Unload); err != nil {
		return drpcerr.WithCode(err, OrderBusy)
	}
	err := o.engine.Apply(ctx, order)
	if err != nil {
		o.usage.restore(*order.Unload)
	}
	return withCode(err)
}

// withCode adds the code that tells the controller whether an order had an effect.
func withCode(err error) error {
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		return drpcerr.WithCode(err, OrderStaleFence)
	case errors.Is(err, engine.ErrRefused):
		return drpcerr.WithCode(err, OrderFailed)
	case errors.Is(err, engine.ErrUnreachable):
		return drpcerr.WithCode(err, OrderUnreachable)
	default:
		return drpcerr.WithCode(err, OrderUnknown)
	}
}

// readFence reads the highest fencing token that the engine has seen, so that a
// restarted sidecar doesn't begin at 0.
func (o *orders) readFence(ctx context.Context) error {
	if o.fenceRead {
		return nil
	}
	state, err := o.engine.State(ctx)
	if err != nil {
		return err
	}
	o.fence = max(o.fence, state.Fence)
	o.fenceRead = true
	return nil
}
