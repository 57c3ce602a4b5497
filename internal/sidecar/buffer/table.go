package buffer

import (
	"context"
	"maps"
	"slices"
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
	ended         []retained // finished attempts, oldest first
	finishedBytes int
	sweeper       *time.Timer      // runs while ended is not empty
	cancelled     map[Key]struct{} // attempts cancelled before they arrived
	changed       chan struct{}    // closed and replaced when a buffer may have settled
}

// retained is a finished attempt that can be read until a time.
type retained struct {
	buffer *Buffer
	until  time.Time
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
		running:   true,
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
	var running []*Buffer
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
	t.ended = append(t.ended, retained{buffer: buffer, until: time.Now().Add(t.retention)})
	t.finishedBytes += buffer.size()
	for t.finishedBytes > t.maxBytes && len(t.ended) > 1 {
		t.metrics.addDropped()
		t.dropOldestLocked()
	}
	if t.sweeper == nil {
		t.sweeper = time.AfterFunc(t.retention, t.sweep)
	}
	t.mu.Unlock()
	buffer.cancel(nil)
	t.notify()
}

// sweep drops the attempts whose retention is over.
func (t *Table) sweep() {
	t.mu.Lock()
	now := time.Now()
	for len(t.ended) > 0 && !now.Before(t.ended[0].until) {
		t.dropOldestLocked()
	}
	if len(t.ended) > 0 {
		t.sweeper.Reset(t.ended[0].until.Sub(now))
	} else {
		t.sweeper = nil
	}
	t.mu.Unlock()
	t.notify()
}

func (t *Table) dropOldestLocked() {
	oldest := t.ended[0].buffer
	t.ended[0] = retained{}
	t.ended = t.ended[1:]
	t.finishedBytes -= oldest.size()
	t.metrics.addBytes(-oldest.size())
	delete(t.attempts, oldest.key)
	oldest.markDropped()
}

func (t *Table) notify() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Drain waits until the jobs of all present attempts have returned and their
// answers were read to the end, or their retention is over.
func (t *Table) Drain(ctx context.Context) error {
	present := t.present()
	for {
		changed := t.nextChange()
		present = slices.DeleteFunc(present, (*Buffer).settled)
		if len(present) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (t *Table) present() []*Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.attempts))
}

// nextChange returns a channel that is closed when an attempt may have settled.
func (t *Table) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
