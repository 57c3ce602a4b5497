package daemon

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// otherRouters returns the RPC addresses of all routers but self.
func otherRouters(source control.Source, self string) []string {
	view := source.Snapshot().View
	addresses := make([]string, 0, len(view.Routers))
	for i := range view.Routers {
		if view.Routers[i].Address != self {
			addresses = append(addresses, view.Routers[i].Address)
		}
	}
	return addresses
}

// digestClient reads digests from sidecars. It implements
// route.DigestReader.
type digestClient struct {
	dialer *rpc.Dialer
}

func (d digestClient) Digest(ctx context.Context, address string, maxBlocks uint32) (*wire.DigestReply, error) {
	client := wire.NewDRPCBackendClient(d.dialer.Conn(ctx, address))
	return client.Digest(ctx, &wire.DigestRequest{MaxBlocks: maxBlocks})
}

// sidecarClient calls the sidecars of engines. It implements
// controller.SidecarClient.
type sidecarClient struct {
	dialer *rpc.Dialer
}

func (c sidecarClient) client(ctx context.Context, address string) wire.DRPCBackendClient {
	return wire.NewDRPCBackendClient(c.dialer.Conn(ctx, address))
}

func (c sidecarClient) GetLoad(ctx context.Context, address string) (*wire.Load, error) {
	return c.client(ctx, address).GetLoad(ctx, &wire.LoadRequest{})
}

func (c sidecarClient) Order(ctx context.Context, address string, req *wire.OrderRequest) (*wire.OrderReply, error) {
	return c.client(ctx, address).Order(ctx, req)
}
