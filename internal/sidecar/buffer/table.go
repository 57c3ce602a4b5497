package buffer

import (
	"context"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Table holds the buffers of all attempts. It is safe for concurrent use.
type Table struct {
	retention time.Duration
	maxBytes  int
	revisions func() *wire.Revisions
	metrics   metrics

	mu            sync.Mutex
	attempts      map[Key]*Buffer
	ended         []*Buffer // finished attempts, oldest first
	finishedBytes int
	cancelled     map[Key]struct{} // attempts cancelled before they arrived
	changed       chan struct{}    // closed and replaced when a buffer may have settled
}

// Opened is the result of Open.
type Opened struct {
	Buffer *Buffer
	// Context is the context of the new job. It is nil if the attempt was
	// already known.
	Context context.Context
	// Cancelled says that the attempt was cancelled before it arrived.
	Cancelled bool
}

// Open returns the buffer of an attempt, and makes it if the attempt is new.
// The job's context doesn't end with a reader's connection.
func (t *Table) Open(req *wire.ExecuteRequest) Opened {
	key := Key{RequestID: req.RequestId, Attempt: req.Attempt}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.attempts[key]; ok {
		return Opened{Buffer: known}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	buffer := &Buffer{
		key:       key,
		workspace: req.Workspace,
		keyID:     req.KeyId,
		table:     t,
		changed:   make(chan struct{}),
		cancel:    cancel,
	}
	t.attempts[key] = buffer
	_, cancelled := t.cancelled[key]
	return Opened{Buffer: buffer, Context: ctx, Cancelled: cancelled}
}

// Find returns the buffer of an attempt, or nil.
func (t *Table) Find(key Key) *Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[key]
}

// FindOrForbid returns the buffer of an attempt. If there is none, the attempt
// is marked as cancelled, should it arrive late.
func (t *Table) FindOrForbid(key Key) *Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	buffer, ok := t.attempts[key]
	if ok {
		return buffer
	}
	if len(t.cancelled) < maxTombstones {
		t.cancelled[key] = struct{}{}
		time.AfterFunc(t.retention, func() { t.forget(key) })
	}
	return nil
}

func (t *Table) forget(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.cancelled, key)
}

// Running returns the buffers of the attempts that have not ended.
func (t *Table) Running() []*Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := make([]*Buffer, 0, len(t.attempts)-len(t.ended))
	for _, buffer := range t.attempts {
		if !buffer.Ended() {
			running = append(running, buffer)
		}
	}
	return running
}

// CountResume counts a stream that is read again.
func (t *Table) CountResume() { t.metrics.addResumed() }

// finished starts the retention of a buffer that has ended.
func (t *Table) finished(buffer *Buffer) {
	t.mu.Lock()
	t.ended = append(t.ended, buffer)
	t.finishedBytes += buffer.bytes
	for t.finishedBytes > t.maxBytes && len(t.ended) > 1 {
		t.metrics.addDropped()
		t.removeLocked(t.ended[0])
	}
	t.mu.Unlock()
	buffer.cancel(nil)
	time.AfterFunc(t.retention, func() { t.expire(buffer) })
	t.notify()
}

func (t *Table) expire(buffer *Buffer) {
	t.mu.Lock()
	t.removeLocked(buffer)
	t.mu.Unlock()
	t.notify()
}

func (t *Table) removeLocked(buffer *Buffer) {
	for i, candidate := range t.ended {
		if candidate != buffer {
			continue
		}
		t.ended = append(t.ended[:i], t.ended[i+1:]...)
		t.finishedBytes -= buffer.bytes
		t.metrics.addBytes(-buffer.bytes)
		delete(t.attempts, buffer.key)
		return
	}
}

func (t *Table) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Drain waits until every attempt has ended and was read to its end, or its
// retention is over.
func (t *Table) Drain(ctx context.Context) error {
	for {
		settled, changed := t.settled()
		if settled {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (t *Table) settled() (bool, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, buffer := range t.attempts {
		if !buffer.settled() {
			return false, t.changed
		}
	}
	return true, t.changed
}
