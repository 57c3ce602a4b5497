package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// The operators' tool gets a gateway's cached state and its staleness.
func TestStatusReportsCachedState(t *testing.T) {
	s := startSystem(t)
	s.store.set(testConfig(7, deployment.Idempotent), serverAt("b", "127.0.0.1:2"), serverAt("a", "127.0.0.1:1"))
	s.waitReady(t)
	dialer := rpc.NewDialer(nil)
	defer func() { _ = dialer.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	node := wire.NewDRPCNodeClient(dialer.Conn(ctx, s.settings.Daemon.RPCAddress))
	status, err := node.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if status.Name != "g1" || status.GetRevisions().GetDocument() != 7 || status.Draining {
		t.Errorf("status %v", status)
	}
	belief := status.GetBelief()
	if len(belief.GetServers()) != 2 || belief.Servers[0].Id != "a" || belief.Servers[0].Service != "s" {
		t.Errorf("servers %v, want a and b of service s", belief.GetServers())
	}
	if belief.GetPosition() == 0 || belief.GetStoreSilenceMs() < 0 || belief.GetStoreSilenceMs() > 5000 {
		t.Errorf("position %d, confirmed %d ms ago", belief.GetPosition(), belief.GetStoreSilenceMs())
	}
	if reply, err := node.SetLogLevel(ctx, &wire.LogLevelRequest{Level: "warn"}); err != nil || reply.Level != "warn" {
		t.Errorf("log level reply %v, error %v", reply, err)
	}
	if _, err := node.Drain(ctx, &wire.DrainRequest{}); err == nil {
		t.Error("Drain succeeded, although only the platform can drain a gateway")
	}
}
