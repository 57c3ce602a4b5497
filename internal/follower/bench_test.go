package follower

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// BenchmarkReportLeaving records an answer of a server that is known to leave, one of 256. It
// also reports the size of what another gateway is told.
func BenchmarkReportLeaving(b *testing.B) {
	f := New(newFakeFeed(), textLayout{}, func(*deployment.Snapshot) {})
	report := &wire.GatewayReport{}
	for i := range maxLeavingTold {
		id := fmt.Sprintf("i-%08x", i)
		f.state.leaving.add(Leaving{id, 1788015529647}, time.Now())
		report.Leaving = append(report.Leaving, &wire.LeavingServer{Server: id, Incarnation: 1788015529647})
	}
	for b.Loop() {
		f.ReportLeaving(Leaving{"i-00000007", 1788015529647}, "r")
	}
	b.ReportMetric(float64(proto.Size(report)), "bytes/message")
}
