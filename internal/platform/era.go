package platform

import (
	"context"
	"strconv"
	"sync/atomic"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"
)

const (
	// maxEra is the largest era that fits into a Version.
	maxEra = 1<<(64-revisionBits) - 1
	// maxEraStep bounds the restores between two responses. An era further ahead is
	// malformed: it would make all that the service says later look old.
	maxEraStep = 1000
)

// EraTracker tracks the era in a service's responses. It is safe for concurrent use.
type EraTracker struct {
	latest atomic.Uint64
}

// Latest returns the latest era seen.
func (t *EraTracker) Latest() Era { return Era(t.latest.Load()) }

// Observe returns the era of a response with the given text in its header. A response
// without the header, or with a malformed one, which is counted, is of the latest era.
func (t *EraTracker) Observe(text string) Era {
	if text == "" {
		return t.Latest()
	}
	number, err := strconv.ParseUint(text, 10, 64)
	for {
		latest := t.latest.Load()
		if err != nil || number > maxEra || latest > 0 && number > latest+maxEraStep {
			countMalformedEra()
			return Era(latest)
		}
		if number <= latest || t.latest.CompareAndSwap(latest, number) {
			return Era(number)
		}
	}
}

func countMalformedEra() {
	counter, err := otel.Meter("wasabigate/platform").Int64Counter("wasabigate.platform.malformed_eras",
		metric.WithUnit("{response}"), metric.WithDescription("Responses of the key-value service whose era is no number, or too far ahead."))
	if err != nil {
		otel.Handle(err)
		return
	}
	counter.Add(context.Background(), 1)
}
