// Package follower keeps a gateway's belief about its deployment in step with
// the platform's store. One goroutine owns the belief and publishes immutable
// snapshots; another one reads the store for it.
package follower

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/deployment"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("follower")

type fields = logging.Fields

const (
	// watchWait is how long the store holds a call when nothing changes. A silent
	// connection is found out after it.
	watchWait = 1500 * time.Millisecond
	// gatherTime is how long changes are gathered between two watches, since each
	// call has its price. It is a tenth of the shortest time in which a change must
	// be in force.
	gatherTime = 150 * time.Millisecond
	// publishInterval is the longest time between two snapshots, so that what only
	// depends on time is looked at, too.
	publishInterval = time.Second
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 400 * time.Millisecond
	// idleSilence is the age of what others told after which an idle gateway reads the
	// store itself: the longest regular pause of a watch, and two exchanges of a large
	// fleet.
	idleSilence = MaxPause + 500*time.Millisecond
	// contactLostAfter is the silence after which the store counts as lost.
	contactLostAfter = 2500 * time.Millisecond
	// returnGrace is how long servers that vanished while the store was lost may
	// take to be listed again: two seconds, and the time until a watch tells.
	returnGrace = 2500 * time.Millisecond
)

// MaxPause is the longest regular time between two answers of the store.
const MaxPause = watchWait + gatherTime

// KeyPrefix starts the keys that gateways write.
const KeyPrefix = "wasabigate/"

// Keys of the gateways' own entries.
const (
	GatewayPrefix = KeyPrefix + "gateways/" // then the rpc address, a slash, and the incarnation
	LeaderKey     = KeyPrefix + "orders/leader"
)

// Item is what an entry of the store says. At most one field is set.
type Item struct {
	Config  *deployment.Config
	Server  *deployment.Server
	Weights Weights
}

// Weights is the version that operators want of a model's weights.
type Weights struct {
	Model   string
	Version uint64
}

// Layout decodes the entries that operators and backend servers write.
type Layout interface {
	// Decode returns what the entry says; an empty Item if it does not concern the
	// gateways.
	Decode(key string, value []byte, now time.Time) (Item, error)
	// ServerID returns the id of the backend server whose entry has the key.
	ServerID(key string) (string, bool)
}

// Follower follows the store.
type Follower struct {
	feed     platform.Feed
	layout   Layout
	onChange func(*deployment.Snapshot)
	batches  chan batch
	current  atomic.Pointer[deployment.Snapshot]
	started  time.Time
	contact  atomic.Int64 // when the store answered last, or was last confirmed by a peer; see stamp
	idle     atomic.Bool  // others watch the store for this process
	wake     atomic.Bool  // read the store once all the same
	known    atomic.Pointer[[]platform.Event]

	belief    belief    // of the owning goroutine
	published time.Time // by it
}

// batch is a set of changes in the order in which they were made.
type batch struct {
	events   []platform.Event
	position platform.Version
	complete bool          // events are the whole state
	named    []Named       // versions of weights that another gateway told of
	silence  time.Duration // of the store before the batch
}

// New returns a Follower. onChange is called by the owning goroutine with each
// new snapshot, and must not block.
func New(feed platform.Feed, layout Layout, onChange func(*deployment.Snapshot)) *Follower {
	f := &Follower{feed: feed, layout: layout, onChange: onChange, started: time.Now(), batches: make(chan batch), belief: newBelief()}
	f.current.Store((&deployment.Snapshot{}).Index())
	return f
}

// Snapshot returns what is believed now. It is never nil.
func (f *Follower) Snapshot() *deployment.Snapshot { return f.current.Load() }

// Known returns the entries that were written or deleted after a position, and the
// position up to which they are known.
func (f *Follower) Known(after platform.Version) ([]platform.Event, platform.Version) {
	known := f.known.Load()
	if known == nil {
		return nil, 0
	}
	var events []platform.Event
	for _, event := range *known {
		if event.Version > after {
			events = append(events, event)
		}
	}
	return events, platform.Version(f.Snapshot().Position)
}

// Learn takes in what another gateway knows after this one's position. age is the
// time since the store confirmed it.
func (f *Follower) Learn(ctx context.Context, events []platform.Event, position platform.Version, age time.Duration) {
	silence := f.Silence(time.Now())
	select {
	case f.batches <- batch{events: events, position: position, silence: silence}:
		f.Confirm(age)
	case <-ctx.Done():
	}
}

// Confirm notes that another gateway knows no more than this one, and that the store
// confirmed it that long ago.
func (f *Follower) Confirm(age time.Duration) { f.stamp(time.Now().Add(-age)) }

// stamp moves the time of the last contact forward. It is kept as nanoseconds since
// the start, from 1; 0 means none.
func (f *Follower) stamp(at time.Time) {
	next := int64(at.Sub(f.started)) + 1
	for {
		last := f.contact.Load()
		if next <= last || f.contact.CompareAndSwap(last, next) {
			return
		}
	}
}

// SetIdle says whether other gateways watch the store for this one. It reads the
// store again by itself when they fall silent.
func (f *Follower) SetIdle(idle bool) { f.idle.Store(idle) }

// Wake makes an idle gateway read the store once: what others know could not be had
// from them in time, such as a large configuration over a thin link.
func (f *Follower) Wake() { f.wake.Store(true) }

// Named is a version of a model's weights, and when a gateway learned of it.
type Named struct {
	Model string
	deployment.NamedWeights
}

// LearnNamed takes in when another gateway learned of versions of weights.
func (f *Follower) LearnNamed(ctx context.Context, named []Named) {
	if !f.isNews(named) {
		return
	}
	select {
	case f.batches <- batch{named: named}:
	case <-ctx.Done():
	}
}

// earlierBy is the least difference between two gateways' times that matters: the
// time that an exchange takes is uncertain.
const earlierBy = 200 * time.Millisecond

// isNews says whether any of the versions was learned of notably earlier than here.
func (f *Follower) isNews(named []Named) bool {
	weights := f.Snapshot().Weights
	for i := range named {
		later := named[i].NamedWeights
		later.Since = later.Since.Add(earlierBy)
		if _, news := weights[named[i].Model].Heard(later); news {
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

// Silence returns the time since the store answered last.
func (f *Follower) Silence(now time.Time) time.Duration {
	contact := f.contact.Load()
	if contact == 0 {
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(int64(now.Sub(f.started)) - contact)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var reader sync.WaitGroup
	defer reader.Wait()
	reader.Go(func() { f.read(ctx) })
	ticker := time.NewTicker(gatherTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-f.batches:
			f.apply(b, time.Now())
		case <-ticker.C:
			if f.belief.expire(time.Now()) || time.Since(f.published) >= publishInterval {
				f.publish()
			}
		}
	}
}

// apply changes the belief and publishes it.
func (f *Follower) apply(b batch, now time.Time) {
	if b.complete {
		keys, servers := f.keysOf(b.events)
		f.belief.begin(keys, servers, b.silence, now)
	}
	changed := b.complete
	for i := range b.events {
		changed = f.applyEvent(&b.events[i], b.silence, now) || changed
	}
	for i := range b.named {
		changed = f.belief.applyNamed(&b.named[i]) || changed
	}
	f.belief.position = max(f.belief.position, uint64(b.position))
	if changed {
		f.publish()
	}
}

// keysOf returns the keys of the whole state, and the ids of its backend servers.
func (f *Follower) keysOf(state []platform.Event) (keys, servers map[string]struct{}) {
	keys = make(map[string]struct{}, len(state))
	servers = make(map[string]struct{})
	for i := range state {
		keys[state[i].Key] = struct{}{}
		if id, ok := f.layout.ServerID(state[i].Key); ok {
			servers[id] = struct{}{}
		}
	}
	return keys, servers
}

func (f *Follower) applyEvent(event *platform.Event, silence time.Duration, now time.Time) bool {
	if !f.belief.isNews(event) {
		return false
	}
	f.belief.keep(event)
	if strings.HasPrefix(event.Key, KeyPrefix) {
		return f.belief.applyOwn(event)
	}
	id, isServer := f.layout.ServerID(event.Key)
	if event.Deleted {
		return isServer && f.belief.removeServer(id, silence >= contactLostAfter, now)
	}
	item, err := f.layout.Decode(event.Key, event.Value, now)
	if err != nil {
		logger.Warn(fields{"key": event.Key, "revision": uint64(event.Version), "error": err.Error()}, "entry passed by")
		return isServer && f.belief.removeServer(id, false, now)
	}
	return f.belief.applyItem(&item, now)
}

func (f *Follower) publish() {
	f.published = time.Now()
	known := f.belief.known()
	f.known.Store(&known)
	snapshot := f.belief.snapshot()
	f.onChange(snapshot)
	f.current.Store(snapshot)
}

// read passes the store's state and changes on until ctx ends.
func (f *Follower) read(ctx context.Context) {
	pause := retryMin
	lost := false
	for ctx.Err() == nil {
		position, err := f.readAll(ctx)
		for err == nil {
			if lost {
				logger.Info(fields{"position": uint64(position)}, "store regained")
				lost = false
			}
			pause = retryMin
			if f.rest(ctx) {
				position = max(position, platform.Version(f.Snapshot().Position))
			}
			position, err = f.watch(ctx, position)
		}
		if ctx.Err() != nil {
			return
		}
		if !lost && !errors.Is(err, platform.ErrCompacted) {
			logger.Warn(fields{"error": err.Error()}, "store lost")
			lost = true
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, f.maxPause())
	}
}

// maxPause returns the longest pause between two tries to read the store. A gateway
// that knows no configuration serves nobody.
func (f *Follower) maxPause() time.Duration {
	if !f.Snapshot().Ready() {
		return retryMin
	}
	return retryMax
}

// rest waits while other gateways watch the store for this one, and says whether it
// did.
func (f *Follower) rest(ctx context.Context) bool {
	rested := false
	for ctx.Err() == nil && f.idle.Load() && !f.wake.Swap(false) && f.Silence(time.Now()) < idleSilence {
		clock.Sleep(ctx, gatherTime)
		rested = true
	}
	return rested
}

// readAll reads the whole state.
func (f *Follower) readAll(ctx context.Context) (platform.Version, error) {
	entries, position, err := f.feed.Read(ctx, "")
	if err != nil {
		return 0, err
	}
	return position, f.pass(ctx, batch{events: eventsOf(entries), position: position, complete: true})
}

// watch waits for changes. A call that fails is repeated a few times from the same
// position, since reading everything costs more.
func (f *Follower) watch(ctx context.Context, after platform.Version) (platform.Version, error) {
	var err error
	for pause := retryMin; ; pause = min(2*pause, retryMax) {
		var events []platform.Event
		var position platform.Version
		events, position, err = f.feed.Changes(ctx, "", after, watchWait)
		if err == nil {
			clock.Sleep(ctx, gatherTime)
			return position, f.pass(ctx, batch{events: events, position: position})
		}
		if errors.Is(err, platform.ErrCompacted) || errors.Is(err, platform.ErrNotFound) || ctx.Err() != nil {
			return 0, err
		}
		if f.Silence(time.Now()) > contactLostAfter {
			return 0, err
		}
		clock.Sleep(ctx, pause)
	}
}

// pass gives a batch to the owning goroutine.
func (f *Follower) pass(ctx context.Context, b batch) error {
	now := time.Now()
	b.silence = f.Silence(now)
	f.stamp(now)
	select {
	case f.batches <- b:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
