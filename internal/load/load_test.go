package load

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/sys/unix"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testPlan(load float64, phases ...Phase) *plan {
	return &plan{
		seed:        7,
		workload:    consortium(),
		workspaces:  []workspace{{name: "soweto-badges", rate: 100_000, burst: 300_000}, {name: "vaal-print", rate: 20_000, burst: 60_000}},
		phases:      phases,
		load:        load,
		burstFactor: 5,
		shift:       time.Second,
	}
}

func TestScheduleDependsOnlyOnPlan(t *testing.T) {
	p := testPlan(0.5, Phase{"calm", 5 * time.Second})
	first, again := p.schedule(), p.schedule()
	p.seed++
	other := p.schedule()
	if fmt.Sprint(dueTimes(first)) != fmt.Sprint(dueTimes(again)) || fmt.Sprint(dueTimes(first)) == fmt.Sprint(dueTimes(other)) {
		t.Error("the schedule does not depend on the seed alone")
	}
	if !slices.IsSorted(dueTimes(first)) {
		t.Error("the schedule is not ordered by time")
	}
	texts := promptTexts{}
	for i := range first {
		if texts.prompt(&first[i]) != (promptTexts{}).prompt(&again[i]) {
			t.Fatalf("request %d has another prompt", i)
		}
	}
}

func dueTimes(arrivals []arrival) []time.Duration {
	times := make([]time.Duration, len(arrivals))
	for i := range arrivals {
		times[i] = arrivals[i].at
	}
	return times
}

// Each workspace sends a set part of its rate; in a burst, one workspace sends
// several times its rate.
func TestOfferedRates(t *testing.T) {
	const length = 200 * time.Second
	p := testPlan(0.4, Phase{"calm", length}, Phase{phaseBurst, length})
	offered := make(map[string]float64)
	for _, a := range p.schedule() {
		offered[fmt.Sprint(a.workspace.name, a.phase)] += a.stream.cost() / length.Seconds()
	}
	for name, want := range map[string]float64{"soweto-badges0": 40_000, "soweto-badges1": 500_000, "vaal-print0": 8000, "vaal-print1": 8000} {
		if got := offered[name]; math.Abs(got-want) > want/10 {
			t.Errorf("%s sends %.0f tokens per second, want %.0f", name, got, want)
		}
	}
}

// The exact bucket charges admitted requests only, and shows which refusals are
// wrongful.
func TestWrongfulRefusals(t *testing.T) {
	calm := Phase{"calm", 10 * time.Second}
	p := testPlan(0.5, calm)
	question := &p.workload.Streams[2]
	cost := question.reserved((promptTexts{}).prompt(&arrival{workspace: &p.workspaces[1], stream: question, items: []int{0, 0}}))
	burst := int(60_000 / cost) // requests that a full bucket holds
	cases := []struct {
		name     string
		ends     []ending // of requests sent at once
		wrongful int
		inside   bool
	}{
		{"served", slices.Repeat([]ending{endAnswered}, burst), 0, true},
		{"refused inside the rate", append(slices.Repeat([]ending{endAnswered}, burst-1), endRefused), 1, true},
		{"refused beyond the burst", append(slices.Repeat([]ending{endAnswered}, burst), endRefused, endRefused), 0, false},
		{"a refusal costs nothing", append([]ending{endRefused}, slices.Repeat([]ending{endAnswered}, burst)...), 1, true},
		{"refused while orders can't be recorded", []ending{endStoreUnavailable}, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRun(p, nil, io.Discard)
			outcomes := make([]outcome, len(c.ends))
			for i, end := range c.ends {
				a := &arrival{workspace: &p.workspaces[1], stream: question, number: i, items: []int{0, 0}}
				r.prepare(&outcomes[i], a)
				outcomes[i].end = end
				r.correctBucket(&outcomes[i])
			}
			got := p.report(outcomes)[0]
			if w := got.Workspaces[1]; w.Wrongful != c.wrongful || w.Inside != c.inside {
				t.Errorf("%d wrongful, inside %v; want %d, %v", w.Wrongful, w.Inside, c.wrongful, c.inside)
			}
			if want := len(c.ends); c.inside && got.InRate != want {
				t.Errorf("%d requests in the rate, want %d", got.InRate, want)
			}
		})
	}
}

// testHandler returns a response of the kind that the prompt names.
func testHandler(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch {
	case strings.Contains(string(body), "cut"):
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case strings.Contains(string(body), "late"):
		<-r.Context().Done()
	case strings.Contains(string(body), "limited"):
		w.WriteHeader(http.StatusTooManyRequests)
	case strings.Contains(string(body), "store"):
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"error":{"code":"store_unavailable"}}`)
	case strings.Contains(string(body), "broken"):
		w.WriteHeader(http.StatusBadGateway)
	default:
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\ndata: [DONE]\n\n")
	}
}

// refusingAddress returns an address at which connections are refused. The port
// stays bound until the test ends: a free one may be taken by another process.
func refusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

func TestOutcomes(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(testHandler))
	defer server.Close()
	sender := newSender([]string{"http://" + refusingAddress(t), server.URL}, "m", 300*time.Millisecond)
	defer sender.client.CloseIdleConnections()
	for prompt, want := range map[string]ending{
		"good": endAnswered, "cut": endFailed, "late": endUnfinished, "limited": endRefused, "store": endStoreUnavailable, "broken": endFailed,
	} {
		o := &outcome{arrival: &arrival{workspace: &workspace{}, stream: &Stream{Class: ClassUrgent, MaxTokens: 1}}}
		due := time.Now().Add(-50 * time.Millisecond) // sent late
		sender.send(context.Background(), o, prompt, 0, due)
		if o.end != want {
			t.Errorf("%s: %s, want %s", prompt, o.end, want)
		}
		if want == endAnswered && (o.latency < 70*time.Millisecond || o.promptTokens != 9 || o.cachedTokens != 4) {
			t.Errorf("%s: first token after %v, %d of %d tokens cached", prompt, o.latency, o.cachedTokens, o.promptTokens)
		}
	}
}

// The oracle knows the state of all caches, so only their size limits it.
func TestOracle(t *testing.T) {
	p := testPlan(0.5, Phase{"calm", time.Second})
	check := &p.workload.Streams[0]
	var outcomes []outcome
	for i := range 40 {
		a := &arrival{at: time.Duration(i) * time.Second, workspace: &p.workspaces[0], stream: check, number: i, items: []int{0, i % 4}}
		outcomes = append(outcomes, outcome{arrival: a, end: endAnswered, promptTokens: 3472})
	}
	roomy := (&fleet{engines: 4, cacheBlocks: 1000, prefillRate: 20_000}).oracle(outcomes, promptTexts{}, 0)
	tight := (&fleet{engines: 4, cacheBlocks: 150, prefillRate: 20_000}).oracle(outcomes, promptTexts{}, 0)
	best := 1 - (400.0*40+4*2048+1024)/(3472*40) // each prefix is computed once
	if math.Abs(roomy.Exact-best) > 0.01 || math.Abs(roomy.Pooled-best) > 0.01 {
		t.Errorf("roomy caches give %+v, want %.3f", roomy, best)
	}
	if maxHitRate := 150 * 16.0 / 3472; tight.Exact > maxHitRate || tight.Pooled <= tight.Exact {
		t.Errorf("tight caches give %+v", tight)
	}
}

func TestSummaryBestPolicy(t *testing.T) {
	report := func(policy string, hits ...float64) (reports []*Report) {
		for _, hit := range hits {
			phase := PhaseReport{Name: "calm", HitRate: hit, Classes: make([]ClassReport, 3)}
			reports = append(reports, &Report{Workload: "w", Policy: policy, Phases: []PhaseReport{phase}})
		}
		return reports
	}
	groups := groupsOf("w", append(report("own", 0.5, 0.1, 0.9), report("other", 0.6, 0.6, 0.6)...))
	if got := columns[0].best(groups, 0); got != "other" {
		t.Errorf("winner %s, want the best median", got)
	}
	if got := columns[0].text(groups[0], 0); got != "0.500 (0.100–0.900)" {
		t.Errorf("got %s", got)
	}
	if got := columns[1].best(groups, 0); got != "own=other" {
		t.Errorf("winner %s, want both", got)
	}
}
