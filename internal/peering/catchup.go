package peering

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/entrysync"
	"github.com/wasabigate/wasabigate/internal/follower"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// OperatorEntries implements wire.DRPCGatewaysServer. It returns the known changes of the
// store after the requested position.
func (x *Exchange) OperatorEntries(_ context.Context, req *wire.OperatorEntriesRequest) (*wire.OperatorEntriesReply, error) {
	if req.OperatorsOnly {
		return &wire.OperatorEntriesReply{Entries: x.encodeFor(req, x.opts.Follower.OperatorEvents())}, nil
	}
	after := platform.NewVersion(platform.Era(req.StoreEra), req.After)
	changes := x.opts.Follower.ChangesAfter(after)
	if changes.Reached > changes.Position {
		// A large operators' entry is missing here. The events go beyond the position, so that the
		// caller could not tell what is newer.
		return &wire.OperatorEntriesReply{HasRemovals: true, StoreSilenceMs: math.MaxInt32}, nil
	}
	entries := x.encodeFor(req, changes.Events)
	if after != 0 && sizeOf(entries) > maxReplyBytes {
		return nil, errTooLarge
	}
	return &wire.OperatorEntriesReply{
		Entries: entries, Position: changes.Position.Revision(), StoreEra: uint64(changes.Position.Era()),
		StoreSilenceMs: changes.Age.Milliseconds(), Complete: changes.Complete, HasRemovals: true, GraceMs: changes.Grace.Milliseconds(),
	}, nil
}

// encodeFor encodes events for a request, without the large values of operators' entries if it
// asks for that.
func (x *Exchange) encodeFor(req *wire.OperatorEntriesRequest, events []platform.Event) []*wire.StoredEntry {
	entries := encodeEvents(events)
	if !req.ByReference {
		return entries
	}
	for _, e := range entries {
		if len(e.Value) > entrysync.LargeValue && x.opts.Follower.FromOperator(e.Key) {
			digest := x.library.Add(e.Key, e.Value)
			e.Value, e.Digest = nil, digest[:]
		}
	}
	return entries
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

// sizeOf returns the size of the entries' keys and values in bytes.
func sizeOf(entries []*wire.StoredEntry) int {
	size := 0
	for _, e := range entries {
		size += len(e.Key) + len(e.Value)
	}
	return size
}

// maxReplyBytes bounds the entries in a reply: about 30 ms of a link of 10 Mbit/s. If there
// are more, the caller reads the store, whose link is fast. A request for position 0 is
// not bounded: its sender can't reach the store.
const maxReplyBytes = 40 << 10

// errTooLarge makes the caller read from the store.
var errTooLarge = errors.New("too large to pass on")

// updateFromPeer takes the state of the store from a peer if the peer's is fresher and
// this gateway's is stale: the store is unreachable, or other gateways watch it for this
// one. It returns the large operators' entries that the peer left out and this gateway lacks.
func (x *Exchange) updateFromPeer(ctx context.Context, address string, report *wire.GatewayReport) (missing []*wire.StoredEntry) {
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
		return x.catchUp(ctx, address, after)
	case reported == position:
		x.opts.Follower.Confirm(theirs)
	}
	return nil
}

// lagsBehind reports whether a peer has a newer configuration, or target version of weights, that
// is to be read from it. A gateway that watches the store reads it too: the store may have lost it
// in a restore, and sends it as a whole, which may take long.
func (x *Exchange) lagsBehind(address string, report *wire.GatewayReport, now time.Time) bool {
	if !isAhead(report, x.opts.Follower.Snapshot()) {
		return false
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return !now.Before(x.peer(address).nextRead)
}

// isAhead reports whether a peer has a newer configuration or target version of weights.
func isAhead(report *wire.GatewayReport, snapshot *deployment.Snapshot) bool {
	if report.ConfigVersion > configVersion(snapshot) {
		return true
	}
	return slices.ContainsFunc(report.Named, func(n *wire.NamedWeights) bool { return n.Version > snapshot.Weights[n.Model].Version })
}

// catchUp reads from a peer the changes of the store after a position. It returns the large
// operators' entries that the peer left out and this gateway lacks.
func (x *Exchange) catchUp(ctx context.Context, address string, after platform.Version) (missing []*wire.StoredEntry) {
	begun := time.Now()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	client := wire.NewDRPCGatewaysClient(x.opts.Dialer.Conn(ctx, address))
	reply, err := client.OperatorEntries(ctx, &wire.OperatorEntriesRequest{After: after.Revision(), StoreEra: uint64(after.Era()), ByReference: true, Sender: x.opts.Self})
	if err != nil {
		logger.Warn(fields{"peer": address, "ms": time.Since(begun).Milliseconds(), "error": err.Error()}, "entries not read from a gateway")
		if ctx.Err() == nil { // else another gateway is asked, and the store before the state gets too stale
			x.opts.Follower.ForceRead()
		}
		return nil
	}
	if !reply.Complete && !reply.HasRemovals {
		x.opts.Follower.ForceRead() // an earlier version of the program leaves out removals before its start
		return nil
	}
	position := platform.NewVersion(platform.Era(reply.StoreEra), reply.Position)
	if position == 0 {
		return nil // the peer lacks an entry itself
	}
	logger.Debug(fields{"peer": address, "entries": len(reply.Entries), "after": after.String(), "position": position.String()}, "entries read from a gateway")
	present, missing := x.resolve(reply.Entries)
	x.opts.Follower.Merge(ctx, follower.Changes{
		Events: decodeEvents(present), Position: positionWithout(missing, position), Reached: position, Complete: reply.Complete,
		Age: milliseconds(reply.StoreSilenceMs), Grace: milliseconds(reply.GraceMs),
	})
	return missing
}

// positionWithout returns up to which position the state is known without the missing entries, so
// that the store still gives them if no other gateway does. It does not have those of an earlier
// era, which were lost in a restore.
func positionWithout(missing []*wire.StoredEntry, position platform.Version) platform.Version {
	for _, e := range missing {
		if e.Revision > 0 && platform.Era(e.Era) == position.Era() {
			position = min(position, platform.NewVersion(platform.Era(e.Era), e.Revision-1))
		}
	}
	return position
}
