// Package fault provides the fault injection that the simpler stand-ins share.
package fault

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/standin/web"
)

// Faults are the faults to inject into a service. The zero value is a healthy
// service without a rate limit.
type Faults struct {
	Down        bool          `json:"down"`         // rejects all calls with ErrUnavailable
	Delay       time.Duration `json:"-"`            // time before each call takes effect
	LoseAnswers float64       `json:"lose_answers"` // share of writes that take effect but return ErrOutcomeUnknown
	Corrupt     float64       `json:"corrupt"`      // share of reads that return damaged data
	PerSecond   int           `json:"per_second"`   // rate above which calls return ErrThrottled; 0: unlimited
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
		web.CheckShare("corrupt", f.Corrupt),
		web.CheckRate("per_second", f.PerSecond),
	)
}

// Counts are the numbers of calls that a service received.
type Counts struct {
	Calls     uint64 `json:"calls"`
	Throttled uint64 `json:"throttled"`
}

// Gate admits calls to a service, subject to its faults.
type Gate struct {
	mu      sync.Mutex
	random  *rand.Rand
	limiter *rate.Limiter
	faults  Faults
	counts  Counts
}

// NewGate returns a Gate that draws random faults from seed.
func NewGate(seed uint64) *Gate {
	return &Gate{
		random:  rand.New(rand.NewPCG(seed, seed)),
		limiter: Limiter(0),
	}
}

// Limiter returns a limiter of perSecond calls a second, with a burst of the
// same number; 0 means unlimited.
func Limiter(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetFaults replaces the faults.
func (g *Gate) SetFaults(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if faults.PerSecond != g.faults.PerSecond {
		g.limiter = Limiter(faults.PerSecond)
	}
	g.faults = faults
}

// Faults returns the faults in force.
func (g *Gate) Faults() Faults {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults
}

// Counts returns the numbers of calls so far.
func (g *Gate) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Enter admits a call after its delay, or rejects it without effect.
func (g *Gate) Enter(ctx context.Context) error {
	delay, err := g.admit()
	if err != nil {
		return err
	}
	if _, err := Wait(ctx, delay); err != nil {
		return errors.Wrap(platform.ErrUnavailable, err.Error())
	}
	return nil
}

func (g *Gate) admit() (time.Duration, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts.Calls++
	if g.faults.Down {
		return 0, errors.Wrap(platform.ErrUnavailable, "service down")
	}
	if !g.limiter.Allow() {
		g.counts.Throttled++
		return 0, errors.WithStack(platform.ErrThrottled)
	}
	return g.faults.Delay, nil
}

// ResponseLost reports whether to lose the response to a write.
func (g *Gate) ResponseLost() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Draw(g.random, g.faults.LoseAnswers)
}

// Corrupted reports whether to damage the data of a read.
func (g *Gate) Corrupted() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Draw(g.random, g.faults.Corrupt)
}

// Draw reports whether a fault occurs, with the given share as its probability.
func Draw(random *rand.Rand, share float64) bool {
	return share > 0 && random.Float64() < share
}

// Wait waits for delay. If ctx ends before, it returns the remaining delay and
// ctx's error.
func Wait(ctx context.Context, delay time.Duration) (time.Duration, error) {
	if delay <= 0 {
		return 0, ctx.Err()
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
