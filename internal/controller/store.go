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
	// storeQueryInterval is the minimum time between queries for weights that
	// the store did not have.
	storeQueryInterval = 10 * time.Second
	storeQueryTimeout  = 5 * time.Second
)

// storeCache caches which weights the store has, since the store is
// rate-limited. Weights that were found once are assumed to stay.
type storeCache struct {
	held      map[weights]bool
	queriedAt map[string]time.Time // last query, by model
	querying  map[string]bool      // queries in progress, by model
	logged    map[weights]bool     // missing weights that were logged
}

func newStoreCache() storeCache {
	return storeCache{
		held:      make(map[weights]bool),
		queriedAt: make(map[string]time.Time),
		querying:  make(map[string]bool),
		logged:    make(map[weights]bool),
	}
}

// isAvailable reports whether the weight store is known to have w. If not, it
// starts a query, at most one in each storeQueryInterval.
func (c *Controller) isAvailable(ctx context.Context, w weights) bool {
	if c.opts.Weights == nil || c.storeCache.held[w] {
		return true
	}
	queriedAt := c.storeCache.queriedAt[w.Model]
	if c.storeCache.querying[w.Model] || (!queriedAt.IsZero() && time.Since(queriedAt) < storeQueryInterval) {
		return false
	}
	c.queryStore(ctx, w)
	return false
}

func (c *Controller) queryStore(ctx context.Context, w weights) {
	c.storeCache.querying[w.Model] = true
	var found []weights
	call := func(*lease.Term) (err error) {
		ctx, cancel := context.WithTimeout(ctx, storeQueryTimeout)
		defer cancel()
		found, err = c.opts.Weights.Versions(ctx, w.Model)
		if errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		return err
	}
	c.callAsync(ctx, call, func(err error) {
		c.storeCache.querying[w.Model] = false
		c.storeCache.queriedAt[w.Model] = time.Now()
		if err != nil {
			logger.Warn(fields{"model": w.Model, "error": err.Error()}, "querying weight store failed")
			return
		}
		for _, held := range found {
			c.storeCache.held[held] = true
		}
		if !slices.Contains(found, w) && !c.storeCache.logged[w] {
			c.storeCache.logged[w] = true
			logger.Error(fields{"model": w.Model, "adapter": w.Adapter, "version": w.Version}, "weight store does not have these weights; no load is ordered")
		}
	})
}
