package model

import (
	"container/heap"
	"context"
	"sync"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// semaphore admits waiters by priority, then by arrival.
type semaphore struct {
	mu      sync.Mutex
	free    int
	arrived uint64
	queue   waitQueue
}

func newSemaphore(slots int) *semaphore { return &semaphore{free: slots} }

// acquire waits for a slot, or returns ctx's error.
func (g *semaphore) acquire(ctx context.Context, priority engine.Priority) error {
	g.mu.Lock()
	if g.free > 0 {
		g.free--
		g.mu.Unlock()
		return nil
	}
	g.arrived++
	w := &waiter{priority: priority, arrival: g.arrived, admitted: make(chan struct{})}
	heap.Push(&g.queue, w)
	g.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		g.abandon(w)
		return ctx.Err()
	}
}

// abandon removes w from the queue, or releases its slot if it was admitted.
func (g *semaphore) abandon(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&g.queue, w.index)
		return
	}
	g.releaseLocked()
}

func (g *semaphore) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.releaseLocked()
}

func (g *semaphore) releaseLocked() {
	if len(g.queue) == 0 {
		g.free++
		return
	}
	close(heap.Pop(&g.queue).(*waiter).admitted)
}

// waiting returns the number of waiters.
func (g *semaphore) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue)
}

type waiter struct {
	priority engine.Priority
	arrival  uint64
	admitted chan struct{}
	index    int // in the queue; -1 after removal
}

// waitQueue implements heap.Interface.
type waitQueue []*waiter

func (q waitQueue) Len() int { return len(q) }

func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q waitQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waitQueue) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waitQueue) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	w.index = -1
	return w
}
