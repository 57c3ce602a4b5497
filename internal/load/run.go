// Package load sends one of two workloads to a running system, in an open loop:
// requests are sent when they are due, however slow the responses are, and
// latencies count from the due time. It reports measurements of routing, queueing
// and rate limiting.
package load

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/prefix"
)

// run is one run of a plan against the routers.
type run struct {
	plan   *plan
	sender *sender
	out    io.Writer // progress: a line when a phase starts

	texts promptTexts
	seen  map[uint64]struct{} // blocks of prompts sent so far
	chain []uint64            // reused by countNewTokens

	mu      sync.Mutex
	buckets map[string]*bucket
}

func newRun(p *plan, sender *sender, out io.Writer) *run {
	r := &run{plan: p, sender: sender, out: out, texts: make(promptTexts), seen: make(map[uint64]struct{}), buckets: make(map[string]*bucket)}
	for i := range p.workspaces {
		r.buckets[p.workspaces[i].name] = newBucket(&p.workspaces[i], !p.fresh)
	}
	return r
}

// sendAll sends all requests when they are due and returns their outcomes in schedule order.
func (r *run) sendAll(ctx context.Context) ([]outcome, error) {
	arrivals := r.plan.schedule()
	for i := range arrivals {
		r.texts.prompt(&arrivals[i]) // generates the shared texts before the clock starts
	}
	outcomes := make([]outcome, len(arrivals))
	start := time.Now()
	var running sync.WaitGroup
	phase := -1
	for i := range arrivals {
		due := start.Add(arrivals[i].at)
		if err := wait(ctx, due); err != nil {
			return nil, err
		}
		for ; phase < arrivals[i].phase; phase++ {
			fmt.Fprintf(r.out, "phase %s\n", r.plan.phases[phase+1].Name)
		}
		r.prepare(&outcomes[i], &arrivals[i])
		prompt := r.texts.prompt(&arrivals[i])
		running.Go(func() {
			r.sender.send(ctx, &outcomes[i], prompt, i, due)
			r.correctBucket(&outcomes[i])
		})
	}
	running.Wait()
	return outcomes, ctx.Err()
}

func wait(ctx context.Context, due time.Time) error {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// prepare fills in what is known of a request before it is sent: its cost, its new
// tokens and whether the exact bucket admits it.
func (r *run) prepare(o *outcome, a *arrival) {
	o.arrival = a
	prompt := r.texts.prompt(a)
	o.cost = a.stream.reserved(prompt)
	o.newTokens = r.countNewTokens(a, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[a.workspace.name]
	o.withinRate = b.admits(a.at, o.cost)
	if o.withinRate {
		b.take(o.cost)
	}
}

// correctBucket makes the bucket reflect what the system admitted: it refunds the
// tokens of a refused request, and takes those of one admitted beyond the rate.
func (r *run) correctBucket(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[o.arrival.workspace.name]
	refused := o.end == endRefused || o.end == endStoreUnavailable
	if refused && o.withinRate {
		b.refund(o.cost)
	}
	if !refused && !o.withinRate {
		b.take(o.cost)
	}
}

// countNewTokens returns the number of prompt tokens that no earlier request of the
// workspace had at the same position.
func (r *run) countNewTokens(a *arrival, prompt string) int {
	if a.stream.Class == ClassCall {
		return 0
	}
	rendered := a.stream.rendered(prompt)
	r.chain = prefix.Chain(r.chain[:0], a.workspace.name, rendered)
	count := len(rendered) % prefix.BlockBytes / (prefix.BlockBytes / prefix.BlockTokens)
	for _, block := range r.chain {
		if _, ok := r.seen[block]; !ok {
			r.seen[block] = struct{}{}
			count += prefix.BlockTokens
		}
	}
	return count
}
