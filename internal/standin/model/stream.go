package model

import (
	"context"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// otherRequestID is the request ID in the chunks of a stream that CrossStreams
// affects.
const otherRequestID = "crossed-request"

// stream implements engine.ChunkStream. It is unbounded, so the generation never
// waits for the single reader.
type stream struct {
	ctx     context.Context // of the reader
	crashed <-chan struct{}
	faults  streamFaults
	changed chan struct{} // holds one signal

	mu      sync.Mutex
	chunks  []engine.Chunk
	aborted bool // the generation ended without a final chunk
	read    int  // number of chunks returned by Next
}

func newStream(ctx context.Context, crashed <-chan struct{}, faults streamFaults) *stream {
	return &stream{ctx: ctx, crashed: crashed, faults: faults, changed: make(chan struct{}, 1)}
}

func (s *stream) append(chunk engine.Chunk) {
	if s.faults.forOtherRequest {
		chunk.RequestID = otherRequestID
	}
	s.mu.Lock()
	s.chunks = append(s.chunks, chunk)
	s.mu.Unlock()
	s.signal()
}

func (s *stream) abort() {
	s.mu.Lock()
	s.aborted = true
	s.mu.Unlock()
	s.signal()
}

func (s *stream) signal() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// Next implements engine.ChunkStream.
func (s *stream) Next() (engine.Chunk, error) {
	for {
		chunk, ok, err := s.take()
		if ok || err != nil {
			return chunk, err
		}
		select {
		case <-s.changed:
		case <-s.crashed:
			return engine.Chunk{}, errors.Wrap(engine.ErrBroken, "engine crashed")
		case <-s.ctx.Done():
			return engine.Chunk{}, errors.Wrap(engine.ErrBroken, s.ctx.Err().Error())
		}
	}
}

// take returns the next chunk if there is one.
func (s *stream) take() (engine.Chunk, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.read > 0 && s.chunks[s.read-1].Finish != "" {
		return engine.Chunk{}, false, io.EOF
	}
	if s.faults.cutAfter > 0 && s.read >= s.faults.cutAfter {
		return engine.Chunk{}, false, errors.Wrap(engine.ErrBroken, "stream cut")
	}
	select {
	case <-s.crashed:
		return engine.Chunk{}, false, errors.Wrap(engine.ErrBroken, "engine crashed")
	default:
	}
	if s.read < len(s.chunks) {
		s.read++
		return s.chunks[s.read-1], true, nil
	}
	if s.aborted {
		return engine.Chunk{}, false, errors.Wrap(engine.ErrBroken, "generation cancelled")
	}
	return engine.Chunk{}, false, nil
}

// Close implements engine.ChunkStream.
func (s *stream) Close() error { return nil }
