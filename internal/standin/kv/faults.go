package kv

import (
	"cmp"
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Faults are the faults to inject. The zero value is a healthy service without
// rate limits.
type Faults struct {
	// Down rejects all calls with ErrUnavailable and breaks the watches.
	Down bool `json:"down"`
	// Delay is the time before each call takes effect. A write whose caller
	// gives up meanwhile still takes effect at the end of the delay.
	Delay time.Duration `json:"-"`
	// LoseAnswers is the share of writes that take effect but return
	// ErrOutcomeUnknown.
	LoseAnswers float64 `json:"lose_answers"`
	// CutAnswers is like LoseAnswers; over HTTP the connection breaks in the
	// middle of the response.
	CutAnswers float64 `json:"cut_answers"`
	// StaleReads is the share of reads that return each key as it was before
	// its last change.
	StaleReads float64 `json:"stale_reads"`
	// WritesPerSecond and ReadsPerSecond are the rates above which calls return
	// ErrThrottled; 0 means unlimited. An open watch uses one read a second.
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// Counts are the numbers of calls that the service received.
type Counts struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`   // opened
	Throttled uint64 `json:"throttled"` // rejected by the rate limit
	Waiting   int    `json:"waiting"`   // watches open now
}

// plainFaults is Faults without its methods.
type plainFaults Faults

// faultsMessage is the JSON form of Faults.
type faultsMessage struct {
	*plainFaults
	Delay web.Duration `json:"delay"`
}

// MarshalJSON encodes the delay as text.
func (f Faults) MarshalJSON() ([]byte, error) {
	plain := plainFaults(f)
	return json.Marshal(faultsMessage{&plain, web.Duration(f.Delay)})
}

// UnmarshalJSON decodes the delay from text such as "200ms".
func (f *Faults) UnmarshalJSON(text []byte) error {
	message := faultsMessage{plainFaults: &plainFaults{}}
	if err := web.DecodeStrict(text, &message); err != nil {
		return err
	}
	*f = Faults(*message.plainFaults)
	f.Delay = time.Duration(message.Delay)
	return f.check()
}

func (f Faults) check() error {
	return cmp.Or(
		web.CheckShare("lose_answers", f.LoseAnswers),
		web.CheckShare("cut_answers", f.CutAnswers),
		web.CheckShare("stale_reads", f.StaleReads),
		web.CheckRate("writes_per_second", f.WritesPerSecond),
		web.CheckRate("reads_per_second", f.ReadsPerSecond),
	)
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.WritesPerSecond != s.faults.WritesPerSecond {
		s.writes = fault.Limiter(faults.WritesPerSecond)
	}
	if faults.ReadsPerSecond != s.faults.ReadsPerSecond {
		s.reads = fault.Limiter(faults.ReadsPerSecond)
	}
	s.faults = faults
	if faults.Down {
		s.breakWatches()
	}
	s.reserveWatchReads()
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Waiting = len(s.watchers)
	return counts
}

// reserveWatchReads reduces the read rate by one for each open watch.
func (s *Store) reserveWatchReads() {
	if s.faults.ReadsPerSecond == 0 {
		return
	}
	left := max(0, s.faults.ReadsPerSecond-len(s.watchers))
	s.reads.SetLimit(rate.Limit(left))
	s.reads.SetBurst(left)
}

// read applies the faults, then runs do under the lock.
func (s *Store) read(ctx context.Context, do func(stale bool) error) error {
	delay, err := s.admit(ctx, &s.counts.Reads, func() *rate.Limiter { return s.reads })
	if err != nil {
		return err
	}
	if _, err := fault.Wait(ctx, delay); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return s.run(func() error { return do(s.draw(s.faults.StaleReads)) })
}

// write applies the faults, then runs do under the lock.
func (s *Store) write(ctx context.Context, do func() error) error {
	delay, err := s.admit(ctx, &s.counts.Writes, func() *rate.Limiter { return s.writes })
	if err != nil {
		return err
	}
	remaining, err := fault.Wait(ctx, delay)
	if err != nil {
		time.AfterFunc(remaining, func() { _ = s.run(do) })
		return errors.Wrap(platform.ErrOutcomeUnknown, err.Error())
	}
	return s.run(func() error {
		err := do()
		if s.draw(s.faults.LoseAnswers) {
			return errors.Wrap(platform.ErrOutcomeUnknown, "answer lost")
		}
		if s.draw(s.faults.CutAnswers) {
			return errors.WithStack(web.CutError{})
		}
		return err
	})
}

// admit counts a call and rejects it when the service is down or the call is
// above the rate limit. It returns the delay of the call.
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

// run expires leases and calls do under the lock, unless the service is down.
func (s *Store) run(do func() error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return errors.Wrap(platform.ErrUnavailable, "service down")
	}
	s.expireLeasesLocked(time.Now())
	return do()
}

func (s *Store) draw(share float64) bool { return fault.Draw(s.random, share) }
