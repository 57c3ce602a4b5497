// Package load drives a running system with the two workloads, in an open loop:
// requests are sent when they are due, however slow the answers are, and
// latencies count from the due time. It reports the measures by which routing,
// queueing and limiting are judged.
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
	out    io.Writer // a line for each phase that starts

	texts   texts
	seen    map[uint64]struct{} // blocks of prompts sent so far
	scratch []uint64

	mu      sync.Mutex
	buckets map[string]*bucket
}

func newRun(p *plan, sender *sender, out io.Writer) *run {
	r := &run{plan: p, sender: sender, out: out, texts: make(texts), seen: make(map[uint64]struct{}), buckets: make(map[string]*bucket)}
	for i := range p.tenants {
		r.buckets[p.tenants[i].name] = newBucket(&p.tenants[i], !p.fresh)
	}
	return r
}

// do sends all shots and returns their outcomes in the order of the shots.
func (r *run) do(ctx context.Context) ([]outcome, error) {
	shots := r.plan.schedule()
	for i := range shots {
		r.texts.prompt(&shots[i]) // so that the shared texts are ready
	}
	outcomes := make([]outcome, len(shots))
	start := time.Now()
	var running sync.WaitGroup
	phase := -1
	for i := range shots {
		due := start.Add(shots[i].at)
		if err := wait(ctx, due); err != nil {
			return nil, err
		}
		for ; phase < shots[i].phase; phase++ {
			fmt.Fprintf(r.out, "phase %s\n", r.plan.phases[phase+1].Name)
		}
		r.prepare(&outcomes[i], &shots[i])
		prompt := r.texts.prompt(&shots[i])
		running.Go(func() {
			r.sender.send(ctx, &outcomes[i], prompt, i, due)
			r.settle(&outcomes[i])
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

// prepare judges a shot before it is sent.
func (r *run) prepare(o *outcome, s *shot) {
	o.shot = s
	prompt := r.texts.prompt(s)
	o.cost = s.stream.reserved(prompt)
	o.firstSeen = r.countNew(s, prompt)
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[s.tenant.name]
	o.inside = b.admits(s.at, o.cost)
	if o.inside {
		b.take(o.cost)
	}
}

// settle makes the bucket hold what the system admitted: it gives back the
// tokens of a refused request, and takes those of one admitted beyond the rate.
func (r *run) settle(o *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.buckets[o.shot.tenant.name]
	refused := o.end == endRefused || o.end == endHeld
	if refused && o.inside {
		b.giveBack(o.cost)
	}
	if !refused && !o.inside {
		b.take(o.cost)
	}
}

// countNew returns the prompt tokens that no earlier request of the workspace
// had at their place.
func (r *run) countNew(s *shot, prompt string) int {
	if s.stream.Class == ClassCall {
		return 0
	}
	rendered := s.stream.rendered(prompt)
	r.scratch = prefix.Chain(r.scratch[:0], s.tenant.name, rendered)
	fresh := len(rendered) % prefix.BlockBytes / (prefix.BlockBytes / prefix.BlockTokens)
	for _, block := range r.scratch {
		if _, ok := r.seen[block]; !ok {
			r.seen[block] = struct{}{}
			fresh += prefix.BlockTokens
		}
	}
	return fresh
}
