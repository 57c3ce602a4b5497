// Package inflight tracks the running requests of a daemon, and can cancel those
// whose API key has been withdrawn.
package inflight

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// pollInterval is the interval at which Wait checks whether all requests have ended.
const pollInterval = 10 * time.Millisecond

// Registry tracks the running requests. The zero Registry is ready for use. It is safe
// for concurrent use.
type Registry struct {
	mu       sync.Mutex
	requests map[*Entry]struct{}
}

// Entry is a running request.
type Entry struct {
	registry *Registry
	cancel   context.CancelCauseFunc
	keyID    string
}

// Begin adds a request. The returned context is cancelled when the request ends or its
// key is withdrawn.
func (r *Registry) Begin(ctx context.Context) (context.Context, *Entry) {
	ctx, cancel := context.WithCancelCause(ctx)
	entry := &Entry{registry: r, cancel: cancel}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = make(map[*Entry]struct{})
	}
	r.requests[entry] = struct{}{}
	return ctx, entry
}

// SetKey sets the id of the request's API key.
func (e *Entry) SetKey(keyID string) {
	e.registry.mu.Lock()
	defer e.registry.mu.Unlock()
	e.keyID = keyID
}

// End removes the request and cancels its context.
func (e *Entry) End() {
	e.registry.mu.Lock()
	delete(e.registry.requests, e)
	e.registry.mu.Unlock()
	e.cancel(nil)
}

// Len returns the number of running requests.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// CancelWithdrawn cancels the requests whose keys are withdrawn.
func (r *Registry) CancelWithdrawn(withdrawn func(keyID string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.requests {
		if entry.keyID != "" && withdrawn(entry.keyID) {
			entry.cancel(verdict.New(verdict.MayHaveRun, verdict.CodeKeyWithdrawn, "the API key was withdrawn"))
		}
	}
}

// Wait waits until no request is running, or returns ctx's error.
func (r *Registry) Wait(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for r.Len() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
