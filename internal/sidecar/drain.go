package sidecar

import (
	"context"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// SetDraining gives or takes back notice that the backend server is leaving.
// New work is refused, and each answer tells the routers.
func (s *Sidecar) SetDraining(draining bool) {
	if s.draining.Swap(draining) != draining {
		logger.Info(logging.Fields{"draining": draining}, "notice changed")
	}
}

// leaving says whether new work is refused.
func (s *Sidecar) leaving() bool {
	return s.draining.Load() || s.source.Snapshot().Draining
}

const (
	// handBackMargin is the time before the end of a drain at which requests
	// that still wait are handed back to their routers.
	handBackMargin = 2 * time.Second
	// quietPeriod without a refused request ends a drain: by then the routers
	// know that the backend server leaves.
	quietPeriod = 500 * time.Millisecond
	// quietLimit bounds the wait for a quiet period.
	quietLimit = 5 * time.Second
)

// Drain refuses new work and waits until what was accepted has ended, its
// answers were read and its replies recorded, or ctx ends. Requests that still
// wait shortly before the deadline of ctx are refused as not run.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.SetDraining(true)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(handBackMargin, left/2), s.queue.RefuseWaiting)
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

// awaitQuiet waits until no request has arrived for a while, so that a request
// already on its way gets its refusal and no broken connection.
func (s *Sidecar) awaitQuiet(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, quietLimit)
	defer cancel()
	seen := s.arrivals.Load()
	for {
		select {
		case <-time.After(quietPeriod):
		case <-ctx.Done():
			return
		}
		now := s.arrivals.Load()
		if now == seen {
			return
		}
		seen = now
	}
}
