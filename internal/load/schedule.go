package load

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/tokens"
)

// Phase is a part of a run that is measured separately.
type Phase struct {
	Name     string
	Duration time.Duration
}

// phaseBurst is the phase in which one workspace exceeds its rate.
const phaseBurst = "burst"

// batchSpread is the time over which the requests of a batch arrive.
const batchSpread = 20 * time.Millisecond

// arrival is one request of a schedule.
type arrival struct {
	at        time.Duration // since the start
	phase     int
	workspace *workspace
	stream    *Stream
	number    int   // index within its stream and workspace
	items     []int // the prefix chosen at each level
}

// plan holds the parameters of a schedule.
type plan struct {
	seed        uint64
	workload    *Workload
	workspaces  []workspace
	phases      []Phase
	load        float64       // part of its rate that a workspace sends
	burstFactor float64       // multiple of its rate that BurstWorkspace sends in a burst
	shift       time.Duration // time after which other prefixes become popular
	fresh       bool          // the system has just started, its buckets are empty
}

// schedule returns the requests of a plan ordered by time. It depends only on the
// plan.
func (p *plan) schedule() []arrival {
	var arrivals []arrival
	for w := range p.workspaces {
		for s := range p.workload.Streams {
			random := rand.New(rand.NewPCG(p.seed, uint64(w)<<32|uint64(s)))
			arrivals = append(arrivals, p.streamArrivals(random, &p.workspaces[w], &p.workload.Streams[s])...)
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

func (p *plan) streamArrivals(random *rand.Rand, w *workspace, s *Stream) []arrival {
	var arrivals []arrival
	start := time.Duration(0)
	for i, phase := range p.phases {
		batchRate := p.tokenRate(w, phase) * s.Share / s.cost() / s.Batch
		at := start
		for {
			at += time.Duration(random.ExpFloat64() / batchRate * float64(time.Second))
			if at >= start+phase.Duration {
				break
			}
			for range batchSize(random, s.Batch) {
				spread := time.Duration(random.Float64() * (s.Batch - 1) * float64(batchSpread))
				arrivals = append(arrivals, arrival{at: at + spread, phase: i, workspace: w, stream: s,
					number: len(arrivals), items: p.items(random, s, at)})
			}
		}
		start += phase.Duration
	}
	return arrivals
}

// tokenRate returns the tokens that a workspace sends per second.
func (p *plan) tokenRate(w *workspace, phase Phase) float64 {
	if phase.Name == phaseBurst && w.name == p.workload.BurstWorkspace {
		return p.burstFactor * float64(w.rate)
	}
	return p.load * float64(w.rate)
}

// batchSize draws from the geometric distribution with the given mean.
func batchSize(random *rand.Rand, mean float64) int {
	if mean <= 1 {
		return 1
	}
	return 1 + int(math.Log(1-random.Float64())/math.Log(1-1/mean))
}

// items chooses the prefixes of a request. The popular ones change every p.shift.
func (p *plan) items(random *rand.Rand, s *Stream, at time.Duration) []int {
	shifts := int(at / p.shift)
	items := make([]int, len(s.Levels))
	for i, level := range s.Levels {
		items[i] = (zipf(random, level) + shifts*3) % level.Items
	}
	return items
}

// zipf draws a rank below level.Items from a Zipf distribution with exponent
// level.Skew.
func zipf(random *rand.Rand, level Level) int {
	total := 0.0
	for rank := range level.Items {
		total += math.Pow(float64(rank+1), -level.Skew)
	}
	left := random.Float64() * total
	for rank := range level.Items {
		left -= math.Pow(float64(rank+1), -level.Skew)
		if left <= 0 {
			return rank
		}
	}
	return level.Items - 1
}

// promptTexts caches the texts of shared prefixes by name. Equal prefixes have equal text.
type promptTexts map[string]string

// prompt returns the text of a request's prompt.
func (t promptTexts) prompt(a *arrival) string {
	var b strings.Builder
	name := a.workspace.name + "/" + a.stream.Kind
	for i, level := range a.stream.Levels {
		name += "/" + strconv.Itoa(a.items[i])
		b.WriteString(t.segment(name, level.Tokens))
	}
	own := a.workspace.name + "/" + a.stream.Kind + "#" + strconv.Itoa(a.number)
	b.WriteString(segment(own, a.stream.AskTokens))
	return b.String()
}

func (t promptTexts) segment(name string, count int) string {
	text, ok := t[name]
	if !ok {
		text = segment(name, count)
		t[name] = text
	}
	return text
}

// segment returns text of the given number of tokens that depends on the name.
func segment(name string, count int) string {
	text := make([]byte, 0, count*tokens.BytesPerToken+tokens.BytesPerToken)
	random := rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
	for len(text) < count*tokens.BytesPerToken {
		bits := random.Uint32()
		text = append(text, 'a'+byte(bits%26), 'a'+byte(bits>>8%26), 'a'+byte(bits>>16%26), ' ')
	}
	return string(text)
}
