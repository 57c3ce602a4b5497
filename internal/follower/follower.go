// Package follower keeps a gateway's cached state of its deployment up to date with
// the platform's store. One goroutine owns the state and publishes immutable
// snapshots; another one reads and watches the store.
package follower

import (
	"bytes"
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/metric"

	"github.com/wasabigate/wasabigate/internal/canary"
	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/guard"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("follower")

type fields = logging.Fields

const (
	// watchWait is how long a watch call waits in the store for a change. A dead
	// connection is noticed after this time.
	watchWait = 1400 * time.Millisecond
	// batchInterval is the pause between two watch calls, in which changes accumulate,
	// since each call has a cost. It is a tenth of the shortest time in which a change
	// must be in force.
	batchInterval = 150 * time.Millisecond
	// publishInterval is the longest time between two snapshots. It bounds the delay of
	// changes that depend on time alone.
	publishInterval = time.Second
	// minBackoff and maxBackoff bound the back-off after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// maxIdleStaleness is the staleness at which an idle gateway reads the store itself: the
	// longest interval of a watch, plus an exchange. A removal must be in force within two
	// seconds also if the gateways that watch for it fall silent.
	maxIdleStaleness = MaxPollInterval + 300*time.Millisecond
)

// MaxPollInterval is the longest interval between two answers of a healthy store.
const MaxPollInterval = watchWait + batchInterval

// KeyPrefix is the prefix of the keys that gateways write.
const KeyPrefix = "wasabigate/"

// Keys of the entries that gateways write.
const (
	GatewayPrefix = KeyPrefix + "gateways/" // followed by the RPC address, a slash, and the incarnation
	LeaderKey     = KeyPrefix + "orders/leader"
	CrashesKey    = KeyPrefix + "crashes" // what crashes backend servers, for gateways that start
	ProbePrefix   = KeyPrefix + "probes/" // followed by the ID of a probe of a request that crashes servers
	// WeightsAgePrefix is followed by a model, a target version of its weights and a time in
	// milliseconds. Such a key is there if the version was named less than that time ago.
	WeightsAgePrefix = KeyPrefix + "weights/"
	StreamsPrefix    = KeyPrefix + "streams/" // followed by the name of a service
	CanaryPrefix     = KeyPrefix + "canary/"  // followed by the name of a service
	// CanaryOwnerPrefix is the prefix of the lease key, which is no service's.
	CanaryOwnerPrefix = CanaryPrefix + "owner/"
	CanaryOwnerKey    = CanaryOwnerPrefix + "lease"
)

// Item is a decoded entry of the store. At most one field is set.
type Item struct {
	Config  *deployment.Config
	Server  *deployment.Server
	Weights Weights
	Order   *canary.Order
}

// Weights is the target version of a model's weights, as set by operators.
type Weights struct {
	Model   string
	Version uint64
}

// Layout decodes the entries that operators and backend servers write.
type Layout interface {
	// Decode returns the decoded entry, or an empty Item if gateways do not use the
	// entry.
	Decode(key string, value []byte, now time.Time) (Item, error)
	// ServerID returns the ID of the backend server whose entry has the key.
	ServerID(key string) (string, bool)
	// FromOperator reports whether operators write the entry with the key. Such an entry
	// has a version of its own that only grows.
	FromOperator(key string) bool
}

// Follower keeps the cached state of the deployment up to date.
type Follower struct {
	feed      platform.Feed
	layout    Layout
	onChange  func(*deployment.Snapshot)
	batches   chan batch
	current   atomic.Pointer[deployment.Snapshot]
	started   time.Time
	confirmed atomic.Int64          // when the state was last confirmed by the store or a peer; see setConfirmed
	idle      atomic.Bool           // other gateways watch the store for this one
	forceRead atomic.Bool           // read the store once although idle
	known     atomic.Pointer[known] // for other gateways
	failures  failures              // of calls to the store
	invalid   metric.Int64Counter   // entries that could not be decoded
	awaiting  atomic.Bool           // snapshots are not ready before other gateways were heard
	heard     chan struct{}         // closed once they were

	configChanged chan struct{}

	awaitLimit time.Duration // for which they are waited for; 0: not, or the time is running

	state     state     // owned by the goroutine of Run
	published time.Time // owned by the goroutine of Run
}

// batch is a list of changes in the order in which they were made.
type batch struct {
	events    []platform.Event
	position  platform.Version
	complete  bool             // events are the whole content of the store at the position
	reached   platform.Version // up to which it has all but operators' entries, if above the position
	operators bool             // events are operators' entries of any position
	applied   chan<- struct{}  // closed when the batch has been applied, or nil
	reports   []TargetReport   // another gateway's reports of target versions
	retired   []Retired        // last entries of servers that another gateway knows
	// grace is how long servers that disappeared are kept, since the store may have lost
	// their entries in an outage; 0: they are removed at once.
	grace time.Duration
}

// New returns a Follower. Run calls onChange with each new snapshot; onChange must not
// block.
func New(feed platform.Feed, layout Layout, onChange func(*deployment.Snapshot)) *Follower {
	f := &Follower{feed: feed, layout: layout, onChange: onChange, started: time.Now(), batches: make(chan batch), heard: make(chan struct{}), configChanged: make(chan struct{}, 1), state: newState()}
	var err error
	f.invalid, err = otel.Meter("wasabigate/follower").Int64Counter("wasabigate.follower.invalid_entries", metric.WithUnit("{entry}"), metric.WithDescription("Entries of the store that could not be decoded."))
	if err != nil {
		otel.Handle(err)
	}
	f.current.Store((&deployment.Snapshot{}).Index())
	return f
}

// Snapshot returns the current snapshot, which is never nil.
func (f *Follower) Snapshot() *deployment.Snapshot { return f.current.Load() }

// OperatorEvents returns the operators' entries that are in force.
func (f *Follower) OperatorEvents() []platform.Event {
	if known := f.known.Load(); known != nil {
		return known.operators
	}
	return nil
}

// FromOperator reports whether operators write the entry with the key.
func (f *Follower) FromOperator(key string) bool { return f.layout.FromOperator(key) }

// ConfigChanged returns a channel that receives a value after a snapshot with another
// configuration was published.
func (f *Follower) ConfigChanged() <-chan struct{} { return f.configChanged }

// MergeOperatorEvents merges the operators' entries that are in force at another gateway,
// whatever the store has now: a restored store may have lost them. It returns when they are in
// force here, or ctx ends.
func (f *Follower) MergeOperatorEvents(ctx context.Context, events []platform.Event) {
	applied := make(chan struct{})
	select {
	case f.batches <- batch{events: events, operators: true, applied: applied}:
	case <-ctx.Done():
		return
	}
	select {
	case <-applied:
	case <-ctx.Done():
	}
}

// Confirm records that another gateway has no newer state than this one, and that the
// store confirmed its state age ago.
func (f *Follower) Confirm(age time.Duration) { f.setConfirmed(time.Now().Add(-age)) }

// setConfirmed moves the time of the last confirmation forward, never back. It is stored
// as nanoseconds since the start plus 1; 0 means none.
func (f *Follower) setConfirmed(at time.Time) {
	next := int64(at.Sub(f.started)) + 1
	for {
		last := f.confirmed.Load()
		if next <= last || f.confirmed.CompareAndSwap(last, next) {
			return
		}
	}
}

// SetIdle sets whether other gateways watch the store for this one. An idle Follower
// reads the store again when the state gets too stale.
func (f *Follower) SetIdle(idle bool) { f.idle.Store(idle) }

// ForceRead makes an idle gateway read the store once. It is used if the state of others
// could not be fetched in time, such as a large configuration over a slow link.
func (f *Follower) ForceRead() { f.forceRead.Store(true) }

// TargetReport is a target version of a model's weights, and when a gateway learned of it.
type TargetReport struct {
	Model string
	deployment.WeightsVersion
}

// MergeReports merges another gateway's reports of when it learned of target versions.
func (f *Follower) MergeReports(ctx context.Context, reports []TargetReport) {
	if !f.hasEarlier(reports) {
		return
	}
	select {
	case f.batches <- batch{reports: reports}:
	case <-ctx.Done():
	}
}

// reportTolerance is the difference between two gateways' times that is ignored, since
// the delay of an exchange is not known exactly.
const reportTolerance = 200 * time.Millisecond

// hasEarlier reports whether another gateway learned of any target version earlier
// than this one by more than reportTolerance.
func (f *Follower) hasEarlier(reports []TargetReport) bool {
	weights := f.Snapshot().Weights
	for i := range reports {
		shifted := reports[i].WeightsVersion
		shifted.Since = shifted.Since.Add(reportTolerance)
		if _, earlier := weights[reports[i].Model].MergeVersion(shifted); earlier {
			return true
		}
	}
	return false
}

func eventsOf(entries []platform.Entry) []platform.Event {
	events := make([]platform.Event, 0, len(entries))
	for _, entry := range entries {
		events = append(events, platform.Event{Entry: entry})
	}
	return events
}

// Staleness returns the time since the store, directly or through a peer, last confirmed
// the state; the longest duration if it never did.
func (f *Follower) Staleness(now time.Time) time.Duration {
	confirmed := f.confirmed.Load()
	if confirmed == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(int64(now.Sub(f.started)) - confirmed)
}

// Run keeps the state up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() { f.readLoop(ctx) })
	ticker := time.NewTicker(batchInterval)
	defer ticker.Stop()
	heard := f.heard
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-f.batches:
			f.apply(b, time.Now())
			if b.applied != nil {
				close(b.applied)
			}
		case <-f.state.leaving.changed:
			if f.state.markLeaving() {
				f.publish()
			}
		case <-heard:
			heard = nil
			f.publish()
		case <-ticker.C:
			if f.state.removeExpired(time.Now()) || time.Since(f.published) >= publishInterval {
				f.publish()
			}
		}
	}
}

// apply applies a batch to the state and publishes a snapshot if it changed.
func (f *Follower) apply(b batch, now time.Time) {
	changed := false
	switch {
	case b.operators:
		changed = f.applyOperatorEvents(b.events, now)
		if changed {
			logger.Info(fields{"entries": len(b.events)}, "operators' entries taken from another gateway")
		}
	case b.reports != nil:
		for i := range b.reports {
			changed = f.state.applyReport(&b.reports[i]) || changed
		}
	case b.retired != nil:
		f.state.applyRetired(b.retired, now)
		changed = true // also other gateways are to know
	case b.position.Era() < f.state.position.Era():
		// Read before a restore of the store that this state already includes.
	case b.complete && max(b.position, b.reached) < f.state.reached:
		// Read before newer changes came from another gateway, but maybe not newer operators' entries.
		changed = f.applyOperatorEvents(b.events, now)
	default:
		changed = f.applyStoreBatch(&b, now)
	}
	if changed {
		f.publish()
	}
}

// applyStoreBatch applies what the store returned, directly or through another gateway. It
// reports whether the state changed.
func (f *Follower) applyStoreBatch(b *batch, now time.Time) bool {
	grace := b.grace
	if era := b.position.Era(); f.state.position != 0 && era != f.state.position.Era() {
		f.state.startEra(b.position)
		defer func() { f.state.restored = false }()
		grace = relistGrace
	}
	if grace > 0 {
		f.state.graceUntil = now.Add(grace)
	}
	if b.complete {
		keys, servers := f.keysOf(b.events)
		f.state.removeMissing(keys, servers, f.layout.FromOperator, grace, now)
	}
	changed := b.complete
	for i := range b.events {
		event := &b.events[i]
		included := f.state.reached
		if f.layout.FromOperator(event.Key) {
			included = f.state.position
		}
		if !b.complete && event.Version <= included {
			continue // the state includes it, or a later one of its key
		}
		changed = f.applyEvent(event, grace, now) || changed
	}
	reached := max(b.position, b.reached)
	f.state.position, f.state.reached = max(f.state.position, b.position), max(f.state.reached, reached)
	if b.complete {
		f.state.since = max(f.state.since, reached)
	}
	return changed
}

// applyOperatorEvents applies operators' entries by the versions that operators gave them.
func (f *Follower) applyOperatorEvents(events []platform.Event, now time.Time) bool {
	changed := false
	for i := range events {
		event := &events[i]
		changed = f.layout.FromOperator(event.Key) && f.applyOperatorEvent(event, now) || changed
	}
	return changed
}

// keysOf returns the keys of the events, and the IDs of the backend servers among them.
func (f *Follower) keysOf(events []platform.Event) (keys, servers map[string]struct{}) {
	keys = make(map[string]struct{}, len(events))
	servers = make(map[string]struct{})
	for i := range events {
		keys[events[i].Key] = struct{}{}
		if id, ok := f.layout.ServerID(events[i].Key); ok {
			servers[id] = struct{}{}
		}
	}
	return keys, servers
}

// applyEvent applies an event if it is newer than the last one of its key, and reports
// whether the state changed. A backend server whose entry cannot be decoded is removed.
func (f *Follower) applyEvent(event *platform.Event, grace time.Duration, now time.Time) bool {
	if !f.state.isNewer(event) {
		return false
	}
	if strings.HasPrefix(event.Key, KeyPrefix) {
		f.state.record(event)
		return f.state.applyGatewayEntry(event)
	}
	if f.layout.FromOperator(event.Key) {
		return f.applyOperatorEvent(event, now)
	}
	id, isServer := f.layout.ServerID(event.Key)
	if event.Deleted {
		f.state.record(event)
		return isServer && f.state.removeServer(id, grace, now)
	}
	item, err := f.decode(event, now)
	if err != nil {
		unusable := *event
		unusable.Value = nil // other gateways can't decode it either, and it may be large
		f.state.record(&unusable)
		return isServer && f.state.removeServer(id, 0, now)
	}
	f.state.record(event)
	if item.Server != nil && f.state.restored {
		return f.state.applyRestoredServer(item.Server, now)
	}
	return f.state.applyItem(&item, now)
}

// applyOperatorEvent applies an entry that operators wrote. If the one in force is newer,
// which a restored store may have lost, that one is kept for other gateways.
func (f *Follower) applyOperatorEvent(event *platform.Event, now time.Time) bool {
	if event.Deleted {
		return false
	}
	if known := f.state.latest[event.Key]; event.Key == f.state.configKey && len(event.Value) > 0 && bytes.Equal(known.Value, event.Value) {
		if event.Version > known.Version {
			f.state.record(event)
		}
		return false // it is in force, and decoding it again may take long
	}
	begun := time.Now()
	item, err := f.decode(event, now)
	if err != nil {
		return false
	}
	applied := false
	if item.Order != nil {
		applied = f.state.applyOrder(item.Order, event.Version)
	} else {
		applied = f.state.applyItem(&item, now)
	}
	if !applied {
		return false
	}
	f.state.record(event)
	if config := item.Config; config != nil {
		f.state.configKey = event.Key
		logger.Info(fields{
			logging.FieldConfigVersion: config.Version, "routes": len(config.Routes), "workspaces": len(config.Workspaces),
			"bytes": len(event.Value), "decode_ms": time.Since(begun).Milliseconds(), "revision": event.Version.Revision(), "position": f.state.position.Revision(),
		}, "configuration in force")
	}
	return true
}

// decode decodes an entry, and logs a failure.
func (f *Follower) decode(event *platform.Event, now time.Time) (Item, error) {
	var item Item
	err := guard.Call("entry of the store", func() (err error) {
		item, err = f.layout.Decode(event.Key, event.Value, now)
		return err
	})
	if err != nil {
		f.invalid.Add(context.Background(), 1)
		logger.Warn(fields{"key": event.Key, "revision": event.Version.Revision(), "error": err.Error()}, "entry not decoded")
	}
	return item, err
}

func (f *Follower) publish() {
	f.published = time.Now()
	f.known.Store(f.state.known(f.layout.FromOperator))
	f.limitWait()
	snapshot := f.state.snapshot()
	snapshot.Starting = f.awaiting.Load()
	f.onChange(snapshot)
	if former := f.current.Swap(snapshot); former.Config != snapshot.Config {
		select {
		case f.configChanged <- struct{}{}:
		default: // one is waiting already
		}
	}
}

// readLoop reads and watches the store until ctx ends, and sends batches to Run.
func (f *Follower) readLoop(ctx context.Context) {
	backoff := minBackoff
	lost := false
	for ctx.Err() == nil {
		position, err := f.readAll(ctx)
		for err == nil {
			if lost {
				logger.Info(fields{"position": position.Revision(), "era": uint64(position.Era())}, "store regained")
				lost = false
			}
			backoff = minBackoff
			if f.waitWhileIdle(ctx) {
				position = max(position, f.Snapshot().Position)
				if f.isLinkUnknown() && !f.idle.Load() {
					position, err = f.readAll(ctx)
					continue
				}
			}
			position, err = f.watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		f.failures.record(err)
		if !lost && !errors.Is(err, platform.ErrCompacted) {
			logger.Warn(fields{"error": err.Error()}, "store lost")
			lost = true
		}
		clock.Sleep(ctx, backoff)
		backoff = min(2*backoff, f.backoffLimit())
	}
}

// backoffLimit returns the longest back-off between two attempts to read the store. It is
// short while no configuration is known, since the gateway serves no requests then.
func (f *Follower) backoffLimit() time.Duration {
	if f.Snapshot().Config == nil {
		return minBackoff
	}
	return maxBackoff
}

// waitWhileIdle waits while other gateways watch the store for this one, and reports
// whether it waited.
func (f *Follower) waitWhileIdle(ctx context.Context) bool {
	waited := false
	for ctx.Err() == nil && f.idle.Load() && !f.forceRead.Swap(false) {
		left := maxIdleStaleness - f.Staleness(time.Now())
		if left <= 0 {
			break
		}
		_ = clock.Sleep(ctx, min(left, batchInterval)) // the loop checks ctx
		waited = true
	}
	return waited
}

// isLinkUnknown reports whether the link to the store is to be measured. One that begins to watch
// reads all entries for that: if its link is narrow, another one is to watch before the next change.
func (f *Follower) isLinkUnknown() bool {
	meter, ok := f.feed.(platform.LinkMeter)
	return ok && !meter.IsMeasured()
}

// readAll reads all entries of the store.
func (f *Follower) readAll(ctx context.Context) (platform.Version, error) {
	entries, position, err := f.feed.Read(ctx, "")
	if err != nil {
		return 0, err
	}
	return position, f.send(ctx, batch{events: eventsOf(entries), position: position, complete: true})
}

// watch waits for changes after a position, and then for batchInterval. A failed call is
// retried from the same position until the store counts as lost, since reading all entries
// costs more.
func (f *Follower) watch(ctx context.Context, after platform.Version) (platform.Version, error) {
	wait := watchWait
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		events, position, err := f.feed.Changes(ctx, "", after, wait)
		if err == nil {
			err = f.send(ctx, batch{events: events, position: position})
			_ = clock.Sleep(ctx, batchInterval) // the caller checks ctx
			return position, err
		}
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrNotFound) || ctx.Err() != nil {
			return 0, err
		}
		if f.Staleness(time.Now()) > storeLostAfter {
			return 0, err
		}
		f.failures.record(err)
		wait = recheckWait
		_ = clock.Sleep(ctx, backoff) // the next call fails if ctx has ended
	}
}

// send passes a batch that was read from the store to Run, and records that the store
// confirmed the state.
func (f *Follower) send(ctx context.Context, b batch) error {
	now := time.Now()
	b.grace = f.failures.graceAfter(f.Staleness(now))
	f.failures.reset()
	f.setConfirmed(now)
	select {
	case f.batches <- b:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
