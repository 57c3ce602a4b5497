package model

import (
	"context"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// Apply implements engine.Engine. It returns when the weights are loaded. A
// load continues when the caller's context ends.
func (e *Engine) Apply(ctx context.Context, order engine.Order) error {
	l, err := e.reach(ctx)
	if err != nil {
		return err
	}
	if err := l.checkFence(order.Fence); err != nil {
		return err
	}
	l.change(order)
	if order.Load == nil {
		return nil
	}
	select {
	case <-l.load(*order.Load):
		return nil
	case <-l.ctx.Done():
		return errors.Wrap(engine.ErrBroken, "engine crashed")
	case <-ctx.Done():
		return errors.Wrap(engine.ErrBroken, ctx.Err().Error())
	}
}

// checkFence checks the fencing token and records the highest.
func (l *instance) checkFence(fence uint64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.opts.EnforceFence && fence < l.fence {
		return errors.Wrapf(engine.ErrStaleFence, "order has %d, engine has seen %d", fence, l.fence)
	}
	l.fence = max(l.fence, fence)
	return nil
}

func (l *instance) change(order engine.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if order.Role != "" {
		l.role = order.Role
	}
	if order.Unload != nil {
		delete(l.loaded, *order.Unload)
	}
}

// load starts loading weights unless they are loaded or loading. The returned
// channel is closed when they are loaded.
func (l *instance) load(weights engine.LoadedWeights) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if done := l.loading[weights]; done != nil {
		return done
	}
	done := make(chan struct{})
	if l.loaded[weights] || l.ctx.Err() != nil {
		close(done)
		return done
	}
	l.loading[weights] = done
	l.work.Go(func() {
		if l.pause(l.ctx, l.opts.scaled(l.opts.LoadTime)) {
			l.loadDone(weights)
		}
	})
	return done
}

func (l *instance) loadDone(weights engine.LoadedWeights) {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.loading[weights])
	delete(l.loading, weights)
	l.loaded[weights] = true
}
