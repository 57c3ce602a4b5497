package model

import (
	"context"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// Apply implements engine.Engine. It returns when the weights are loaded. A
// load continues when the caller's context ends.
func (e *Engine) Apply(ctx context.Context, order engine.Order) error {
	inst, err := e.reach(ctx)
	if err != nil {
		return err
	}
	if err := inst.checkFence(order.Fence); err != nil {
		return err
	}
	inst.applyNow(order)
	if order.Load == nil {
		return nil
	}
	select {
	case <-inst.load(*order.Load):
		return nil
	case <-inst.ctx.Done():
		return errors.Wrap(engine.ErrBroken, "engine crashed")
	case <-ctx.Done():
		return errors.Wrap(engine.ErrBroken, ctx.Err().Error())
	}
}

// checkFence checks the fencing token and records the highest.
func (inst *instance) checkFence(fence uint64) error {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.opts.EnforceFence && fence < inst.fence {
		return errors.Wrapf(engine.ErrStaleFence, "order has %d, engine has seen %d", fence, inst.fence)
	}
	inst.fence = max(inst.fence, fence)
	return nil
}

// applyNow applies the role change and the unload of an order, which take no
// time.
func (inst *instance) applyNow(order engine.Order) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if order.Role != "" {
		inst.role = order.Role
	}
	if order.Unload != nil {
		delete(inst.loaded, *order.Unload)
	}
}

// load starts loading weights unless they are loaded or loading. The returned
// channel is closed when they are loaded, or at once after a crash.
func (inst *instance) load(weights engine.LoadedWeights) <-chan struct{} {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if done := inst.loading[weights]; done != nil {
		return done
	}
	done := make(chan struct{})
	if inst.loaded[weights] || inst.ctx.Err() != nil {
		close(done)
		return done
	}
	inst.loading[weights] = done
	inst.work.Go(func() {
		if inst.pause(inst.ctx, inst.opts.scaled(inst.opts.LoadTime)) {
			inst.finishLoad(weights)
		}
	})
	return done
}

func (inst *instance) finishLoad(weights engine.LoadedWeights) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	close(inst.loading[weights])
	delete(inst.loading, weights)
	inst.loaded[weights] = true
}
