// Overhead measures the latency and the processor time that a router and a sidecar
// add to a generation. It sends the same requests alternately to the engine directly
// and through the router.
//
// Usage: overhead -router URL -engine URL -key KEY -model NAME -weights VERSION
// -pid PID-OF-THE-ROUTER -sidecar PID-OF-THE-SIDECAR [-streams 1,64,512] [-requests 2000]
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const (
	defaultTokens = 16
	promptRepeats = 60
	rounds        = 3

	// The histograms record microseconds, up to a minute, with three significant digits.
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// target is a destination of requests.
type target struct {
	name   string
	url    string
	key    string
	body   func() string
	client *http.Client
}

// sample collects the latencies of one target at one number of streams.
type sample struct {
	mu         sync.Mutex
	firstToken *hdrhistogram.Histogram // time to the first token
	total      *hdrhistogram.Histogram // time to the end
	err        error
}

func newSample() *sample {
	return &sample{
		firstToken: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		total:      hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func main() {
	router := flag.String("router", "", "base URL of a router")
	engineURL := flag.String("engine", "", "base URL of the engine")
	key := flag.String("key", "", "key of a workspace")
	model := flag.String("model", "", "model")
	weights := flag.String("weights", "", "weights version")
	var p pids
	flag.IntVar(&p.router, "pid", 0, "process id of the router")
	flag.IntVar(&p.sidecar, "sidecar", 0, "process id of the sidecar")
	streams := flag.String("streams", "1,64,512", "numbers of concurrent streams")
	requests := flag.Int("requests", 2000, "requests of each run")
	tokens := flag.Int("tokens", defaultTokens, "tokens of each response")
	flag.Parse()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	prompt := strings.Repeat(" the roof pack of the north face", promptRepeats)
	direct := target{"direct", *engineURL + "/v1/completions", "", func() string { return engineBody(*model, *weights, prompt, *tokens) }, client}
	routed := target{"routed", *router + "/v1/completions", *key, func() string { return routerBody(*model, prompt, *tokens) }, client}
	if err := run(direct, routed, *streams, *requests, p); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

func engineBody(model, weights, prompt string, tokens int) string {
	encoded, _ := json.Marshal(engine.GenerateRequest{
		RequestID: uuid.NewString(), Model: model, WeightsVersion: weights,
		Prompt: prompt, MaxTokens: tokens, CacheSalt: "overhead",
	})
	return string(encoded)
}

type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func routerBody(model, prompt string, tokens int) string {
	encoded, _ := json.Marshal(completionRequest{model, prompt, tokens, true})
	return string(encoded)
}

// pids are the process IDs of the daemons that are measured.
type pids struct{ router, sidecar int }

// cpuTimes is the processor time that both daemons have used.
type cpuTimes struct{ router, sidecar time.Duration }

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (p pids) cpuTimes() (cpuTimes, error) {
	router, err := cpuTime(p.router)
	if err != nil {
		return cpuTimes{}, err
	}
	sidecar, err := cpuTime(p.sidecar)
	return cpuTimes{router, sidecar}, err
}

// cpuTime returns the user and system time of a process.
func cpuTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	const user, system = 13, 14 // indices of utime and stime
	fields := strings.Fields(string(stat))
	if len(fields) <= system {
		return 0, errors.New("processor time: too few fields")
	}
	userTicks, err := strconv.Atoi(fields[user])
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	systemTicks, err := strconv.Atoi(fields[system])
	return time.Duration(userTicks+systemTicks) * clockTick, errors.Wrap(err, "processor time")
}

func run(direct, routed target, streams string, requests int, p pids) error {
	fmt.Println("| streams | target | first token p50 | p99 | whole p50 | p99 | router's memory | router's processor time a request | sidecar's |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, text := range strings.Split(streams, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "streams")
		}
		if err := compare(direct, routed, n, requests, p); err != nil {
			return err
		}
	}
	return nil
}

// compare sends requests to both targets alternately and prints a line for each.
func compare(direct, routed target, streams, requests int, p pids) error {
	before, err := p.cpuTimes()
	if err != nil {
		return err
	}
	samples := map[string]*sample{direct.name: newSample(), routed.name: newSample()}
	for range rounds {
		for _, t := range []target{direct, routed} {
			t.run(samples[t.name], streams, requests/rounds)
		}
	}
	after, err := p.cpuTimes()
	if err != nil {
		return err
	}
	memory, err := residentMemory(p.router)
	if err != nil {
		return err
	}
	for _, t := range []target{direct, routed} {
		s := samples[t.name]
		if s.err != nil {
			return errors.Wrap(s.err, t.name)
		}
		fmt.Printf("| %d | %s | %s | %s | %s | %s | %s | %s | %s |\n", streams, t.name,
			formatPercentile(s.firstToken, 50), formatPercentile(s.firstToken, 99), formatPercentile(s.total, 50), formatPercentile(s.total, 99), memory,
			(after.router-before.router)/time.Duration(requests), (after.sidecar-before.sidecar)/time.Duration(requests))
	}
	return nil
}

func formatPercentile(h *hdrhistogram.Histogram, percentile float64) string {
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).String()
}

// residentMemory returns the resident set size of a process.
func residentMemory(pid int) (string, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "", errors.Wrap(err, "memory of the router")
	}
	for _, line := range strings.Split(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return strings.TrimSpace(value), nil
		}
	}
	return "", errors.New("memory of the router: no VmRSS")
}

// run sends requests over the given number of concurrent streams.
func (t target) run(s *sample, streams, requests int) {
	work := make(chan struct{}, requests)
	for range requests {
		work <- struct{}{}
	}
	close(work)
	var group sync.WaitGroup
	for range streams {
		group.Go(func() {
			for range work {
				t.sendOne(s)
			}
		})
	}
	group.Wait()
}

func (t target) sendOne(s *sample) {
	start := time.Now()
	first, err := t.readStream()
	total := time.Since(start)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.err = err
		return
	}
	_ = s.firstToken.RecordValue(first.Sub(start).Microseconds())
	_ = s.total.RecordValue(total.Microseconds())
}

// readStream requests one stream, reads it to its end and returns the time of its
// first event.
func (t target) readStream() (first time.Time, err error) {
	req, err := http.NewRequest(http.MethodPost, t.url, strings.NewReader(t.body()))
	if err != nil {
		return first, err
	}
	req.Header.Set("Content-Type", "application/json")
	if t.key != "" {
		req.Header.Set("Authorization", "Bearer "+t.key)
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return first, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return first, errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if first.IsZero() && strings.HasPrefix(scanner.Text(), "data: ") {
			first = time.Now()
		}
	}
	return first, scanner.Err()
}
