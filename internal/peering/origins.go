package peering

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// maxAsked bounds the gateways that are asked for the origin of a stream.
	maxAsked = 32
	// askTimeout bounds that question.
	askTimeout = 200 * time.Millisecond
)

// Origins are the streams of which a process knows the software version that began them.
type Origins interface {
	// Origin returns the version that began a stream, by the id of the request that began it.
	Origin(service, id string) (software string, known bool)
}

// OriginServer tells other gateways where streams began. It implements
// wire.DRPCStreamsServer.
type OriginServer struct{ Origins Origins }

var _ wire.DRPCStreamsServer = OriginServer{}

// Origin implements wire.DRPCStreamsServer.
func (s OriginServer) Origin(_ context.Context, request *wire.StreamOriginRequest) (*wire.StreamOriginReply, error) {
	software, known := s.Origins.Origin(request.Service, request.Id)
	return &wire.StreamOriginReply{Known: known, Software: software}, nil
}

// AskOrigin asks the other gateways which software version began a stream. Of many gateways it
// asks some, chosen at random.
func (x *Exchange) AskOrigin(ctx context.Context, service, id string) (software string, known bool) {
	addresses := x.peersToAsk()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	replies := make(chan *wire.StreamOriginReply, len(addresses))
	for _, address := range addresses {
		go func() {
			client := wire.NewDRPCStreamsClient(x.opts.Dialer.Conn(ctx, address))
			reply, err := client.Origin(ctx, &wire.StreamOriginRequest{Service: service, Id: id})
			if err != nil {
				reply = nil // as one that does not know
			}
			replies <- reply
		}()
	}
	for range addresses {
		if reply := <-replies; reply != nil && reply.Known {
			return reply.Software, true
		}
	}
	return "", false
}

// peersToAsk returns the addresses of gateways that reported lately, at most maxAsked.
func (x *Exchange) peersToAsk() []string {
	addresses := x.PeersSince(time.Now().Add(-silenceTime))
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), maxAsked)]
}
