package serverlimit

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// BenchmarkWait also reports the size of the largest message.
func BenchmarkWait(b *testing.B) {
	l := New("g")
	for i := range 7000 {
		l.RecordNamed(fmt.Sprintf("i-%010d", i), 1788015529647, 5, start)
	}
	now := start.Add(time.Second / 2)
	for b.Loop() {
		l.Wait("i-0000000007", now)
	}
	b.ReportMetric(float64(proto.Size(&wire.GatewayReport{Limits: l.News(true, now)})), "bytes/message")
}

// BenchmarkSetGateways divides the limits of 100 servers again when one of 1,500 gateways
// comes or goes.
func BenchmarkSetGateways(b *testing.B) {
	l := New("g")
	var names []string
	for i := range 1500 {
		names = append(names, fmt.Sprint("10.1.", i/256, ".", i%256, ":7600"))
	}
	for i := range 100 {
		l.RecordNamed(fmt.Sprintf("i-%010d", i), 1, 5, start)
	}
	for n := 0; b.Loop(); n++ {
		l.SetGateways(names[n%2:])
	}
}
