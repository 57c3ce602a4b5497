package quarantine

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// full returns a Quarantine that remembers as many crashes as it can, each with as many
// parts as the given number, of which it blames one.
func full(parts int) *Quarantine {
	q := New(nil)
	for i := range maxCrashes {
		list := []Part{7}
		for j := 1; j < parts; j++ {
			list = append(list, Part(1000+i*parts+j))
		}
		at := start.Add(time.Duration(i) * time.Second)
		q.RecordCrash(Crash{Server: fmt.Sprintf("i-%010d@1788015529647", i), Sent: at, Ended: at.Add(time.Millisecond), Parts: list}, at.Add(time.Millisecond))
	}
	return q
}

func BenchmarkCheck(b *testing.B) {
	q := full(5)
	parts := []Part{1, 2, 3, 4}
	for b.Loop() {
		q.Check(parts, start.Add(maxCrashes*time.Second))
	}
}

func BenchmarkRecordSuccess(b *testing.B) {
	q := full(5)
	parts := []Part{1, 2, 3, 4}
	for b.Loop() {
		q.RecordSuccess(parts, start.Add(maxCrashes*time.Second))
	}
}

// BenchmarkRecordCrash also reports the size of the largest message.
func BenchmarkRecordCrash(b *testing.B) {
	q := full(5)
	n := maxCrashes
	for b.Loop() {
		n++
		at := start.Add(time.Duration(n) * time.Second)
		q.RecordCrash(Crash{Server: fmt.Sprintf("i-%010d@1788015529647", n), Sent: at, Ended: at, Parts: []Part{7, Part(n), Part(2 * n)}}, at)
	}
	b.ReportMetric(float64(proto.Size(full(5).News(1, start.Add(maxCrashes*time.Second)))), "bytes/message")
}
