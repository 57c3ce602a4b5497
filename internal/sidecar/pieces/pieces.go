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

	history    *history
	cost       cost
	imports    singleflight.Group // by piece
	exporting  *semaphore.Weighted
	exports    *rate.Limiter
	background sync.WaitGroup
}

// Name implements job.Filter.
func (p *Filter) Name() string { return "pieces" }

// Handle implements job.Filter. It never refuses a request.
func (p *Filter) Handle(ctx context.Context, j *job.Job, next job.Handler) (job.Outcome, error) {
	r := newPrompt(j.Request)
	if r == nil {
		return next.Handle(ctx, j)
	}
	p.importMissing(ctx, j, r)
	outcome, err := next.Handle(ctx, j)
	if err == nil && outcome != nil && outcome.Tail != nil {
		p.history.recordUse(r, outcome.Tail.Load.GetIncarnation())
		p.exportHot(r)
	}
	return outcome, err
}

// Wait waits until no export is running.
func (p *Filter) Wait() { p.background.Wait() }
