// Overhead measures what a router and a sidecar add to a generation: the same
// requests go to the engine directly and through the system, in turn.
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

	// The histograms hold microseconds, up to a minute, with three digits.
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// target is where requests are sent.
type target struct {
	name   string
	url    string
	key    string
	body   func() string
	client *http.Client
}

// sample collects the times of one target at one number of streams.
type sample struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram // time to the first token
	whole *hdrhistogram.Histogram // time to the end
	fault error
}

func newSample() *sample {
	return &sample{
		first: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		whole: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
}

func main() {
	router := flag.String("router", "", "base URL of a router")
	engineURL := flag.String("engine", "", "base URL of the engine")
	key := flag.String("key", "", "key of a workspace")
	model := flag.String("model", "", "model")
	weights := flag.String("weights", "", "weights version")
	var d daemons
	flag.IntVar(&d.router, "pid", 0, "process id of the router")
	flag.IntVar(&d.sidecar, "sidecar", 0, "process id of the sidecar")
	streams := flag.String("streams", "1,64,512", "numbers of concurrent streams")
	requests := flag.Int("requests", 2000, "requests of each run")
	tokens := flag.Int("tokens", defaultTokens, "tokens of each answer")
	flag.Parse()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}
	prompt := strings.Repeat(" the roof pack of the north face", promptRepeats)
	direct := target{"direct", *engineURL + "/v1/completions", "", func() string { return engineBody(*model, *weights, prompt, *tokens) }, client}
	routed := target{"routed", *router + "/v1/completions", *key, func() string { return routerBody(*model, prompt, *tokens) }, client}
	if err := run(direct, routed, *streams, *requests, d); err != nil {
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

// daemons are the processes whose cost is measured.
type daemons struct{ router, sidecar int }

// cpu is the processor time of both daemons.
type cpu struct{ router, sidecar time.Duration }

// clockTick is the unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

func (d daemons) cpu() (cpu, error) {
	router, err := processorTime(d.router)
	if err != nil {
		return cpu{}, err
	}
	sidecar, err := processorTime(d.sidecar)
	return cpu{router, sidecar}, err
}

// processorTime returns the user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processor time")
	}
	const user, system = 13, 14
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

func run(direct, routed target, streams string, requests int, d daemons) error {
	fmt.Println("| streams | target | first token p50 | p99 | whole p50 | p99 | router's memory | router's processor time a request | sidecar's |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, text := range strings.Split(streams, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return errors.Wrap(err, "streams")
		}
		if err := compare(direct, routed, n, requests, d); err != nil {
			return err
		}
	}
	return nil
}

// compare runs both targets in turn and prints a line for each.
func compare(direct, routed target, streams, requests int, d daemons) error {
	before, err := d.cpu()
	if err != nil {
		return err
	}
	samples := map[string]*sample{direct.name: newSample(), routed.name: newSample()}
	for range rounds {
		for _, t := range []target{direct, routed} {
			t.run(samples[t.name], streams, requests/rounds)
		}
	}
	after, err := d.cpu()
	if err != nil {
		return err
	}
	memory, err := residentMemory(d.router)
	if err != nil {
		return err
	}
	for _, t := range []target{direct, routed} {
		s := samples[t.name]
		if s.fault != nil {
			return errors.Wrap(s.fault, t.name)
		}
		fmt.Printf("| %d | %s | %s | %s | %s | %s | %s | %s | %s |\n", streams, t.name,
			at(s.first, 50), at(s.first, 99), at(s.whole, 50), at(s.whole, 99), memory,
			(after.router-before.router)/time.Duration(requests), (after.sidecar-before.sidecar)/time.Duration(requests))
	}
	return nil
}

func at(h *hdrhistogram.Histogram, percentile float64) string {
	return (time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond).String()
}

// residentMemory returns the resident set of a process.
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

// run sends requests over a number of concurrent streams.
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
				t.one(s)
			}
		})
	}
	group.Wait()
}

func (t target) one(s *sample) {
	began := time.Now()
	first, err := t.stream()
	whole := time.Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.fault = err
		return
	}
	_ = s.first.RecordValue(first.Sub(began).Microseconds())
	_ = s.whole.RecordValue(whole.Microseconds())
}

// stream reads one stream and returns when its first event came.
func (t target) stream() (first time.Time, err error) {
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
