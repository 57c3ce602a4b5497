package buffer

import (
	"fmt"
	"testing"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// BenchmarkStream measures the time per frame to write, read and retain a stream
// of 200 frames.
func BenchmarkStream(b *testing.B) {
	const frames = 200
	table := newTable()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		opened := table.Open(&wire.ExecuteRequest{RequestId: fmt.Sprint("r", n), Attempt: 1})
		addFrames(opened.Buffer, frames-2)
		if err := opened.Buffer.Read(b.Context(), 0, func(*wire.Frame) error { return nil }); err != nil {
			b.Fatal(err)
		}
		opened.Buffer.MarkReturned()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/frames, "ns/frame")
}
