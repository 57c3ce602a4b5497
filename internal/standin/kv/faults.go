package kv

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Faults are the service's faults on order. The zero value is a healthy
// service without a rate.
type Faults struct {
	// Down refuses all calls with ErrUnavailable and breaks the watches.
	Down bool
	// Delay passes before each call takes effect. A write whose caller gives up
	// meanwhile still takes effect at the end of the delay.
	Delay time.Duration
	// LoseAnswers is the share of writes that take effect but give ErrUnsure.
	LoseAnswers float64
	// CutAnswers is like LoseAnswers; over HTTP the connection breaks in the
	// middle of the answer.
	CutAnswers float64
	// StaleReads is the share of reads that show each key as it was before its
	// last change.
	StaleReads float64
	// WritesPerSecond and ReadsPerSecond are the rates above which calls give
	// ErrThrottled; 0 means unlimited. A waiting watch takes one read a second.
	WritesPerSecond int
	ReadsPerSecond  int
}

// Counts are the calls that the service has met.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`   // opened
	Throttled uint64 `json:"throttled"` // refused for the rate
	Waiting   int    `json:"waiting"`   // watches that wait now
}

// cutError is ErrUnsure for an answer that breaks in the middle.
type cutError struct{}

func (cutError) Error() string { return "answer cut: " + platform.ErrUnsure.Error() }
func (cutError) Unwrap() error { return platform.ErrUnsure }

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.WritesPerSecond != s.faults.WritesPerSecond {
		s.writes = limiter(faults.WritesPerSecond)
	}
	if faults.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.reads = limiter(faults.ReadsPerSecond)
	}
	s.faults = faults
	if faults.Down {
		s.breakWatches()
	}
	s.reserveWatches()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the calls counted so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Waiting = len(s.watchers)
	return counts
}

// limiter allows perSecond calls a second, with one second's worth at once.
func limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// reserveWatches takes the waiting watches off the rate of reads.
func (s *Store) reserveWatches() {
	if s.faults.ReadsPerSecond == 0 {
		return
	}
	left := max(0, s.faults.ReadsPerSecond-len(s.watchers))
	s.reads.SetLimit(rate.Limit(left))
	s.reads.SetBurst(left)
}

// read runs a read under the lock, after the faults had their turn.
func (s *Store) read(ctx context.Context, do func(stale bool) error) error {
	delay, err := s.admit(ctx, &s.counts.Reads, func() *rate.Limiter { return s.reads })
	if err != nil {
		return err
	}
	if _, err := wait(ctx, delay); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return s.run(func() error { return do(s.draw(s.faults.StaleReads)) })
}

// write runs a write under the lock, after the faults had their turn.
func (s *Store) write(ctx context.Context, do func() error) error {
	delay, err := s.admit(ctx, &s.counts.Writes, func() *rate.Limiter { return s.writes })
	if err != nil {
		return err
	}
	rest, err := wait(ctx, delay)
	if err != nil {
		time.AfterFunc(rest, func() { _ = s.run(do) })
		return errors.Wrap(platform.ErrUnsure, err.Error())
	}
	return s.run(func() error {
		err := do()
		if s.draw(s.faults.LoseAnswers) {
			return errors.Wrap(platform.ErrUnsure, "answer lost")
		}
		if s.draw(s.faults.CutAnswers) {
			return errors.WithStack(cutError{})
		}
		return err
	})
}

// admit counts a call and refuses it when the service is down or above its
// rate. It returns the delay of the call.
func (s *Store) admit(ctx context.Context, count *uint64, limit func() *rate.Limiter) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	*count++
	if s.faults.Down {
		return 0, errors.Wrap(platform.ErrUnavailable, "service down")
	}
	if !limit().Allow() {
		s.counts.Throttled++
		return 0, errors.WithStack(platform.ErrThrottled)
	}
	return s.faults.Delay, nil
}

// run calls do under the lock unless the service is down.
func (s *Store) run(do func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return errors.Wrap(platform.ErrUnavailable, "service down")
	}
	s.lapse(time.Now())
	return do()
}

// draw says whether a fault of the given share happens now.
func (s *Store) draw(share float64) bool {
	return share > 0 && s.random.Float64() < share
}

// wait lets a delay pass. If ctx ends before, it returns the rest of the delay.
func wait(ctx context.Context, delay time.Duration) (time.Duration, error) {
	if delay <= 0 {
		return 0, nil
	}
	start := time.Now()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, nil
	case <-ctx.Done():
		return delay - time.Since(start), ctx.Err()
	}
}
