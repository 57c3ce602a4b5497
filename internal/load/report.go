package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the measurements of a run.
type Report struct {
	Workload string        `json:"workload"`
	Policy   string        `json:"policy"`
	Seed     uint64        `json:"seed"`
	Load     float64       `json:"load"`
	MeanLoad float64       `json:"load_average"` // of the machine, at the end
	Phases   []PhaseReport `json:"phases"`
	Oracle   OracleReport  `json:"oracle"`
}

// PhaseReport holds the measurements of one phase.
type PhaseReport struct {
	Name             string            `json:"name"`
	Seconds          float64           `json:"seconds"`
	Sent             int               `json:"sent"`
	Answered         int               `json:"answered"`
	Refused          int               `json:"refused"`
	StoreUnavailable int               `json:"held"` // refused because the key-value service was unavailable
	Failed           int               `json:"failed"`
	Unfinished       int               `json:"unfinished"`
	InRate           int               `json:"in_rate"`  // sent by workspaces that stayed inside their rate
	Wrongful         int               `json:"wrongful"` // of these, refused; not counting StoreUnavailable
	Prompt           int64             `json:"prompt_tokens"`
	Cached           int64             `json:"cached_tokens"`
	Recomputed       int64             `json:"recomputed_tokens"` // computed before, and computed again
	HitRate          float64           `json:"hit_rate"`
	Classes          []ClassReport     `json:"classes"`
	Workspaces       []WorkspaceReport `json:"workspaces"`
	Worst            WorstReport       `json:"worst"`
}

// ClassReport holds the times to the first token of a class, in milliseconds.
type ClassReport struct {
	Class    Class   `json:"class"`
	Answered int     `json:"answered"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// WorkspaceReport holds the measurements of a workspace. Its latencies are those of
// urgent generations.
type WorkspaceReport struct {
	Name     string  `json:"name"`
	Inside   bool    `json:"inside"` // stayed inside its rate
	Share    float64 `json:"share"`  // tokens of answered requests divided by tokens of all requests
	Refused  int     `json:"refused"`
	Wrongful int     `json:"wrongful"`
	P50      float64 `json:"p50_ms"`
	P99      float64 `json:"p99_ms"`
}

// WorstReport compares the worst-served workspaces inside their rate with the
// median one.
type WorstReport struct {
	ShareOf   string  `json:"share_of"`
	Share     float64 `json:"share"`
	P99Of     string  `json:"p99_of"`
	P99       float64 `json:"p99_ms"`
	MedianP99 float64 `json:"median_p99_ms"`
}

const (
	lowestLatency  = 100 * time.Microsecond
	highestLatency = 10 * time.Minute
	latencyDigits  = 3 // significant decimal digits
)

// latencies is a histogram of times to the first token, in microseconds. The
// times count from when requests were due, which corrects for coordinated
// omission.
type latencies struct{ histogram *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), latencyDigits)}
}

func (l latencies) add(d time.Duration) {
	_ = l.histogram.RecordValue(min(d, highestLatency).Microseconds()) // in range
}

// quantile returns a quantile in milliseconds.
func (l latencies) quantile(percent float64) float64 {
	return float64(l.histogram.ValueAtQuantile(percent)) / 1000
}

// hasLatency reports whether an outcome counts among the latencies. A request
// without a response by its deadline counts with the time that it has waited.
func (o *outcome) hasLatency() bool {
	return o.end == endAnswered && o.latency > 0 || o.end == endUnfinished
}

// report computes the measurements of each phase.
func (p *plan) report(outcomes []outcome) []PhaseReport {
	byPhase := make([][]*outcome, len(p.phases))
	for i := range outcomes {
		phase := outcomes[i].arrival.phase
		byPhase[phase] = append(byPhase[phase], &outcomes[i])
	}
	reports := make([]PhaseReport, len(p.phases))
	for i, phase := range p.phases {
		reports[i] = p.phaseReport(phase, byPhase[i])
	}
	return reports
}

func (p *plan) phaseReport(phase Phase, outcomes []*outcome) PhaseReport {
	r := PhaseReport{Name: phase.Name, Seconds: phase.Duration.Seconds(), Sent: len(outcomes)}
	for _, o := range outcomes {
		r.count(o)
	}
	if r.Prompt > 0 {
		r.HitRate = float64(r.Cached) / float64(r.Prompt)
	}
	for _, class := range []Class{ClassUrgent, ClassDeferrable, ClassCall} {
		r.Classes = append(r.Classes, classReport(class, outcomes))
	}
	for i := range p.workspaces {
		w := workspaceReport(p.workspaces[i].name, outcomes)
		r.Workspaces = append(r.Workspaces, w)
		if w.Inside {
			r.InRate += countRequests(w.Name, outcomes)
			r.Wrongful += w.Wrongful
		}
	}
	r.Worst = worstReport(r.Workspaces)
	return r
}

func (r *PhaseReport) count(o *outcome) {
	switch o.end {
	case endAnswered:
		r.Answered++
	case endRefused:
		r.Refused++
	case endStoreUnavailable:
		r.StoreUnavailable++
	case endFailed:
		r.Failed++
	case endUnfinished:
		r.Unfinished++
	}
	if o.end == endAnswered && o.promptTokens > 0 {
		r.Prompt += int64(o.promptTokens)
		r.Cached += int64(o.cachedTokens)
		r.Recomputed += int64(max(0, o.promptTokens-o.cachedTokens-o.newTokens))
	}
}

func classReport(class Class, outcomes []*outcome) ClassReport {
	l := newLatencies()
	r := ClassReport{Class: class}
	for _, o := range outcomes {
		if o.arrival.stream.Class != class || !o.hasLatency() {
			continue
		}
		r.Answered++
		l.add(o.latency)
	}
	r.P50, r.P99 = l.quantile(50), l.quantile(99)
	return r
}

func countRequests(workspace string, outcomes []*outcome) int {
	n := 0
	for _, o := range outcomes {
		if o.arrival.workspace.name == workspace {
			n++
		}
	}
	return n
}

func workspaceReport(name string, outcomes []*outcome) WorkspaceReport {
	r := WorkspaceReport{Name: name, Inside: true}
	l := newLatencies()
	var requested, answered float64
	for _, o := range outcomes {
		if o.arrival.workspace.name != name {
			continue
		}
		requested += o.cost
		r.Inside = r.Inside && o.withinRate
		if o.end == endAnswered {
			answered += o.cost
		}
		if o.end == endRefused {
			r.Refused++
			r.Wrongful += wrongful(o)
		}
		if o.arrival.stream.Class == ClassUrgent && o.hasLatency() {
			l.add(o.latency)
		}
	}
	if requested > 0 {
		r.Share = answered / requested
	}
	r.P50, r.P99 = l.quantile(50), l.quantile(99)
	return r
}

// wrongful returns 1 for a refused request that the exact bucket admits, else 0.
func wrongful(o *outcome) int {
	if o.withinRate {
		return 1
	}
	return 0
}

func worstReport(workspaces []WorkspaceReport) WorstReport {
	worst := WorstReport{Share: 1}
	var p99s []float64
	for _, w := range workspaces {
		if !w.Inside {
			continue
		}
		p99s = append(p99s, w.P99)
		if w.Share <= worst.Share {
			worst.Share, worst.ShareOf = w.Share, w.Name
		}
		if w.P99 >= worst.P99 {
			worst.P99, worst.P99Of = w.P99, w.Name
		}
	}
	if len(p99s) > 0 {
		slices.Sort(p99s)
		worst.MedianP99 = p99s[len(p99s)/2]
	}
	return worst
}
