package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// The operators' tool sees what a gateway believes and how old that is.
func TestStatusShowsTheBelief(t *testing.T) {
	s := startSystem(t)
	s.store.set(testConfig(7, deployment.Idempotent), serverAt("b", "127.0.0.1:2"), serverAt("a", "127.0.0.1:1"))
	s.awaitReady(t)
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
		t.Errorf("%v", status)
	}
	believed := status.GetBelief()
	if len(believed.GetServers()) != 2 || believed.Servers[0].Id != "a" || believed.Servers[0].Service != "s" {
		t.Errorf("servers %v", believed.GetServers())
	}
	if believed.GetPosition() == 0 || believed.GetStoreSilenceMs() < 0 || believed.GetStoreSilenceMs() > 5000 {
		t.Errorf("position %d, heard %d ms ago", believed.GetPosition(), believed.GetStoreSilenceMs())
	}
	if reply, err := node.SetLogLevel(ctx, &wire.LogLevelRequest{Level: "warn"}); err != nil || reply.Level != "warn" {
		t.Errorf("log level %v, %v", reply, err)
	}
	if _, err := node.Drain(ctx, &wire.DrainRequest{}); err == nil {
		t.Error("a gateway says that it drains, which only its platform can order")
	}
}
