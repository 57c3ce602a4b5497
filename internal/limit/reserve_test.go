package limit

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

const (
	promptTokens   = 1_000
	maxTokens      = 1_000
	meanCompletion = 250.0
	tokenTime      = 27 * time.Millisecond
)

// reservation is a way to reserve tokens for a completion of unknown length.
type reservation struct {
	name   string
	tokens int64 // reserved for the completion
	bound  bool  // the bound must hold without an allowance for debts
}

// stream is a running request.
type stream struct {
	ends  time.Time
	grant Grant
	drawn *admission
	used  int64
}

// reserveResult holds the counts and admissions of one trial.
type reserveResult struct {
	requests, wrongful int // wrongful: refused although one exact bucket would admit it
	admissions         []*admission
}

// run sends streams to one router that owns all shards.
func (r reservation) run(seed uint64, load float64) *reserveResult {
	x := newCluster([]string{"a"}, snapshotOf(tableOf(1, "a"), badges))
	x.advance(4 * time.Second)
	exact := &bucket{own: limitsOf(&badges), level: badges.Burst}
	random := rand.New(rand.NewPCG(seed, 2))
	result := &reserveResult{}
	var running []stream
	began := time.Now()
	gap := time.Duration((promptTokens + meanCompletion) / (load * float64(badges.Rate)) * float64(time.Second))
	for time.Since(began) < trialDuration {
		x.advance(time.Duration(random.ExpFloat64() * float64(gap)))
		running = result.settle(running)
		completion := int64(min(maxTokens, 1+random.ExpFloat64()*meanCompletion))
		_, conforms := exact.take(clockReading{refill: time.Since(began)}, promptTokens+completion)
		grant, err := x.peers["a"].Acquire(context.Background(), badges.Name, promptTokens+r.tokens, "r")
		result.requests++
		if err != nil && conforms {
			result.wrongful++
		}
		if err != nil {
			continue
		}
		drawn := &admission{at: time.Now(), tokens: promptTokens + r.tokens}
		result.admissions = append(result.admissions, drawn)
		running = append(running, stream{
			ends: time.Now().Add(time.Duration(completion) * tokenTime), grant: grant, drawn: drawn, used: promptTokens + completion,
		})
	}
	return result
}

// settle settles the streams that have ended and returns the others.
func (r *reserveResult) settle(running []stream) []stream {
	var open []stream
	for _, s := range running {
		if time.Now().Before(s.ends) {
			open = append(open, s)
			continue
		}
		s.grant.Settle(s.used)
		if surplus := s.used - s.drawn.tokens; surplus > 0 {
			r.admissions = append(r.admissions, &admission{at: time.Now(), tokens: surplus})
		}
		s.drawn.tokens = min(s.drawn.tokens, s.used)
	}
	return open
}

// Reserving the whole max_tokens must never admit more than the bound. The log shows
// the wrongful refusals that this costs, and by how much the alternatives exceed the
// bound.
func TestReservations(t *testing.T) {
	t.Parallel()
	reservations := []reservation{
		{"whole max_tokens", maxTokens, true},
		{"twice the mean", 2 * meanCompletion, false},
		{"the mean", meanCompletion, false},
		{"prompt only", 0, false},
	}
	for _, load := range []float64{0.8, 0.95, 3} {
		for _, r := range reservations {
			var requests, wrongful int
			var excess int64
			for seed := range uint64(trialSeeds) {
				synctest.Test(t, func(*testing.T) {
					result := r.run(seed, load)
					requests += result.requests
					wrongful += result.wrongful
					excess = max(excess, maxExcess(result.admissions, badges))
				})
			}
			t.Logf("load %.0f%%, %-16s refused wrongly %5.2f%% of %d, at most %5d tokens above the bound",
				100*load, r.name, 100*float64(wrongful)/float64(requests), requests, excess)
			if r.bound && excess > 0 {
				t.Errorf("load %.0f%%, %s: %d tokens above the bound", 100*load, r.name, excess)
			}
		}
	}
}
