package replaytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabigate/wasabigate/internal/recording"
)

// A pattern generates arrivals: the rate in requests per second at each time, and the
// properties of each request.
type pattern struct {
	rate func(at time.Duration) float64
	draw func(random *rand.Rand, at time.Duration) recording.Arrival
}

const (
	patternDuration = 8 * time.Second
	gatewayCount    = 3
	partCount       = 40
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns rate, multiplied by factor from 3 s to 5 s.
func burst(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 5*time.Second {
			return rate * factor
		}
		return rate
	}
}

// typical draws a prompt that has a shared part, mostly a popular one, and a short part of its own.
func typical(random *rand.Rand, _ time.Duration) recording.Arrival {
	// The smaller of two draws: parts with low numbers are popular.
	part := min(random.IntN(partCount), random.IntN(partCount))
	return newArrival(fmt.Sprint("part", part), 6300, 100+random.Int64N(1000))
}

func newArrival(part string, shared, own int64) recording.Arrival {
	return recording.Arrival{Part: part, SharedTokens: shared, OwnTokens: own, OutputTokens: 8, TargetMs: 800}
}

// hotPart makes most prompts share one part from 2 s on.
func hotPart(random *rand.Rand, at time.Duration) recording.Arrival {
	if at > 2*time.Second && random.Float64() < 0.7 {
		return newArrival("hot", 6300, 100+random.Int64N(1000))
	}
	return typical(random, at)
}

// newParts replaces all parts every two seconds, as new weights do.
func newParts(random *rand.Rand, at time.Duration) recording.Arrival {
	a := typical(random, at)
	a.Part = fmt.Sprint(a.Part, "/", int(at/(2*time.Second)))
	return a
}

// longPrompts mixes prompts of 20,000 unshared tokens into the typical ones.
func longPrompts(random *rand.Rand, at time.Duration) recording.Arrival {
	if random.Float64() < 0.08 {
		return newArrival("", 0, 20_000)
	}
	return typical(random, at)
}

// arrivals generates the pattern's arrivals from a seed.
func (p *pattern) arrivals(seed uint64) []recording.Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var list []recording.Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / p.rate(at) * float64(time.Second))
		if at >= patternDuration {
			return list
		}
		a := p.draw(random, at)
		a.AtMs = at.Milliseconds()
		a.Gateway = fmt.Sprint("g", random.IntN(gatewayCount))
		list = append(list, a)
	}
}
