package buffer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/verdict"
)

// frameOverhead is the memory that a frame takes in addition to its encoded size,
// in bytes.
const frameOverhead = 384

// Key identifies an attempt of a request.
type Key struct {
	RequestID string
	Attempt   uint32
}

// Buffer stores the frames of one attempt. It is safe for concurrent use.
type Buffer struct {
	key       Key
	workspace string
	keyID     string
	table     *Table

	mu           sync.Mutex
	frames       []*wire.Frame
	bytes        int
	ended        bool          // the final frame is in frames
	readers      int           // streams that are reading
	read         bool          // a reader got the final frame
	jobRunning   bool          // the job has not returned
	dropped      bool          // no longer readable
	changed      chan struct{} // closed and replaced when a frame is added
	abandonTimer *time.Timer   // runs while an attempt that has not ended has no reader
	cancel       context.CancelCauseFunc
}

// Key returns the attempt's key.
func (b *Buffer) Key() Key { return b.key }

// Workspace returns the workspace that the attempt runs for.
func (b *Buffer) Workspace() string { return b.workspace }

// KeyID returns the id of the API key that the attempt was sent with.
func (b *Buffer) KeyID() string { return b.keyID }

// Append adds a frame with the next sequence number. It drops frames after the
// final one and frames of another request.
func (b *Buffer) Append(frame *wire.Frame) { b.add(frame, false) }

// Finish adds the final frame. Only the first call has an effect.
func (b *Buffer) Finish(frame *wire.Frame) {
	if b.add(frame, true) {
		b.table.retain(b)
	}
}

// Ended reports whether the final frame was added.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended
}

// Cancel cancels the job's context with the given cause. The job's failure then
// becomes the final frame.
func (b *Buffer) Cancel(cause *verdict.Error) {
	b.cancel(cause)
}

func (b *Buffer) add(frame *wire.Frame, final bool) bool {
	if b.forOtherRequest(frame) {
		return false
	}
	frame.RequestId = b.key.RequestID
	frame.Attempt = b.key.Attempt
	frame.Revisions = b.table.revisions()

	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return false
	}
	frame.Sequence = uint64(len(b.frames)) + 1
	b.frames = append(b.frames, frame)
	size := proto.Size(frame) + frameOverhead
	b.bytes += size
	b.table.metrics.addBytes(size)
	if final {
		b.ended = true
		b.stopAbandonTimerLocked()
	}
	close(b.changed)
	b.changed = make(chan struct{})
	return true
}

// forOtherRequest reports whether the frame belongs to another request, which
// happens if a response arrives late or is misrouted.
func (b *Buffer) forOtherRequest(frame *wire.Frame) bool {
	return frame.RequestId != "" && frame.RequestId != b.key.RequestID
}

// Read sends the frames after a sequence number, each as soon as it is added,
// until the final one is sent, send fails or ctx ends.
func (b *Buffer) Read(ctx context.Context, after uint64, send func(*wire.Frame) error) error {
	b.attach()
	defer b.detach()
	for {
		frames, ended, changed := b.framesAfter(after)
		for _, frame := range frames {
			if err := send(frame); err != nil {
				return err
			}
			after = frame.Sequence
		}
		if ended {
			b.markRead()
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Length returns the sequence number of the newest frame.
func (b *Buffer) Length() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return uint64(len(b.frames))
}

// size returns the memory taken by the frames, in bytes.
func (b *Buffer) size() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// framesAfter returns the frames after a sequence number, whether the final one was
// added, and a channel that is closed when a frame is added.
func (b *Buffer) framesAfter(sequence uint64) ([]*wire.Frame, bool, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence >= uint64(len(b.frames)) {
		return nil, b.ended, b.changed
	}
	return b.frames[sequence:], b.ended, b.changed
}

func (b *Buffer) attach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.readers++
	b.stopAbandonTimerLocked()
}

func (b *Buffer) detach() {
	b.mu.Lock()
	b.readers--
	if b.readers == 0 && !b.ended {
		b.abandonTimer = time.AfterFunc(b.table.retention, b.cancelAbandoned)
	}
	b.mu.Unlock()
	b.table.notifyChange()
}

func (b *Buffer) cancelAbandoned() {
	b.Cancel(verdict.New(verdict.MayHaveRun, verdict.CodeCancelled, "nobody read the answer any more"))
}

func (b *Buffer) stopAbandonTimerLocked() {
	if b.abandonTimer != nil {
		b.abandonTimer.Stop()
		b.abandonTimer = nil
	}
}

func (b *Buffer) markRead() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = true
}

// MarkReturned marks the job as returned.
func (b *Buffer) MarkReturned() {
	b.mu.Lock()
	b.jobRunning = false
	b.mu.Unlock()
	b.table.notifyChange()
}

func (b *Buffer) markDropped() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropped = true
}

// drained reports whether the job has returned and its response was read to the
// end or is no longer readable.
func (b *Buffer) drained() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.jobRunning || b.readers > 0 {
		return false
	}
	return b.dropped || b.ended && b.read
}
