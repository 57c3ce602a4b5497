package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/logging"
)

// SetDraining gives or takes back notice that the backend server is leaving.
// New work is refused, and each answer tells the routers.
func (s *Sidecar) SetDraining(draining bool) {
	if s.draining.Swap(draining) != draining {
		logger.Info(logging.Fields{"draining": draining}, "notice changed")
	}
}

// leaving says whether new work is refused.
func (s *Sidecar) leaving() bool {
	return s.draining.Load() || s.source.Snapshot().Draining
}

// handBackMargin is the time before the end of a drain at which requests that
// still wait are handed back to their routers.
const handBackMargin = 2 * time.Second

// Drain refuses new work and waits until what was accepted has ended, its
// answers were read and its replies recorded, or ctx ends. Requests that still
// wait shortly before the deadline of ctx are refused as not run.
func (s *Sidecar) Drain(ctx context.Context) error {
	s.SetDraining(true)
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		timer := time.AfterFunc(left-min(handBackMargin, left/2), s.queue.HandBack)
		defer timer.Stop()
	}
	if err := s.jobs.wait(ctx); err != nil {
		return err
	}
	if err := s.buffers.Drain(ctx); err != nil {
		return err
	}
	return s.once.Wait(ctx)
}

// group counts running jobs.
type group struct {
	mu      sync.Mutex
	count   int
	changed chan struct{} // closed and replaced when count becomes 0
}

func newGroup() *group { return &group{changed: make(chan struct{})} }

func (g *group) add() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count++
}

func (g *group) done() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.count--
	if g.count == 0 {
		close(g.changed)
		g.changed = make(chan struct{})
	}
}

// wait returns when no job runs.
func (g *group) wait(ctx context.Context) error {
	for {
		g.mu.Lock()
		idle, changed := g.count == 0, g.changed
		g.mu.Unlock()
		if idle {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
