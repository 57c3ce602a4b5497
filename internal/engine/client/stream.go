package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/engine"
)

const (
	lineBufferBytes = 4 << 10
	maxLineBytes    = 4 << 20
	// endMarkerTimeout limits the wait for the end marker of a finished stream, which an engine
	// sends together with the last chunk. After it the connection is closed.
	endMarkerTimeout = 50 * time.Millisecond
)

var (
	dataField = []byte("data:")
	doneData  = []byte("[DONE]")
)

var crossedChunks, _ = otel.Meter("wasabigate/engine").Int64Counter("wasabigate.engine.crossed_chunks",
	metric.WithUnit("{chunk}"),
	metric.WithDescription("Chunks that were dropped because they carried another request's id."))

// lines reads the data lines of an event stream (SSE).
type lines struct {
	scanner *bufio.Scanner
}

func newLines(r io.Reader) lines {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, lineBufferBytes), maxLineBytes)
	return lines{scanner: scanner}
}

// next returns the data of the next event, valid until the following call. It
// returns io.EOF at the end.
func (l lines) next() ([]byte, error) {
	for l.scanner.Scan() {
		if data, ok := bytes.CutPrefix(l.scanner.Bytes(), dataField); ok {
			return bytes.TrimSpace(data), nil
		}
	}
	if err := l.scanner.Err(); err != nil {
		return nil, err
	}
	return nil, io.EOF
}

// chunkStream implements engine.ChunkStream. It delivers only the chunks of its
// request, without gaps.
type chunkStream struct {
	body      io.ReadCloser
	cancel    context.CancelFunc
	lines     lines
	requestID string
	index     int // of the next chunk
	err       error
}

func newChunkStream(body io.ReadCloser, cancel context.CancelFunc, requestID string, index int) *chunkStream {
	return &chunkStream{body: body, cancel: cancel, lines: newLines(body), requestID: requestID, index: index}
}

// Next implements engine.ChunkStream.
func (s *chunkStream) Next() (engine.Chunk, error) {
	if s.err != nil {
		return engine.Chunk{}, s.err
	}
	chunk, err := s.read()
	if err != nil {
		s.err = errors.Wrap(engine.ErrBroken, err.Error())
		return engine.Chunk{}, s.err
	}
	s.index += chunk.Tokens
	if chunk.Finish != "" {
		s.err = io.EOF
	}
	return chunk, nil
}

// read returns the next chunk of the request and drops chunks of other requests.
func (s *chunkStream) read() (engine.Chunk, error) {
	for {
		data, err := s.lines.next()
		if err != nil {
			return engine.Chunk{}, err
		}
		if bytes.Equal(data, doneData) {
			return engine.Chunk{}, errors.New("stream ended without a finish reason")
		}
		var chunk engine.Chunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return engine.Chunk{}, errors.Wrap(err, "malformed chunk")
		}
		if chunk.RequestID != s.requestID {
			crossedChunks.Add(context.Background(), 1)
			continue
		}
		return chunk, s.check(&chunk)
	}
}

func (s *chunkStream) check(chunk *engine.Chunk) error {
	switch {
	case chunk.Index != s.index:
		return errors.Errorf("chunk has index %d, want %d", chunk.Index, s.index)
	case chunk.Tokens < 0:
		return errors.Errorf("chunk has %d tokens", chunk.Tokens)
	case chunk.Finish != "" && chunk.Usage == nil:
		return errors.New("last chunk has no usage")
	default:
		return nil
	}
}

// Close implements engine.ChunkStream. It reads a finished stream past its end marker,
// so that the connection can be reused. The result of the generation waits for Close, so an engine
// that stalls after the last chunk must not delay it.
func (s *chunkStream) Close() error {
	if errors.Is(s.err, io.EOF) {
		timer := time.AfterFunc(endMarkerTimeout, s.cancel)
		_, _ = s.lines.next()
		_, _ = s.lines.next()
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}

// readEvents calls deliver for each cache event until the stream ends, an
// event is malformed or deliver returns false.
func readEvents(r io.Reader, deliver func(engine.CacheEvent) bool) {
	lines := newLines(r)
	for {
		data, err := lines.next()
		if err != nil {
			return
		}
		var event engine.CacheEvent
		if json.Unmarshal(data, &event) != nil || !deliver(event) {
			return
		}
	}
}
