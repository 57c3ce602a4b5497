// Package eventstream splits a stream of server-sent events at event boundaries without
// changing its bytes.
package eventstream

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// minRead is the least space offered to the source for a read, in bytes.
	minRead = 2 << 10
	// maxEventBytes bounds an event. An engine's event holds a few tokens.
	maxEventBytes = 1 << 20
)

// ErrTooLarge means that an event exceeds maxEventBytes.
var ErrTooLarge = errors.New("event larger than 1 MiB")

// Batch holds one or more complete events or comments.
type Batch struct {
	Raw    []byte // valid until the next call
	Count  int    // events with data; comments and empty events are not progress
	LastID string // id of the last event that has one; empty if none has
}

// Reader reads complete events.
type Reader struct {
	source io.Reader
	buffer []byte
	start  int // buffer[start:end] was not returned yet
	end    int
	err    error // error of source
}

// NewReader returns a Reader of source.
func NewReader(source io.Reader) *Reader {
	return &Reader{source: source, buffer: make([]byte, 2*minRead)}
}

// Next waits for at least one complete event and returns all that have arrived. It returns
// io.EOF after the last event, and io.ErrUnexpectedEOF if the stream ends within an event.
func (r *Reader) Next() (Batch, error) {
	for {
		if size := completeLen(r.buffer[r.start:r.end]); size > 0 {
			raw := r.buffer[r.start : r.start+size]
			r.start += size
			return newBatch(raw), nil
		}
		if r.err != nil {
			return Batch{}, r.failure()
		}
		if err := r.fill(); err != nil {
			return Batch{}, err
		}
	}
}

// failure returns the error of a stream that has no complete event left.
func (r *Reader) failure() error {
	if errors.Is(r.err, io.EOF) && len(bytes.TrimSpace(r.buffer[r.start:r.end])) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

func (r *Reader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buffer, r.buffer[r.start:r.end])
		r.start = 0
	}
	if r.end > maxEventBytes {
		return ErrTooLarge
	}
	if len(r.buffer)-r.end < minRead {
		r.buffer = append(r.buffer, make([]byte, len(r.buffer))...)
	}
	n, err := r.source.Read(r.buffer[r.end:])
	r.end += n
	r.err = err
	return nil
}

// completeLen returns the length of the complete events at the start of data.
func completeLen(data []byte) int {
	return max(endOfLast(data, "\n\n"), endOfLast(data, "\r\n\r\n"))
}

// endOfLast returns the index after the last separator in data, or 0 if there is none.
func endOfLast(data []byte, separator string) int {
	i := bytes.LastIndex(data, []byte(separator))
	if i < 0 {
		return 0
	}
	return i + len(separator)
}

var (
	idField   = []byte("id:")
	dataField = []byte("data")
)

// newBatch returns the batch of the complete events in raw.
func newBatch(raw []byte) Batch {
	batch := Batch{Raw: raw}
	hasData := false
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if hasData {
				batch.Count++
			}
			hasData = false
			continue
		}
		hasData = hasData || bytes.HasPrefix(line, dataField)
		if value, ok := bytes.CutPrefix(line, idField); ok {
			batch.LastID = string(bytes.TrimSpace(value))
		}
	}
	return batch
}
