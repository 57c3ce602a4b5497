package limit

import (
	"context"
	"slices"
	"time"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// canReach reports whether messages from n can arrive at peer.
func (n *node) canReach(peer *node) bool {
	return n != peer && peer.running() && !n.cutPeers && !peer.cutPeers
}

// call delivers a message to a peer, or loses or delays it or its response.
func (n *node) call(address string, deliver func(peer *node)) error {
	i := slices.IndexFunc(n.simulation.nodes, func(peer *node) bool { return peer.address == address })
	if i < 0 || !n.canReach(n.simulation.nodes[i]) {
		return errUnreachable
	}
	s := n.simulation
	sent := time.Now()
	outcome := s.random.IntN(20)
	if outcome == 0 && s.faulty {
		return errUnreachable
	}
	if outcome == 1 {
		s.delay()
	}
	if !s.nodes[i].running() {
		return errUnreachable
	}
	deliver(s.nodes[i])
	if outcome == 2 && s.faulty {
		return errUnreachable
	}
	if outcome == 3 {
		s.delay()
	}
	if time.Since(sent) > callTimeout && s.random.IntN(2) == 0 {
		return context.DeadlineExceeded
	}
	return nil
}

// delay advances the other nodes while a message is in transit.
func (s *simulation) delay() {
	if !s.faulty || s.depth > 1 {
		return
	}
	s.depth++
	s.advance(time.Duration(s.random.IntN(400)) * time.Millisecond)
	for range s.random.IntN(4) {
		s.acquire(s.nodes[s.random.IntN(len(s.nodes))], 1+s.random.Int64N(20_000))
	}
	s.depth--
}

func (n *node) Addresses() []string { return nil }

func (n *node) Debit(ctx context.Context, address string, req *wire.DebitRequest) (reply *wire.DebitReply, err error) {
	err = n.call(address, func(peer *node) {
		reply, _ = peer.local.Debit(ctx, req)
		for _, d := range reply.Draws {
			if n.debits[req.RequestId] == nil {
				n.debits[req.RequestId] = map[drawKey]*admission{}
			}
			n.debits[req.RequestId][drawKey{d.Owner, d.Incarnation, d.Mark}] = n.simulation.admission(d.Tokens)
		}
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func (n *node) Credit(ctx context.Context, address string, req *wire.CreditRequest) (reply *wire.CreditReply, err error) {
	err = n.call(address, func(peer *node) { reply, _ = peer.local.Credit(ctx, req) })
	return reply, err
}

func (n *node) Levels(ctx context.Context, address string, req *wire.LevelsRequest) (reply *wire.LevelsReply, err error) {
	err = n.call(address, func(peer *node) { reply, _ = peer.local.Levels(ctx, req) })
	return reply, err
}

// reachableKV is the key-value service as a node reaches it; cutKV makes it
// unavailable.
type reachableKV struct {
	platform.KV
	node *node
}

func (k reachableKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if k.node.cutKV {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

func (k reachableKV) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, lease platform.LeaseID) (platform.Version, error) {
	if k.node.cutKV {
		return 0, platform.ErrUnavailable
	}
	return k.KV.CompareAndSwap(ctx, key, value, expected, lease)
}
