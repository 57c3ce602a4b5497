package client

import (
	"bytes"
	"io"
	"testing"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/engine"
)

// Whatever an engine sends, a stream must deliver only chunks of its request, without
// gaps, and be complete only after a finish reason with usage.
func FuzzChunkStream(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte, resumed uint8) {
		s := newChunkStream(io.NopCloser(bytes.NewReader(data)), func() {}, "r", int(resumed))
		next := int(resumed)
		var last engine.Chunk
		for {
			chunk, err := s.Next()
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				if !errors.Is(err, engine.ErrBroken) {
					t.Fatalf("error %v does not wrap ErrBroken", err)
				}
				if last.Finish != "" {
					t.Fatalf("complete stream ended with %v", err)
				}
				return
			}
			if chunk.RequestID != "r" || chunk.Index != next || chunk.Tokens < 0 {
				t.Fatalf("delivered %+v, want index %d", chunk, next)
			}
			next += chunk.Tokens
			last = chunk
		}
		if last.Finish == "" || last.Usage == nil {
			t.Fatalf("stream is complete after %+v", last)
		}
	})
}

// No more events may be delivered than the stream has data lines.
func FuzzEvents(f *testing.F) {
	f.Fuzz(func(t *testing.T, data []byte) {
		count := 0
		readEvents(bytes.NewReader(data), func(engine.CacheEvent) bool {
			count++
			return true
		})
		if most := bytes.Count(data, dataField); count > most {
			t.Fatalf("%d events out of %d data fields", count, most)
		}
	})
}
