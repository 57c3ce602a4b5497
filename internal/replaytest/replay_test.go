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

// crash stops some engines in the fourth second; they come back empty two seconds
// later.
func crash(count int) func(*engines) {
	return func(e *engines) {
		time.Sleep(4 * time.Second)
		for i := range count {
			go e.byAddress[addressOf(i)].Crash(2 * time.Second)
		}
	}
}

// TestPatterns plays each load pattern with each policy. The gateway's own must not
// leave more callers late than the best of the simpler ones, and must read less again
// than placing by load alone.
func TestPatterns(t *testing.T) {
	for _, c := range []struct {
		name    string
		pattern pattern
		fault   func(*engines)
	}{
		{"calm", pattern{steady(60), usual}, nil},
		{"burst", pattern{burst(60, 3), usual}, nil},
		{"hot part", pattern{steady(120), hotPart}, nil},
		{"new parts", pattern{steady(100), newParts}, nil},
		{"long prompts", pattern{steady(70), longPrompts}, nil},
		{"half of the engines lost, back cold", pattern{steady(60), usual}, crash(replayEngines / 2)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			results := make(map[string]outcome)
			for _, p := range policies() {
				results[p.name] = total(t, &c.pattern, p, c.fault)
			}
			t.Log("\n" + table(results))
			compare(t, results)
		})
	}
}

// TestRecordings plays what gateways recorded: eight seconds of a day of the users'
// bench with a burst, faster than it came so that the engines are busy.
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
		arrivals[i].OutputTokens = min(arrivals[i].OutputTokens, maxOutput)
	}
	results := make(map[string]outcome)
	for _, p := range policies() {
		results[p.name] = play(t, replayEngines, arrivals, p.pick, nil)
	}
	t.Log("\n" + table(results))
	compare(t, results)
}

const (
	speedUp   = 2
	maxOutput = 16 // tokens, each of which lasts as long as four of the users' engines
)

// total joins the outcomes of several seeds: sums, and the worst times.
func total(t *testing.T, p *pattern, by policy, fault func(*engines)) outcome {
	var sum outcome
	for seed := range uint64(replaySeeds) {
		o := play(t, replayEngines, p.arrivals(seed+1), by.pick, fault)
		sum.requests += o.requests
		sum.late += o.late
		sum.failed += o.failed
		sum.readAgain += o.readAgain
		sum.p50, sum.p95 = max(sum.p50, o.p50), max(sum.p95, o.p95)
	}
	return sum
}

// noise is the part of the requests by which two policies may differ by chance: a
// few of some thousand.
const noise = 0.01

func compare(t *testing.T, results map[string]outcome) {
	t.Helper()
	own := results["own"]
	best := math.Inf(1)
	for name, o := range results {
		if name != "own" {
			best = min(best, o.lateShare())
		}
	}
	if own.lateShare() > best+noise {
		t.Errorf("%.3f of the requests are late or failed, %.3f with the best simpler policy", own.lateShare(), best)
	}
	if byLoad := results["least loaded"]; own.readAgain > byLoad.readAgain {
		t.Errorf("%d tokens read again, %d when placed by load alone", own.readAgain, byLoad.readAgain)
	}
}

func table(results map[string]outcome) string {
	var text strings.Builder
	fmt.Fprintln(&text, "| policy | requests | late | failed | p50 ms | p95 ms | tokens read again |")
	for _, p := range policies() {
		o := results[p.name]
		fmt.Fprintf(&text, "| %s | %d | %d | %d | %d | %d | %d |\n", p.name, o.requests, o.late, o.failed,
			o.p50.Milliseconds(), o.p95.Milliseconds(), o.readAgain)
	}
	return text.String()
}

func TestMain(m *testing.M) {
	if err := logging.SetLevel("error"); err != nil {
		panic(err)
	}
	m.Run()
}
