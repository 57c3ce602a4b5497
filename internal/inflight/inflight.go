// Package inflight counts the requests that a daemon is working on, and can end
// those of a key that was withdrawn.
package inflight

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/verdict"
)

// pollInterval is how often Wait looks whether all requests have ended.
const pollInterval = 10 * time.Millisecond

// Registry holds the running requests. The zero Registry is ready for use.
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

// Begin adds a request. The context ends with the request or its key.
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

// SetKey notes the key that the request came with.
func (e *Entry) SetKey(keyID string) {
	e.registry.mu.Lock()
	defer e.registry.mu.Unlock()
	e.keyID = keyID
}

// End removes the request.
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

// EndWithdrawn ends the requests whose keys are withdrawn.
func (r *Registry) EndWithdrawn(withdrawn func(keyID string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for entry := range r.requests {
		if entry.keyID != "" && withdrawn(entry.keyID) {
			entry.cancel(verdict.New(verdict.MayHaveRun, verdict.CodeKeyWithdrawn, "the API key was withdrawn"))
		}
	}
}

// Wait returns when no request is running, or with ctx's error.
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
