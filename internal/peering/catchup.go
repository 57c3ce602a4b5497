package peering

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// OperatorEntries implements wire.DRPCGatewaysServer. It returns the known changes of the
// store after the requested position.
func (x *Exchange) OperatorEntries(_ context.Context, req *wire.OperatorEntriesRequest) (*wire.OperatorEntriesReply, error) {
	if req.OperatorsOnly {
		return &wire.OperatorEntriesReply{Entries: encodeEvents(x.opts.Follower.OperatorEvents())}, nil
	}
	after := platform.NewVersion(platform.Era(req.StoreEra), req.After)
	changes := x.opts.Follower.ChangesAfter(after)
	if after != 0 && sizeOf(changes.Events) > maxReplyBytes {
		return nil, errTooLarge
	}
	return &wire.OperatorEntriesReply{
		Entries: encodeEvents(changes.Events), Position: changes.Position.Revision(), StoreEra: uint64(changes.Position.Era()),
		StoreSilenceMs: changes.Age.Milliseconds(), Complete: changes.Complete, HasRemovals: true, GraceMs: changes.Grace.Milliseconds(),
	}, nil
}

func encodeEvents(events []platform.Event) []*wire.StoredEntry {
	entries := make([]*wire.StoredEntry, 0, len(events))
	for i := range events {
		e := &events[i]
		entries = append(entries, &wire.StoredEntry{
			Key: e.Key, Value: e.Value, Revision: e.Version.Revision(), Era: uint64(e.Version.Era()), Deleted: e.Deleted,
		})
	}
	return entries
}

func decodeEvents(entries []*wire.StoredEntry) []platform.Event {
	events := make([]platform.Event, 0, len(entries))
	for _, e := range entries {
		version := platform.NewVersion(platform.Era(e.Era), e.Revision)
		events = append(events, platform.Event{Entry: platform.Entry{Key: e.Key, Value: e.Value, Version: version}, Deleted: e.Deleted})
	}
	return events
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// sizeOf returns the size of the events' keys and values in bytes.
func sizeOf(events []platform.Event) int {
	size := 0
	for i := range events {
		size += len(events[i].Key) + len(events[i].Value)
	}
	return size
}

// replySize returns the size of a reply's keys and values in bytes.
func replySize(reply *wire.OperatorEntriesReply) int { return sizeOf(decodeEvents(reply.Entries)) }

// maxReplyBytes bounds the entries in a reply: about 30 ms of a link of 10 Mbit/s. If there
// are more, the caller reads the store, whose link is fast. A request for position 0 is
// not bounded: its sender can't reach the store.
const maxReplyBytes = 40 << 10

// errTooLarge makes the caller read from the store.
var errTooLarge = errors.New("too large to pass on")

// updateFromPeer takes the state of the store from a peer if the peer's is fresher and
// this gateway's is stale: the store is unreachable, or other gateways watch it for this
// one.
func (x *Exchange) updateFromPeer(ctx context.Context, client wire.DRPCGatewaysClient, address string, report *wire.GatewayReport) {
	mine, theirs := x.staleness(), milliseconds(report.StoreSilenceMs)
	position := x.opts.Follower.Snapshot().Position
	reported := platform.NewVersion(platform.Era(report.StoreEra), report.Position)
	after := position
	if mine > storeLostAfter && reported.Era() == position.Era() {
		after = 0
	}
	switch {
	case mine <= staleAfter || theirs >= mine:
	case reported > position || position == 0:
		x.catchUp(ctx, client, address, after)
	case reported == position:
		x.opts.Follower.Confirm(theirs)
	}
}

// operatorLag is how long a peer may have a newer configuration before its operators'
// entries are read. It is longer than a change regularly takes to reach all gateways.
const operatorLag = 600 * time.Millisecond

// lagsBehind reports whether a peer has had a newer configuration, or target version of
// weights, for operatorLag. The store may have lost it in a restore.
func (x *Exchange) lagsBehind(address string, report *wire.GatewayReport, now time.Time) bool {
	ahead := isAhead(report, x.opts.Follower.Snapshot())
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.peer(address)
	switch {
	case !ahead:
		p.aheadSince = time.Time{}
	case p.aheadSince.IsZero():
		p.aheadSince = now
	}
	if !ahead || now.Sub(p.aheadSince) < operatorLag {
		return false
	}
	p.aheadSince = now
	return true
}

// isAhead reports whether a peer has a newer configuration or target version of weights.
func isAhead(report *wire.GatewayReport, snapshot *deployment.Snapshot) bool {
	if report.ConfigVersion > configVersion(snapshot) {
		return true
	}
	return slices.ContainsFunc(report.Named, func(n *wire.NamedWeights) bool { return n.Version > snapshot.Weights[n.Model].Version })
}

// entriesTimeout bounds the reading of operators' entries from a peer. A large configuration takes
// longer than an exchange may.
const entriesTimeout = time.Second

// catchUpOperators reads from a peer the operators' entries that are in force there, unless they
// are being read from another one: large ones from all peers at once would fill the link.
func (x *Exchange) catchUpOperators(ctx context.Context, address string) {
	if !x.readingEntries.CompareAndSwap(false, true) {
		return
	}
	defer x.readingEntries.Store(false)
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	client := wire.NewDRPCGatewaysClient(x.opts.Dialer.Conn(ctx, address))
	begun := time.Now()
	reply, err := client.OperatorEntries(ctx, &wire.OperatorEntriesRequest{OperatorsOnly: true})
	if err != nil {
		logger.Warn(fields{"peer": address, "ms": time.Since(begun).Milliseconds(), "error": err.Error()}, "operators' entries not read from a gateway")
		return
	}
	logger.Info(fields{"peer": address, "bytes": replySize(reply), "ms": time.Since(begun).Milliseconds()}, "operators' entries read from a gateway")
	x.opts.Follower.MergeOperatorEvents(ctx, decodeEvents(reply.Entries))
}

// catchUp reads from a peer the changes of the store after a position.
func (x *Exchange) catchUp(ctx context.Context, client wire.DRPCGatewaysClient, address string, after platform.Version) {
	begun := time.Now()
	reply, err := client.OperatorEntries(ctx, &wire.OperatorEntriesRequest{After: after.Revision(), StoreEra: uint64(after.Era())})
	if err != nil {
		logger.Warn(fields{"peer": address, "ms": time.Since(begun).Milliseconds(), "error": err.Error()}, "entries not read from a gateway")
		x.opts.Follower.ForceRead()
		return
	}
	if !reply.Complete && !reply.HasRemovals {
		x.opts.Follower.ForceRead() // an earlier version of the program leaves out removals before its start
		return
	}
	position := platform.NewVersion(platform.Era(reply.StoreEra), reply.Position)
	logger.Debug(fields{"peer": address, "entries": len(reply.Entries), "after": after.String(), "position": position.String()}, "entries read from a gateway")
	x.opts.Follower.Merge(ctx, follower.Changes{
		Events: decodeEvents(reply.Entries), Position: position, Complete: reply.Complete,
		Age: milliseconds(reply.StoreSilenceMs), Grace: milliseconds(reply.GraceMs),
	})
}
