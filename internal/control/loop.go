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
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
	"github.com/wasabigate/wasabigate/internal/shard"
)

var logger = logging.For("control")

// eventQueueSize is the number of events that may wait for the control goroutine.
const eventQueueSize = 256

// ShardManager reads and changes the shard table.
type ShardManager interface {
	Step(ctx context.Context, view *membership.View, viewRead time.Time) (*shard.Table, error)
	Learn(table *shard.Table)
	HandBack(ctx context.Context, levels map[string]int64) error
}

// Peers reaches the Node service of other daemons.
type Peers interface {
	Exchange(ctx context.Context, address string, req *wire.ExchangeRequest) (*wire.ExchangeReply, error)
}

// Codec reads the serialized forms that daemons pass on.
type Codec struct {
	OpenEnvelope func(envelope []byte) (*config.Revision, error)
	EncodeTable  func(table *shard.Table) ([]byte, error)
	DecodeTable  func(table []byte) (*shard.Table, error)
	// Delta returns what a peer that has the envelope base needs to make target.
	Delta      func(base, target []byte) []byte
	ApplyDelta func(base, delta []byte) ([]byte, error)
}

// Options are the parts that a Loop works with.
type Options struct {
	Settings  *config.Settings
	KV        platform.KV // nil: this daemon never reads the key-value service
	ConfigKey string      // key of the environment's envelope
	VMs       platform.VMList
	Shards    ShardManager // nil: this daemon only learns the table from peers
	Peers     Peers
	Codec     Codec
	// OnChange is called by the control goroutine after each new snapshot. It
	// must neither block nor call a method of the Loop that sends an event.
	OnChange func(*Snapshot)
}

// Loop owns the control state. Its Run method is the control goroutine; all
// other methods are safe for concurrent use and only send it events.
type Loop struct {
	options Options
	cell    *Cell
	archive *archive
	events  chan queuedEvent
	pulls   chan string    // addresses that have something newer
	pushes  chan *Snapshot // snapshots to push to peers
	viewReads  chan time.Time // a view was read; wakes the shard worker
	ready   chan struct{}  // closed when a document is known
	changed chan struct{}  // signals a new snapshot to the watch worker
	stopped chan struct{}  // closed when the control goroutine has ended

	shardsMu   sync.Mutex // held by whoever uses the shard manager
	shardsReleased bool
}

// event changes the control state. Only the control goroutine calls apply,
// which says whether the state has changed.
type event interface {
	apply(state *Snapshot) bool
}

// queuedEvent is an event on its way to the control goroutine, which closes done
// once the event is applied and published.
type queuedEvent struct {
	event
	done chan struct{}
}

// NewLoop returns a Loop that knows nothing yet.
func NewLoop(options Options) *Loop {
	empty := &Snapshot{View: membership.NewView(nil)}
	return &Loop{
		options: options,
		cell:    NewCell(empty),
		archive: newArchive(options.Codec),
		events:  make(chan queuedEvent, eventQueueSize),
		pulls:   make(chan string, eventQueueSize),
		pushes:  make(chan *Snapshot, 1),
		viewReads:  make(chan time.Time, 1),
		ready:   make(chan struct{}),
		changed: make(chan struct{}, 1),
		stopped: make(chan struct{}),
	}
}

// Snapshot implements Source.
func (l *Loop) Snapshot() *Snapshot { return l.cell.Snapshot() }

// Ready is closed as soon as a document is known.
func (l *Loop) Ready() <-chan struct{} { return l.ready }

// Run is the control goroutine. It starts the workers that read the platform
// and talk to peers, and returns when ctx ends.
func (l *Loop) Run(ctx context.Context) {
	l.registerMetrics()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	workers := l.startWorkers(ctx)
	defer workers.Wait()
	defer close(l.stopped) // before the wait: a worker may be sending an event
	state := *l.cell.Snapshot()
	for {
		select {
		case <-ctx.Done():
			cancel()
			return
		case m := <-l.events:
			l.handle(m.event, &state)
			close(m.done)
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
	l.cell.Publish(&published)
	l.notify(&before, &published)
}

// notify tells the other parts what has changed between two snapshots.
func (l *Loop) notify(before, after *Snapshot) {
	newConfig := before.Config != after.Config
	if newConfig {
		logger.Info(logging.Fields{"revision": after.Config.Number}, "document in force")
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

// replace puts value into a channel of capacity one in place of an older one.
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

// signal wakes the reader of a channel of capacity one.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// send passes an event to the control goroutine and waits until it is applied
// or the control goroutine has ended. The control goroutine must not call it.
func (l *Loop) send(e event) {
	m := queuedEvent{event: e, done: make(chan struct{})}
	select {
	case l.events <- m:
	case <-l.stopped:
		return
	}
	select {
	case <-m.done:
	case <-l.stopped:
	}
}

// configUpdate offers a document.
type configUpdate struct{ revision *config.Revision }

func (e configUpdate) apply(state *Snapshot) bool {
	if state.Config != nil && e.revision.Number <= state.Config.Number {
		return false
	}
	state.Config = e.revision
	return true
}

// tableUpdate offers a shard table.
type tableUpdate struct{ table *shard.Table }

func (e tableUpdate) apply(state *Snapshot) bool {
	if state.Shards != nil && e.table.Epoch <= state.Shards.Epoch {
		return false
	}
	state.Shards = e.table
	return true
}

// viewUpdate brings a read VM list.
type viewUpdate struct {
	vms  []platform.VM
	self string
}

func (e viewUpdate) apply(state *Snapshot) bool {
	if state.View.MadeOf(e.vms) {
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

// OfferEnvelope offers a serialized envelope. A broken one is dropped.
func (l *Loop) OfferEnvelope(envelope []byte) {
	if len(envelope) == 0 {
		return
	}
	revision, err := l.options.Codec.OpenEnvelope(envelope)
	if err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "unreadable document dropped")
		return
	}
	current := l.Snapshot().Config
	if current != nil && revision.Number <= current.Number {
		return
	}
	l.send(configUpdate{revision})
}

// offerDocument takes a document from a peer. It says whether the document could
// be read: a delta to an unknown envelope can't.
func (l *Loop) offerDocument(d document) bool {
	if l.hasRevision(d.number) {
		return true
	}
	envelope, err := l.archive.decode(d)
	if err != nil {
		logger.Warn(logging.Fields{"base": d.base, "error": err.Error()}, "delta not applied")
		return false
	}
	if envelope == nil && d.base != 0 {
		return false
	}
	l.OfferEnvelope(envelope)
	return true
}

// hasRevision says whether the document of that revision or a higher one is known, so
// that another copy need not be read.
func (l *Loop) hasRevision(number uint64) bool {
	current := l.Snapshot().Config
	return current != nil && number <= current.Number
}

// OfferTable offers a serialized shard table. A broken one is dropped.
func (l *Loop) OfferTable(encoded []byte) {
	if len(encoded) == 0 {
		return
	}
	table, err := l.options.Codec.DecodeTable(encoded)
	if err != nil {
		logger.Warn(logging.Fields{"error": err.Error()}, "unreadable shard table dropped")
		return
	}
	l.send(tableUpdate{table})
}

// SawRevisions tells the loop what the daemon at address has. If that is newer,
// the loop pulls it.
func (l *Loop) SawRevisions(address string, seen *wire.Revisions) {
	if seen == nil || address == "" || !newer(seen, l.Snapshot().Revisions()) {
		return
	}
	select {
	case l.pulls <- address:
	default:
	}
}

// newer says whether a holds anything newer than b.
func newer(a, b *wire.Revisions) bool {
	return a.GetDocument() > b.GetDocument() || a.GetShardEpoch() > b.GetShardEpoch()
}

// PullNewer tells the loop that some router has newer state; the loop asks one
// of them.
func (l *Loop) PullNewer(seen *wire.Revisions) {
	for _, address := range l.randomPeers(1) {
		l.SawRevisions(address, seen)
	}
}
