package replaytest

import (
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/recording"
)

const (
	replayEngines = 12
	replaySeeds   = 2
)

// crash stops count engines after 4 s; they restart with an empty cache two seconds
// later.
func crash(count int) func(*engines) {
	return func(e *engines) {
		time.Sleep(4 * time.Second)
		for i := range count {
			go e.byAddress[addressOf(i)].Crash(2 * time.Second)
		}
	}
}

// TestPatterns runs each load pattern with each policy. The gateway's own policy must
// not have more late requests than the best simpler policy, and must not compute more
// shared tokens again than placement by load alone.
func TestPatterns(t *testing.T) {
	for _, c := range []struct {
		name    string
		pattern pattern
		fault   func(*engines)
	}{
		{"calm", pattern{steady(60), typical}, nil},
		{"burst", pattern{burst(60, 3), typical}, nil},
		{"hot part", pattern{steady(120), hotPart}, nil},
		{"new parts", pattern{steady(100), newParts}, nil},
		{"long prompts", pattern{steady(70), longPrompts}, nil},
		{"half of the engines lost, back cold", pattern{steady(60), typical}, crash(replayEngines / 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			results := make(map[string]outcome)
			for _, p := range policies() {
				results[p.name] = playSeeds(t, &c.pattern, p, c.fault)
			}
			t.Log("\n" + table(results))
			compare(t, results)
		})
	}
}

// TestRecordings replays what gateways recorded: eight seconds of a benchmark day of
// the users with a burst, sped up so that the engines are busy.
func TestRecordings(t *testing.T) {
	file, err := os.Open("testdata/burst.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }() // only read
	arrivals, err := recording.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	for i := range arrivals {
		arrivals[i].AtMs /= speedUp
		arrivals[i].OutputTokens = min(arrivals[i].OutputTokens, maxOutputTokens)
	}
	results := make(map[string]outcome)
	for _, p := range policies() {
		var sum outcome
		for range recordingPlays {
			sum.add(play(t, replayEngines, arrivals, p.pick, nil))
		}
		results[p.name] = sum
	}
	t.Log("\n" + table(results))
	compare(t, results)
}

const (
	// recordingPlays is how often a recording is played: the order of what happens at the same time,
	// and with it every later choice, differs between plays.
	recordingPlays  = 6
	speedUp         = 2
	maxOutputTokens = 16 // each token takes as long as four tokens of the users' engines
)

// playSeeds combines the outcomes of several seeds.
func playSeeds(t *testing.T, p *pattern, policy policy, fault func(*engines)) outcome {
	var sum outcome
	for seed := range uint64(replaySeeds) {
		sum.add(play(t, replayEngines, p.arrivals(seed+1), policy.pick, fault))
	}
	return sum
}

// add adds another outcome: the counts, and the maxima of the times.
func (o *outcome) add(other outcome) {
	o.requests += other.requests
	o.late += other.late
	o.failed += other.failed
	o.recomputed += other.recomputed
	o.p50, o.p95 = max(o.p50, other.p50), max(o.p95, other.p95)
}

// tolerance is the share of requests by which two policies may differ by chance: a
// few in some thousand.
const tolerance = 0.01

func compare(t *testing.T, results map[string]outcome) {
	t.Helper()
	own := results["own"]
	best := math.Inf(1)
	for name, o := range results {
		if name != "own" {
			best = min(best, o.lateShare())
		}
	}
	if own.lateShare() > best+tolerance {
		t.Errorf("%.3f of the requests are late or failed, %.3f with the best simpler policy", own.lateShare(), best)
	}
	if leastLoaded := results["least loaded"]; own.recomputed > leastLoaded.recomputed {
		t.Errorf("%d shared tokens computed again, %d when placed by load alone", own.recomputed, leastLoaded.recomputed)
	}
}

func table(results map[string]outcome) string {
	var text strings.Builder
	fmt.Fprintln(&text, "| policy | requests | late | failed | p50 ms | p95 ms | tokens recomputed |")
	for _, p := range policies() {
		o := results[p.name]
		fmt.Fprintf(&text, "| %s | %d | %d | %d | %d | %d | %d |\n", p.name, o.requests, o.late, o.failed,
			o.p50.Milliseconds(), o.p95.Milliseconds(), o.recomputed)
	}
	return text.String()
}

func TestMain(m *testing.M) {
	if err := logging.SetLevel("error"); err != nil {
		panic(err)
	}
	m.Run()
}
