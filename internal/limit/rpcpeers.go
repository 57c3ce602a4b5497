package limit

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/rpc"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// RPCPeers calls the limiters of other processes over RPC. It implements Peers.
type RPCPeers struct {
	Dialer *rpc.Dialer
	List   func() []string // RPC addresses of the other processes
}

var _ Peers = RPCPeers{}

// Addresses implements Peers.
func (p RPCPeers) Addresses() []string { return p.List() }

func (p RPCPeers) client(ctx context.Context, address string) wire.DRPCLimitsClient {
	return wire.NewDRPCLimitsClient(p.Dialer.Conn(ctx, address))
}

// Debit implements Peers.
func (p RPCPeers) Debit(ctx context.Context, address string, req *wire.DebitRequest) (*wire.DebitReply, error) {
	return p.client(ctx, address).Debit(ctx, req)
}

// Credit implements Peers.
func (p RPCPeers) Credit(ctx context.Context, address string, req *wire.CreditRequest) (*wire.CreditReply, error) {
	return p.client(ctx, address).Credit(ctx, req)
}

// Levels implements Peers.
func (p RPCPeers) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	return p.client(ctx, address).Levels(ctx, req)
}
