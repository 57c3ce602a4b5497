package replaytest

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabigate/wasabigate/internal/recording"
)

// A pattern draws arrivals: a rate in requests a second at each time, and what a
// request is like.
type pattern struct {
	rate func(at time.Duration) float64
	draw func(random *rand.Rand, at time.Duration) recording.Arrival
}

const (
	patternLength = 8 * time.Second
	gatewayCount  = 3
	partCount     = 40
)

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is the rate, and times its factor between the third and the fifth second.
func burst(rate, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= 3*time.Second && at < 5*time.Second {
			return rate * factor
		}
		return rate
	}
}

// usual is a prompt of a popular shared part and a short own one.
func usual(random *rand.Rand, _ time.Duration) recording.Arrival {
	// Of two draws the smaller: parts with low numbers are popular.
	part := min(random.IntN(partCount), random.IntN(partCount))
	return arrival(fmt.Sprint("part", part), 6300, 100+random.Int64N(1000))
}

func arrival(part string, shared, own int64) recording.Arrival {
	return recording.Arrival{Part: part, SharedTokens: shared, OwnTokens: own, OutputTokens: 8, TargetMs: 800}
}

// hotPart has most prompts share one part from the second second on.
func hotPart(random *rand.Rand, at time.Duration) recording.Arrival {
	if at > 2*time.Second && random.Float64() < 0.7 {
		return arrival("hot", 6300, 100+random.Int64N(1000))
	}
	return usual(random, at)
}

// newParts has all parts replaced by others each two seconds, as new weights do.
func newParts(random *rand.Rand, at time.Duration) recording.Arrival {
	a := usual(random, at)
	a.Part = fmt.Sprint(a.Part, "/", int(at/(2*time.Second)))
	return a
}

// longPrompts has some prompts of twenty thousand tokens of their own among short ones.
func longPrompts(random *rand.Rand, at time.Duration) recording.Arrival {
	if random.Float64() < 0.08 {
		return arrival("", 0, 20_000)
	}
	return usual(random, at)
}

// arrivals draws a pattern with a seed.
func (p *pattern) arrivals(seed uint64) []recording.Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var list []recording.Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / p.rate(at) * float64(time.Second))
		if at >= patternLength {
			return list
		}
		a := p.draw(random, at)
		a.AtMs = at.Milliseconds()
		a.Gateway = fmt.Sprint("g", random.IntN(gatewayCount))
		list = append(list, a)
	}
}
