package daemon

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// limitPeers reaches the limiters of the other routers. It implements
// limit.Peers.
type limitPeers struct {
	dialer *rpc.Dialer
	source control.Source
	self   string
}

// digests reads the digests of sidecars. It implements route.Digests.
type digests struct {
	dialer *rpc.Dialer
}

func (d digests) Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error) {
	client := wire.NewDRPCBackendClient(d.dialer.Conn(ctx, address))
	return client.Digest(ctx, &wire.DigestRequest{MaxBlocks: maxBlocks})
}

// controllerServers reaches the sidecars of engines. It implements
// controller.Servers.
type controllerServers struct {
	dialer *rpc.Dialer
}

func (c controllerServers) client(ctx context.Context, address string) wire.DRPCBackendClient {
	return wire.NewDRPCBackendClient(c.dialer.Conn(ctx, address))
}

func (c controllerServers) GetLoad(ctx context.Context, address string) (*wire.Load, error) {
	return c.client(ctx, address).GetLoad(ctx, &wire.LoadRequest{})
}

func (c controllerServers) Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	return c.client(ctx, address).Order(ctx, req)
}

func (p limitPeers) Addresses() []string {
	view := p.source.Snapshot().View
	addresses := make([]string, 0, len(view.Routers))
	for i := range view.Routers {
		if view.Routers[i].Address != p.self {
			addresses = append(addresses, view.Routers[i].Address)
		}
	}
	return addresses
}

func (p limitPeers) client(ctx context.Context, address string) wire.DRPCLimitsClient {
	return wire.NewDRPCLimitsClient(p.dialer.Conn(ctx, address))
}

func (p limitPeers) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	return p.client(ctx, address).Debit(ctx, req)
}

func (p limitPeers) Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error) {
	return p.client(ctx, address).Credit(ctx, req)
}

func (p limitPeers) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	return p.client(ctx, address).Levels(ctx, req)
}
