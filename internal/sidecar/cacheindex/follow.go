package cacheindex

import (
	"context"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/engine"
	"github.com/wasabigate/wasabigate/internal/logging"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 2 * time.Second
)

var logger = logging.For("cacheindex")

var eventGaps, _ = otel.Meter("wasabigate/cacheindex").Int64Counter("wasabigate.cacheindex.gaps",
	metric.WithUnit("{gap}"),
	metric.WithDescription("Times that cache events of the engine were lost and the block index was emptied."))

func countGap() { eventGaps.Add(context.Background(), 1) }

// Run applies the engine's events until ctx ends. When the connection breaks, it
// empties the index: the engine may have restarted, which its sequence numbers
// alone do not show.
func (x *Index) Run(ctx context.Context, e engine.Engine) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if x.follow(ctx, e) {
			backoff = minBackoff
		}
		x.Reset()
		clock.Sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// follow applies events until the connection breaks and reports whether it
// received any.
func (x *Index) follow(ctx context.Context, e engine.Engine) bool {
	events, err := e.Events(ctx, 0)
	if err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "cannot subscribe to the engine's cache events")
		return false
	}
	received := false
	for event := range events {
		x.Apply(event)
		received = true
	}
	return received
}
