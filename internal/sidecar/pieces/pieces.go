package pieces

import (
	"context"
	"sync"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sync/singleflight"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/sidecar/job"
)

var logger = logging.For("pieces")

// Filter imports and exports pieces of prompts. It is safe for concurrent use.
type Filter struct {
	store  platform.PieceStore
	engine engine.Engine
	index  Index
	load   func() *wire.Load

	history       *history
	cost          cost
	importGroup   singleflight.Group // by piece
	exportSem     *semaphore.Weighted
	exportLimiter *rate.Limiter
	background    sync.WaitGroup
}

// Name implements job.Filter.
func (f *Filter) Name() string { return "pieces" }

// Handle implements job.Filter. It never refuses a request.
func (f *Filter) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	p := newPrompt(j.Request)
	if p == nil {
		return next.Handle(ctx, j)
	}
	f.importMissing(ctx, j, p)
	outcome, err := next.Handle(ctx, j)
	if err == nil && outcome != nil && outcome.Tail != nil {
		f.history.recordUse(p, outcome.Tail.Load.GetIncarnation())
		f.exportHot(p)
	}
	return outcome, err
}

// Wait waits until no export is running.
func (f *Filter) Wait() { f.background.Wait() }
