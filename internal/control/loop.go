package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/quarantine"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
)

var logger = logging.For("control")

// eventQueueSize is the capacity of the queues for events and pull requests.
const eventQueueSize = 256

// ShardManager reads and changes the shard table.
type ShardManager interface {
	Reconcile(ctx context.Context, view *membership.View, viewRead time.Time) (*shard.Table, error)
	Merge(table *shard.Table)
	ReleaseAll(ctx context.Context, levels map[string]int64) error
}

// Peers calls the Node service of other daemons.
type Peers interface {
	Exchange(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// Codec encodes and decodes the data that daemons exchange.
type Codec struct {
	OpenEnvelope func(envelope []byte) (*config.Revision, error)
	EncodeTable  func(table *shard.Table) ([]byte, error)
	DecodeTable  func(table []byte) (*shard.Table, error)
	// Delta returns the delta that turns the envelope base into target.
	Delta      func(base, target []byte) []byte
	ApplyDelta func(base, delta []byte) ([]byte, error)
}

// Options are the settings and dependencies of a Loop.
type Options struct {
	Settings  *config.Settings
	KV        platform.KV // nil if this daemon does not read the key-value service
	ConfigKey string      // key of the environment's envelope
	VMs       platform.VMList
	Shards    ShardManager // nil if this daemon gets the shard table only from peers
	Peers     Peers
	Codec     Codec
	// RestoreConfig writes a revision to the key-value service again that a restore of the
	// service lost, and reports whether it was lost; nil: nothing is written.
	RestoreConfig func(ctx context.Context, inForce *config.Revision) (bool, error)
	// Quarantine is exchanged with the peers; nil: a new one.
	Quarantine *quarantine.Quarantine
	// OnChange is called on the control goroutine after each new snapshot. It
	// must not block or call a Loop method that sends an event.
	OnChange func(*Snapshot)
}

// Loop owns the control state. Run is the control goroutine; all other methods
// are safe for concurrent use and change the state only by sending events.
type Loop struct {
	options   Options
	source    *AtomicSource
	archive   *archive
	events    chan queuedEvent
	pulls     chan string    // addresses of peers that have newer state
	pushes    chan *Snapshot // snapshots to push to peers
	viewReads chan time.Time // read times of VM lists; wakes the shard worker
	ready     chan struct{}  // closed once a document is known
	changed   chan struct{}  // wakes the watch worker after a new snapshot
	stopped   chan struct{}  // closed when the control goroutine has ended

	shardsMu       sync.Mutex // serializes the use of the shard manager
	shardsReleased bool
}

// event is a change of the control state. Only the control goroutine calls
// apply, which reports whether the state has changed.
type event interface {
	apply(state *Snapshot) bool
}

// queuedEvent is an event in the queue of the control goroutine, which closes
// done once the event is applied and its snapshot is published.
type queuedEvent struct {
	event
	done chan struct{}
}

// NewLoop returns a Loop with an empty snapshot.
func NewLoop(options Options) *Loop {
	if options.Quarantine == nil {
		options.Quarantine = quarantine.New(nil)
	}
	empty := &Snapshot{View: membership.NewView(nil)}
	return &Loop{
		options:   options,
		source:    NewAtomicSource(empty),
		archive:   newArchive(options.Codec),
		events:    make(chan queuedEvent, eventQueueSize),
		pulls:     make(chan string, eventQueueSize),
		pushes:    make(chan *Snapshot, 1),
		viewReads: make(chan time.Time, 1),
		ready:     make(chan struct{}),
		changed:   make(chan struct{}, 1),
		stopped:   make(chan struct{}),
	}
}

// Snapshot implements Source.
func (l *Loop) Snapshot() *Snapshot { return l.source.Snapshot() }

// Ready returns a channel that is closed once a document is known.
func (l *Loop) Ready() <-chan struct{} { return l.ready }

// Run is the control goroutine. It starts the workers that read from the
// platform and exchange state with peers, and returns when ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.registerMetrics()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := l.startWorkers(ctx)
	defer workers.Wait()
	defer close(l.stopped) // must run before Wait, since a worker may be blocked sending an event
	state := *l.source.Snapshot()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return
		case queued := <-l.events:
			l.handle(queued.event, &state)
			close(queued.done)
		}
	}
}

func (l *Loop) handle(e event, state *Snapshot) {
	before := *state
	if !e.apply(state) {
		return
	}
	if state.Config != before.Config {
		l.archive.add(state.Config)
	}
	published := *state
	l.source.Publish(&published)
	l.notify(&before, &published)
}

// notify wakes the workers and callbacks that depend on what changed between
// two snapshots.
func (l *Loop) notify(before, after *Snapshot) {
	newConfig := before.Config != after.Config
	if newConfig {
		logger.Info(logging.Fields{"revision": after.Config.Number}, "new document in force")
	}
	if newConfig && before.Config == nil {
		close(l.ready)
	}
	if newConfig || before.Shards != after.Shards {
		replace(l.pushes, after)
	}
	signal(l.changed)
	if l.options.OnChange != nil {
		l.options.OnChange(after)
	}
}

// replace sends value to a channel of capacity one, discarding an unread older
// value.
func replace[T any](ch chan T, value T) {
	for {
		select {
		case ch <- value:
			return
		default:
		}
		select {
		case <-ch:
		default:
		}
	}
}

// signal wakes the reader of a channel of capacity one. It does not block.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// send queues an event and waits until it is applied or the control goroutine
// has ended. It must not be called on the control goroutine, which would deadlock.
func (l *Loop) send(e event) {
	queued := queuedEvent{event: e, done: make(chan struct{})}
	select {
	case l.events <- queued:
	case <-l.stopped:
		return
	}
	select {
	case <-queued.done:
	case <-l.stopped:
	}
}

// configUpdate applies a document if its revision is higher than the current one. Keys that
// the current one withdraws stay withdrawn even if the new one was written without them,
// since a restore of the key-value service lost their withdrawal.
type configUpdate struct{ revision *config.Revision }

func (e configUpdate) apply(state *Snapshot) bool {
	if state.Config == nil {
		state.Config = e.revision
		return true
	}
	if e.revision.Number <= state.Config.Number {
		return false
	}
	state.Config = e.revision.WithWithdrawn(state.Config.Withdrawn)
	return true
}

// tableUpdate applies a shard table if its epoch is higher than the current one.
type tableUpdate struct{ table *shard.Table }

func (e tableUpdate) apply(state *Snapshot) bool {
	if state.Shards != nil && e.table.Epoch <= state.Shards.Epoch {
		return false
	}
	state.Shards = e.table
	return true
}

// viewUpdate applies a newly read VM list.
type viewUpdate struct {
	vms  []platform.VM
	self string
}

func (e viewUpdate) apply(state *Snapshot) bool {
	if state.View.BuiltFrom(e.vms) {
		return false
	}
	view := membership.NewView(e.vms)
	listed := slices.ContainsFunc(e.vms, func(vm platform.VM) bool {
		return vm.Address == e.self && vm.State == platform.VMLive
	})
	if state.View.Equal(view) && state.Listed == listed {
		return false
	}
	state.View = view
	state.Listed = listed
	return true
}

// drainUpdate starts or ends draining.
type drainUpdate struct{ draining bool }

func (e drainUpdate) apply(state *Snapshot) bool {
	if state.Draining == e.draining {
		return false
	}
	state.Draining = e.draining
	return true
}

// SetDraining starts or ends draining of this daemon.
func (l *Loop) SetDraining(draining bool) { l.send(drainUpdate{draining}) }

// OfferEnvelope applies a serialized envelope if its revision is newer. It ignores
// an empty envelope, and logs and drops an invalid one.
func (l *Loop) OfferEnvelope(envelope []byte) {
	if len(envelope) == 0 {
		return
	}
	revision, err := l.options.Codec.OpenEnvelope(envelope)
	if err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "dropped an invalid document")
		return
	}
	current := l.Snapshot().Config
	if current != nil && revision.Number <= current.Number {
		return
	}
	l.send(configUpdate{revision})
}

// offerDocument applies a document from a peer. It reports whether the document
// could be decoded; a delta to an unknown base could not.
func (l *Loop) offerDocument(d document) bool {
	if l.hasRevision(d.number) {
		return true
	}
	envelope, err := l.archive.decode(d)
	if err != nil {
		logger.Warn(logging.Fields{"base": d.base, "error": err.Error()}, "failed to apply a document delta")
		return false
	}
	if envelope == nil && d.base != 0 {
		return false
	}
	l.OfferEnvelope(envelope)
	return true
}

// hasRevision reports whether the document of that revision or a higher one is
// known, so that another copy need not be decoded.
func (l *Loop) hasRevision(number uint64) bool {
	current := l.Snapshot().Config
	return current != nil && number <= current.Number
}

// OfferTable applies a serialized shard table if its epoch is newer. It ignores an
// empty table, and logs and drops an invalid one.
func (l *Loop) OfferTable(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	table, err := l.options.Codec.DecodeTable(encoded)
	if err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "dropped an invalid shard table")
		return
	}
	l.send(tableUpdate{table})
}

// ObserveRevisions schedules a pull from the daemon at address if the revisions seen
// there are newer. When the queue is full, the pull is dropped.
func (l *Loop) ObserveRevisions(address string, seen *wire.Revisions) {
	if seen == nil || address == "" || !newer(seen, l.Snapshot().Revisions()) {
		return
	}
	select {
	case l.pulls <- address:
	default:
	}
}

// newer reports whether a has a higher document revision or shard epoch than b.
func newer(a, b *wire.Revisions) bool {
	return a.GetDocument() > b.GetDocument() || a.GetShardEpoch() > b.GetShardEpoch()
}

// PullNewer schedules a pull from a random peer if the revisions seen, for example
// at a router, are newer.
func (l *Loop) PullNewer(seen *wire.Revisions) {
	for _, address := range l.randomPeers(1) {
		l.ObserveRevisions(address, seen)
	}
}
