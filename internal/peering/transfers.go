package peering

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/entrysync"
	"github.com/wasabigate/wasabigate/internal/roster"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	// listTimeout bounds the reading of what operators' entries another gateway has.
	listTimeout = time.Second
	// partTimeout bounds the reading of one part of a value. A transfer of many parts may take
	// as long as it makes progress.
	partTimeout = time.Second
	// readBackoff is how long operators' entries are not read from a gateway after a failure.
	readBackoff = time.Second
	// maxToldOfConfig bounds the gateways that one tells of a new configuration. The others hear of it in
	// the next round of exchanges.
	maxToldOfConfig = 64
)

// transfers are the transfers of operators' entries to this gateway, of which one runs at a time.
type transfers struct {
	running sync.Mutex
	latest  *entrysync.Transfer // that was interrupted, or nil; owned by who holds running
	bytes   metric.Int64Counter
	failed  metric.Int64Counter
}

func newTransfers() transfers {
	meter := otel.Meter("wasabigate/peering")
	received, err := meter.Int64Counter("wasabigate.peering.entry_bytes", metric.WithUnit("By"), metric.WithDescription("Encoded bytes of large operators' entries that other gateways sent."))
	if err != nil {
		otel.Handle(err)
	}
	failed, err := meter.Int64Counter("wasabigate.peering.entry_failures", metric.WithUnit("{transfer}"), metric.WithDescription("Transfers of large operators' entries that were interrupted or refused."))
	if err != nil {
		otel.Handle(err)
	}
	return transfers{bytes: received, failed: failed}
}

// EntryPart implements wire.DRPCGatewaysServer.
func (x *Exchange) EntryPart(_ context.Context, req *wire.EntryPartRequest) (*wire.EntryPartReply, error) {
	request := entrysync.Request{
		Key: req.Key, Target: entrysync.ParseDigest(req.Digest), Encoding: entrysync.ParseDigest(req.Encoding), Offset: int(min(req.Offset, 1<<30)),
	}
	for _, base := range req.Bases {
		request.Bases = append(request.Bases, entrysync.ParseDigest(base))
	}
	part, err := x.library.Part(&request)
	if err != nil {
		return &wire.EntryPartReply{}, nil // an empty part says that the value is not known here
	}
	reply := &wire.EntryPartReply{Encoding: part.Encoding[:], Size: uint64(part.Size), Data: part.Data}
	if part.Base != (entrysync.Digest{}) {
		reply.Base = part.Base[:]
	}
	return reply, nil
}

// recordVersions keeps the large operators' entries in force, as changes are made from them.
func (x *Exchange) recordVersions() {
	for _, event := range x.opts.Follower.OperatorEvents() {
		if len(event.Value) > entrysync.LargeValue {
			x.library.Add(event.Key, event.Value)
		}
	}
}

// peersToTell returns the gateways that are to hear of a new configuration at once, if this one
// watches the store: the others that do, and those that prefer to call this one.
func (x *Exchange) peersToTell() []string {
	listed := x.opts.Follower.Snapshot().Gateways
	if !roster.Watches(listed, x.opts.Self) {
		return nil
	}
	watchers := roster.Watchers(listed)
	var addresses []string
	for _, gateway := range listed {
		if gateway.Address != x.opts.Self && (slices.Contains(watchers, gateway.Address) || slices.Contains(watchersOf(gateway.Address, watchers), x.opts.Self)) {
			addresses = append(addresses, gateway.Address)
		}
	}
	return addresses[:min(len(addresses), maxToldOfConfig)]
}

// watchersOf returns the watchers that a gateway prefers to call.
func watchersOf(address string, watchers []string) []string {
	preferred := slices.Clone(watchers)
	slices.SortFunc(preferred, func(a, b string) int { return compareWatchers(a, b, address) })
	return preferred[:min(len(preferred), maxWatcherCalls)]
}

// compareWatchers orders watchers by a hash, so that different callers prefer different ones.
func compareWatchers(a, b, caller string) int {
	return cmp.Compare(xxhash.Sum64String(a+caller), xxhash.Sum64String(b+caller))
}

// resolve separates the entries whose values are there, or are known, from those of which a large
// value was left out.
func (x *Exchange) resolve(entries []*wire.StoredEntry) (present, missing []*wire.StoredEntry) {
	x.recordVersions()
	for _, e := range entries {
		if len(e.Digest) == 0 {
			present = append(present, e)
		} else if value, ok := x.library.Value(e.Key, entrysync.ParseDigest(e.Digest)); ok {
			e.Value = value
			present = append(present, e)
		} else {
			missing = append(missing, e)
		}
	}
	return present, missing
}

// errNotTaken means that this gateway can't use the entries that make a peer's state newer.
var errNotTaken = errors.New("entries read, but not taken")

// catchUpOperators reads from a peer that sent a report the operators' entries that are in force
// there, unless a transfer is running: several would only share a thin link.
func (x *Exchange) catchUpOperators(ctx context.Context, address string, report *wire.GatewayReport) {
	if !x.transfers.running.TryLock() {
		return
	}
	defer signal(x.aheadSeen) // for what others reported meanwhile
	defer x.transfers.running.Unlock()
	err := x.readOperators(ctx, address)
	if err == nil && isAhead(report, x.opts.Follower.Snapshot()) {
		err = errNotTaken
	}
	if err == nil {
		return
	}
	logger.Warn(fields{"peer": address, "error": err.Error()}, "operators' entries not read from a gateway")
	x.transfers.failed.Add(ctx, 1)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.peer(address).nextRead = time.Now().Add(readBackoff)
}

func (x *Exchange) readOperators(ctx context.Context, address string) error {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	client := wire.NewDRPCGatewaysClient(x.opts.Dialer.Conn(listCtx, address))
	reply, err := client.OperatorEntries(listCtx, &wire.OperatorEntriesRequest{OperatorsOnly: true, ByReference: true, Sender: x.opts.Self})
	if err != nil {
		return err
	}
	present, missing := x.resolve(reply.Entries)
	x.opts.Follower.MergeOperatorEvents(ctx, decodeEvents(present))
	for _, e := range missing {
		if e.Value, err = x.transfer(ctx, client, address, e); err != nil {
			return err
		}
		x.opts.Follower.MergeOperatorEvents(ctx, decodeEvents([]*wire.StoredEntry{e}))
	}
	return nil
}

// transfer reads a large value from a peer. It goes on with an interrupted transfer of the value,
// whoever sent its first parts.
func (x *Exchange) transfer(ctx context.Context, client wire.DRPCGatewaysClient, address string, e *wire.StoredEntry) ([]byte, error) {
	t := x.transfers.latest
	if target := entrysync.ParseDigest(e.Digest); t == nil || t.Key != e.Key || t.Target != target {
		t = entrysync.NewTransfer(e.Key, target)
		x.transfers.latest = t
	}
	begun := time.Now()
	for !t.Complete() {
		received, size, isChange := t.Received()
		part, err := readPart(ctx, client, t.Next(x.library))
		if err == nil {
			x.transfers.bytes.Add(ctx, int64(len(part.Data)))
			err = t.Accept(part)
		}
		switch {
		case errors.Is(err, entrysync.ErrMismatch) && received > 0:
			t.Restart() // this peer has encoded the value in another way than the one before
		case err != nil:
			return nil, errors.Wrapf(err, "key %q, %d of %d bytes in %v, change %v", e.Key, received, size, time.Since(begun).Round(time.Millisecond), isChange)
		}
	}
	value, err := t.Value(x.library)
	received, _, isChange := t.Received()
	if err != nil {
		t.RestartWhole()
		return nil, errors.Wrapf(err, "key %q, %d bytes, change %v", e.Key, received, isChange)
	}
	x.transfers.latest = nil
	x.library.Add(e.Key, value)
	logger.Info(fields{
		"peer": address, "key": e.Key, "revision": e.Revision, "bytes": len(value), "sent_bytes": received, "change": isChange, "ms": time.Since(begun).Milliseconds(),
	}, "operators' entry read from a gateway")
	return value, nil
}

func readPart(ctx context.Context, client wire.DRPCGatewaysClient, request *entrysync.Request) (*entrysync.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	message := &wire.EntryPartRequest{Key: request.Key, Digest: request.Target[:], Offset: uint64(request.Offset)}
	if request.Encoding != (entrysync.Digest{}) {
		message.Encoding = request.Encoding[:]
	}
	for i := range request.Bases {
		message.Bases = append(message.Bases, request.Bases[i][:])
	}
	reply, err := client.EntryPart(ctx, message)
	if err != nil {
		return nil, err
	}
	return &entrysync.Part{
		Encoding: entrysync.ParseDigest(reply.Encoding), Base: entrysync.ParseDigest(reply.Base), Size: int(min(reply.Size, 1<<30)), Data: reply.Data,
	}, nil
}
