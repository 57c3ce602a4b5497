package peering

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// maxAsked bounds the gateways that are asked for the origin of a stream.
	maxAsked = 32
	// askTimeout bounds that question.
	askTimeout = 200 * time.Millisecond
	// tellInterval is the time between two messages with the origins of new streams, and
	// maxTold bounds the streams in one. Those beyond are not told.
	tellInterval = 50 * time.Millisecond
	maxTold      = 2000
)

// Origins are the streams of which a process knows the software version that began them.
type Origins interface {
	// Origin returns the version that began a stream, by the id of the request that began it.
	Origin(service, id string) (software string, known bool)
	RecordBegin(service, id, software string, now time.Time)
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

// Record implements wire.DRPCStreamsServer.
func (s OriginServer) Record(_ context.Context, message *wire.StreamOrigins) (*wire.StreamOriginsReply, error) {
	for _, origin := range message.Origins {
		s.Origins.RecordBegin(origin.Service, origin.Id, origin.Software, time.Now())
	}
	return &wire.StreamOriginsReply{}, nil
}

// toldOrigins are the origins of streams that another gateway is to be told.
type toldOrigins struct {
	mu      sync.Mutex
	waiting []*wire.StreamOrigin
}

// TellOrigin tells another gateway soon which software version began a stream, so that the loss
// of one gateway does not lose it.
func (x *Exchange) TellOrigin(service, id, software string) {
	x.told.mu.Lock()
	defer x.told.mu.Unlock()
	if len(x.told.waiting) < maxTold {
		x.told.waiting = append(x.told.waiting, &wire.StreamOrigin{Service: service, Id: id, Software: software})
	}
}

func (t *toldOrigins) take() []*wire.StreamOrigin {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.waiting
	t.waiting = nil
	return waiting
}

// TellOrigins sends what TellOrigin was given until ctx ends.
func (x *Exchange) TellOrigins(ctx context.Context) {
	for clock.Sleep(ctx, tellInterval) == nil {
		origins := x.told.take()
		if len(origins) == 0 {
			continue
		}
		for _, address := range x.successors() {
			if x.tell(ctx, address, origins) == nil {
				break
			}
		}
	}
}

func (x *Exchange) tell(ctx context.Context, address string, origins []*wire.StreamOrigin) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	_, err := wire.NewDRPCStreamsClient(x.opts.Dialer.Conn(ctx, address)).Record(ctx, &wire.StreamOrigins{Origins: origins})
	return err
}

// successors returns the two gateways that follow this one by address among those that
// reported lately.
func (x *Exchange) successors() []string {
	addresses := x.PeersSince(time.Now().Add(-silenceTime))
	slices.Sort(addresses)
	next, _ := slices.BinarySearch(addresses, x.opts.Self)
	addresses = slices.Concat(addresses[next:], addresses[:next])
	return addresses[:min(len(addresses), 2)]
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
