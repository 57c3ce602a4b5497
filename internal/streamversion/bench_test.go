package streamversion

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures the decisions on a stream that begins, on one that this process
// knows and on one that the assignment tells, and reports the size of the store's entry.
func BenchmarkDecide(b *testing.B) {
	assignment := Plan(settledAt("v1"), map[string]int{"v1": 1, "v2": 1}, 1)
	text, err := assignment.Encode()
	if err != nil {
		b.Fatal(err)
	}
	pool := &Pool{Assignment: assignment, Era: 1, Versions: map[string]int{"v1": 4, "v2": 4}, Confirmed: true}
	d := NewDecider()
	d.RecordBegin("s", "known", "v1", time.Now())
	for name, stream := range map[string]*Stream{
		"begin":    {Service: "s", ID: "a1"},
		"known":    {Service: "s", ID: "a2", Continues: true, Origin: "known"},
		"assigned": {Service: "s", ID: "a3", Continues: true, Origin: "other"},
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				d.Decide(stream, pool)
			}
			b.ReportMetric(float64(len(text)), "B/entry")
		})
	}
	b.Run("record", func(b *testing.B) {
		b.ReportAllocs()
		ids := make([]string, 2*maxOrigins)
		for i := range ids {
			ids[i] = fmt.Sprintf("%016x", i)
		}
		for i := 0; b.Loop(); i++ {
			d.RecordBegin("s", ids[i%len(ids)], "v1", time.Time{})
		}
	})
}
