package controller

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/lease"
	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// storeInterval is the time between two looks for weights that the store did
	// not have.
	storeInterval = 10 * time.Second
	storeTimeout  = 5 * time.Second
)

// storeView is what is known of the weight store, which is rate-limited. Weights
// that were there once are taken to stay.
type storeView struct {
	held   map[weights]bool
	looked map[string]time.Time // last look, by model
	asking map[string]bool      // looks on their way, by model
	logged map[weights]bool     // absent weights that were logged
}

func newStoreView() storeView {
	return storeView{
		held:   make(map[weights]bool),
		looked: make(map[string]time.Time),
		asking: make(map[string]bool),
		logged: make(map[weights]bool),
	}
}

// isAvailable says whether the weight store is known to have w. If not, it looks
// once in a while.
func (c *Controller) isAvailable(ctx context.Context, w weights) bool {
	if c.opts.Weights == nil || c.store.held[w] {
		return true
	}
	looked := c.store.looked[w.Model]
	if c.store.asking[w.Model] || (!looked.IsZero() && time.Since(looked) < storeInterval) {
		return false
	}
	c.look(ctx, w)
	return false
}

func (c *Controller) look(ctx context.Context, w weights) {
	c.store.asking[w.Model] = true
	var found []weights
	call := func(*lease.Term) (err error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		found, err = c.opts.Weights.Versions(ctx, w.Model)
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		return err
	}
	c.after(ctx, call, func(err error) {
		c.store.asking[w.Model] = false
		c.store.looked[w.Model] = time.Now()
		if err != nil {
			logger.Warn(fields{"model": w.Model, "error": err.Error()}, "weight store not read")
			return
		}
		for _, held := range found {
			c.store.held[held] = true
		}
		if !slices.Contains(found, w) && !c.store.logged[w] {
			c.store.logged[w] = true
			logger.Error(fields{"model": w.Model, "adapter": w.Adapter, "version": w.Version}, "the weight store does not have these weights, no load is ordered")
		}
	})
}
