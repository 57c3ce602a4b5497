package limit

import (
	"context"

	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

var _ wire.DRPCLimitsServer = (*Local)(nil)

// Debit implements wire.DRPCLimitsServer: it gives a peer up to the requested
// tokens from this router's bucket.
func (l *Local) Debit(_ context.Context, req *wire.DebitRequest) (*wire.DebitReply, error) {
	st, snapshot := l.current()
	reply := &wire.DebitReply{Revisions: snapshot.Revisions()}
	b := st.buckets[req.Workspace]
	now := l.now(snapshot)
	if b == nil || !now.spendable || req.Tokens <= 0 {
		return reply, nil
	}
	taken, level := b.takeUpTo(now.refill, req.Tokens)
	reply.Level = level
	if taken.tokens > 0 {
		reply.Draws = []*wire.Draw{l.draw(st, b, taken)}
	}
	return reply, nil
}

// Credit implements wire.DRPCLimitsServer: it takes back tokens that a peer debited
// and did not use. Draws of an earlier process at this address are ignored.
func (l *Local) Credit(_ context.Context, req *wire.CreditRequest) (*wire.CreditReply, error) {
	st, snapshot := l.current()
	reply := &wire.CreditReply{Revisions: snapshot.Revisions()}
	b := st.buckets[req.Workspace]
	if b == nil {
		return reply, nil
	}
	now := l.now(snapshot)
	for _, d := range req.Draws {
		if d.Owner != l.self || d.Incarnation != l.incarnation || d.Tokens <= 0 {
			continue
		}
		kept, level := b.credit(now.refill, d.Tokens, d.Mark)
		reply.Accepted += kept
		reply.Level = level
	}
	return reply, nil
}

// Levels implements wire.DRPCLimitsServer: it transfers tokens to a peer whose
// buckets are less full and returns this router's levels.
func (l *Local) Levels(_ context.Context, req *wire.LevelsRequest) (*wire.LevelsReply, error) {
	st, snapshot := l.current()
	reply := &wire.LevelsReply{Revisions: snapshot.Revisions()}
	now := l.now(snapshot)
	if !now.spendable {
		return reply, nil
	}
	for _, wanted := range req.Levels {
		b := st.buckets[wanted.Workspace]
		if b == nil {
			continue
		}
		moved, level := b.transfer(now.refill, wanted.Cap, wanted.Tokens, wanted.Moved)
		reply.Levels = append(reply.Levels, &wire.Level{Workspace: wanted.Workspace, Tokens: level, Moved: moved})
	}
	return reply, nil
}
