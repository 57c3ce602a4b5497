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
func (s *semaphore) acquire(ctx context.Context, priority engine.Priority) error {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return nil
	}
	s.arrived++
	w := &waiter{priority: priority, arrival: s.arrived, admitted: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.admitted:
		return nil
	case <-ctx.Done():
		s.abandon(w)
		return ctx.Err()
	}
}

// abandon removes w from the queue, or releases its slot if it was admitted.
func (s *semaphore) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.releaseLocked()
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *semaphore) releaseLocked() {
	if len(s.queue) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).admitted)
}

// waiting returns the number of waiters.
func (s *semaphore) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
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
