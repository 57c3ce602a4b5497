package sidecar

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// SetDraining sets whether the backend server is draining. While it is, new
// requests are refused, and each response reports it to the routers.
func (s *Sidecar) SetDraining(draining bool) {
	if s.draining.Swap(draining) != draining {
		logger.Info(logging.Fields{"draining": draining}, "draining state changed")
	}
}

// isDraining reports whether new requests are refused.
func (s *Sidecar) isDraining() bool {
	return s.draining.Load() || s.source.Snapshot().Draining || s.leaving.is()
}

const (
	// refuseMargin is the time before the deadline of a drain at which requests
	// that still wait are refused, so that their routers can retry elsewhere.
	refuseMargin = 2 * time.Second
	// quietPeriod is the time without a new request after which a drain ends. By
	// then the routers know that the backend server is draining.
	quietPeriod = 500 * time.Millisecond
	// maxQuietWait bounds the wait for a quiet period at the end of a drain.
	maxQuietWait = 5 * time.Second
)

// Drain refuses new requests and waits until all accepted ones have ended, their
// responses were read and their replies recorded, or ctx ends. Requests that are
// still queued shortly before the deadline of ctx are refused as not run.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.SetDraining(true)
	if deadline, ok := ctx.Deadline(); ok {
		remaining := time.Until(deadline)
		timer := time.AfterFunc(remaining-min(refuseMargin, remaining/2), s.queue.RefuseWaiting)
		defer timer.Stop()
	}
	if err := s.buffers.Drain(ctx); err != nil {
		return err
	}
	if err := s.once.Wait(ctx); err != nil {
		return err
	}
	s.awaitQuiet(ctx)
	return nil
}

// awaitQuiet waits until no request has arrived for quietPeriod, so that requests
// in transit get a refusal rather than a broken connection.
func (s *Sidecar) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxQuietWait)
	defer cancel()
	previous := s.arrivals.Load()
	for {
		select {
		case <-time.After(quietPeriod):
		case <-ctx.Done():
			return
		}
		current := s.arrivals.Load()
		if current == previous {
			return
		}
		previous = current
	}
}
