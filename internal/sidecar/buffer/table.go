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
	retained      []retainedBuffer // finished attempts, oldest first
	retainedBytes int
	expiryTimer   *time.Timer      // runs while retained is not empty
	tombstones    map[Key]struct{} // attempts cancelled before they arrived
	changed       chan struct{}    // closed and replaced when a buffer may be drained
}

// retainedBuffer is the buffer of a finished attempt with the end of its
// retention.
type retainedBuffer struct {
	buffer *Buffer
	until  time.Time
}

// OpenResult is the result of Open.
type OpenResult struct {
	Buffer *Buffer
	// Context is the context of the new job. It is nil if the attempt already
	// existed.
	Context context.Context
	// Cancelled is true if the attempt was cancelled before it arrived.
	Cancelled bool
}

// Open returns the buffer of an attempt, and creates it if the attempt is new.
// The job's context does not end when a reader disconnects.
func (t *Table) Open(req *wire.ExecuteRequest) OpenResult {
	key := Key{RequestID: req.RequestId, Attempt: req.Attempt}
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.attempts[key]; ok {
		return OpenResult{Buffer: known}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	buffer := &Buffer{
		key:        key,
		workspace:  req.Workspace,
		keyID:      req.KeyId,
		table:      t,
		jobRunning: true,
		changed:    make(chan struct{}),
		cancel:     cancel,
	}
	t.attempts[key] = buffer
	_, cancelled := t.tombstones[key]
	return OpenResult{Buffer: buffer, Context: ctx, Cancelled: cancelled}
}

// Find returns the buffer of an attempt, or nil.
func (t *Table) Find(key Key) *Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.attempts[key]
}

// FindOrCancel returns the buffer of an attempt. If there is none, it adds a
// tombstone, so that the attempt counts as cancelled if it arrives later.
func (t *Table) FindOrCancel(key Key) *Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	buffer, ok := t.attempts[key]
	if ok {
		return buffer
	}
	if len(t.tombstones) < maxTombstones {
		t.tombstones[key] = struct{}{}
		time.AfterFunc(t.retention, func() { t.removeTombstone(key) })
	}
	return nil
}

func (t *Table) removeTombstone(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.tombstones, key)
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

// CountResume counts a stream that a reader resumes.
func (t *Table) CountResume() { t.metrics.addResumed() }

// retain starts the retention of a buffer whose final frame was added.
func (t *Table) retain(buffer *Buffer) {
	t.mu.Lock()
	t.retained = append(t.retained, retainedBuffer{buffer: buffer, until: time.Now().Add(t.retention)})
	t.retainedBytes += buffer.size()
	for t.retainedBytes > t.maxBytes && len(t.retained) > 1 {
		t.metrics.addDropped()
		t.dropOldestLocked()
	}
	if t.expiryTimer == nil {
		t.expiryTimer = time.AfterFunc(t.retention, t.dropExpired)
	}
	t.mu.Unlock()
	buffer.cancel(nil)
	t.notifyChange()
}

// dropExpired drops the attempts whose retention has ended.
func (t *Table) dropExpired() {
	t.mu.Lock()
	now := time.Now()
	for len(t.retained) > 0 && !now.Before(t.retained[0].until) {
		t.dropOldestLocked()
	}
	if len(t.retained) > 0 {
		t.expiryTimer.Reset(t.retained[0].until.Sub(now))
	} else {
		t.expiryTimer = nil
	}
	t.mu.Unlock()
	t.notifyChange()
}

func (t *Table) dropOldestLocked() {
	oldest := t.retained[0].buffer
	t.retained[0] = retainedBuffer{}
	t.retained = t.retained[1:]
	t.retainedBytes -= oldest.size()
	t.metrics.addBytes(-oldest.size())
	delete(t.attempts, oldest.key)
	oldest.markDropped()
}

func (t *Table) notifyChange() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// Drain waits until the jobs of all current attempts have returned and their
// responses were read to the end or their retention has ended.
func (t *Table) Drain(ctx context.Context) error {
	present := t.currentBuffers()
	for {
		changed := t.nextChange()
		present = slices.DeleteFunc(present, (*Buffer).drained)
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

func (t *Table) currentBuffers() []*Buffer {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Values(t.attempts))
}

// nextChange returns a channel that is closed when an attempt may be drained.
func (t *Table) nextChange() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}
