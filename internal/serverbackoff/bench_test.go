package serverbackoff

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkCheck looks up one of 7,000 servers that all want nothing.
func BenchmarkCheck(b *testing.B) {
	backoffs := New()
	for i := range 7000 {
		backoffs.RecordRefusal(Key{fmt.Sprintf("i-%010d", i), 1788015529647}, Asked{Wait: time.Minute}, start)
	}
	key := Key{"i-0000000007", 1788015529647}
	for b.Loop() {
		backoffs.Check(key, start)
	}
}

// BenchmarkCheckWithout looks up a server while none has refused a request.
func BenchmarkCheckWithout(b *testing.B) {
	backoffs := New()
	for b.Loop() {
		backoffs.Check(Key{"i-0000000007", 1}, start)
	}
}
