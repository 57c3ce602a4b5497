package limit

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/control"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/shard"
)

// Options configures a Local.
type Options struct {
	Self              string // this router's RPC address
	Source            control.Source
	Peers             Peers
	Wait              time.Duration // longest wait for the tokens of a request
	RebalanceInterval time.Duration // interval between rebalances; 0: defaultRebalanceInterval
	// RefusalTime bounds the time after which a request that lacks tokens is refused, if
	// the owners usually respond faster. It shortens Wait; 0: no bound.
	RefusalTime time.Duration
}

// Local manages the tokens of the shards that this router owns. It implements
// Limiter and wire.DRPCLimitsServer.
type Local struct {
	self              string
	source            control.Source
	peers             Peers
	wait              time.Duration
	rebalanceInterval time.Duration
	refusalTime       time.Duration
	spawn             func(func()) // starts a goroutine; simulations run the function instead
	incarnation       uint64
	pauseGuard        *pauseGuard
	log               logging.Logger
	meters            meters
	refunds           refunds
	health            health
	state             atomic.Pointer[state]
	wasListed         atomic.Bool // this router has been in the VM list

	mu           sync.Mutex // guards the fields below and changes of state
	released     shardSet   // being given up by a write whose outcome is not known yet
	releaseEpoch uint64     // epoch of the table that the write is based on
}

// state is what Local derives from a snapshot. It is immutable but for the
// buckets.
type state struct {
	config  *config.Revision
	table   *shard.Table
	epoch   uint64   // of table
	held    shardSet // owned by this router
	owned   shardSet // by any router
	owners  []owner
	buckets map[string]*bucket
}

// owner is another router that owns shards.
type owner struct {
	address string
	held    shardSet
}

// New returns a Local whose buckets are empty.
func New(options Options) *Local {
	log := logging.For("limit")
	l := &Local{
		self:              options.Self,
		source:            options.Source,
		peers:             options.Peers,
		wait:              options.Wait,
		rebalanceInterval: cmp.Or(options.RebalanceInterval, defaultRebalanceInterval),
		refusalTime:       options.RefusalTime,
		spawn:             func(f func()) { go f() },
		incarnation:       rand.Uint64(),
		pauseGuard:        newPauseGuard(log),
		log:               log,
		meters:            newMeters(),
		health:            newHealth(),
	}
	l.state.Store(&state{buckets: map[string]*bucket{}})
	return l
}

// Confirm ends a suspension that began before seen. The caller has read a view
// and a shard table, both after seen, that show this router as listed and as the
// owner of its shards.
func (l *Local) Confirm(seen time.Time) {
	l.current()
	if l.pauseGuard.confirm(seen) {
		l.log.Info(logging.Fields{}, "shard ownership confirmed; limiter resumed")
	}
}

// Release takes shards out of use before a write that gives them up; epoch is
// that of the table which the write is based on. It returns the tokens that are
// handed over with the shards, by workspace.
func (l *Local) Release(epoch uint64, indices []int) map[string]int64 {
	l.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.state.Load()
	released := setOf(indices) & st.held
	l.released |= setOf(indices)
	l.releaseEpoch = max(epoch, l.releaseEpoch)
	levels := l.subtract(st, released)
	l.rebuild(st.config, st.table)
	return levels
}

// Restore puts released shards back in use after a write that had no effect.
func (l *Local) Restore(indices []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released &^= setOf(indices)
	st := l.state.Load()
	l.rebuild(st.config, st.table)
}

// subtract removes the tokens of the released shards from all buckets and returns
// them by workspace.
func (l *Local) subtract(st *state, released shardSet) map[string]int64 {
	levels := make(map[string]int64, len(st.buckets))
	now := l.pauseGuard.now().refill
	for name, b := range st.buckets {
		b.mu.Lock()
		b.update(now)
		tokens := int64(0)
		if held := (st.held & b.shards).count(); held > 0 {
			tokens = max(0, b.level*(released&b.shards).count()/held)
		}
		b.level -= tokens
		b.mu.Unlock()
		if tokens > 0 {
			levels[name] = tokens
		}
	}
	return levels
}

// current returns the current snapshot and the state derived from it.
func (l *Local) current() (*state, *control.Snapshot) {
	snapshot := l.source.Snapshot()
	st := l.state.Load()
	if st.config == snapshot.Config && st.table == snapshot.Shards {
		return st, snapshot
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	st = l.state.Load()
	if st.config == snapshot.Config && st.table == snapshot.Shards {
		return st, snapshot
	}
	return l.rebuild(snapshot.Config, l.newerTable(st, snapshot.Shards)), snapshot
}

// newerTable returns the table to use, so that the epoch never decreases.
func (l *Local) newerTable(st *state, table *shard.Table) *shard.Table {
	if table == nil || st.table != nil && table.Epoch < st.epoch {
		return st.table
	}
	return table
}

// now reads the clock. A router that is not in the VM list must not spend its
// tokens.
func (l *Local) now(snapshot *control.Snapshot) clockReading {
	if !snapshot.Listed {
		l.suspendIfDelisted()
	} else if !l.wasListed.Load() {
		l.wasListed.Store(true)
	}
	now := l.pauseGuard.now()
	now.spendable = now.spendable && snapshot.Listed
	return now
}

// suspendIfDelisted suspends a router that was in the VM list before, since its
// shards may be revoked from now on.
func (l *Local) suspendIfDelisted() {
	if l.wasListed.Load() {
		l.pauseGuard.suspend(time.Now(), "router is not in the VM list; limiter suspended until shard ownership is confirmed")
	}
}

// rebuild derives the state from a document and a table. The caller holds l.mu.
func (l *Local) rebuild(revision *config.Revision, table *shard.Table) *state {
	old := l.state.Load()
	st := &state{config: revision, table: table, buckets: make(map[string]*bucket)}
	if table != nil {
		l.readTable(st)
	}
	gained := l.handedOverTokens(old, st)
	now := l.pauseGuard.now()
	if revision != nil {
		for i := range revision.Document.Workspaces {
			w := &revision.Document.Workspaces[i]
			st.buckets[w.Name] = l.fitBucket(old.buckets[w.Name], st, w, now, gained[w.Name])
		}
	}
	l.state.Store(st)
	return st
}

// readTable sets the fields of st that depend on its table.
func (l *Local) readTable(st *state) {
	st.epoch = st.table.Epoch
	if st.epoch > l.releaseEpoch {
		l.released = 0
	}
	st.held = heldBy(st.table, l.self) &^ l.released
	seen := map[string]struct{}{"": {}, l.self: {}}
	for i := range st.table.Owners {
		address := st.table.Owners[i].Address
		if address != "" {
			st.owned |= 1 << i
		}
		if _, ok := seen[address]; ok {
			continue
		}
		seen[address] = struct{}{}
		st.owners = append(st.owners, owner{address: address, held: heldBy(st.table, address)})
	}
}

// handedOverTokens returns the tokens that came with shards which this process has
// claimed since the old state. A decoded table has none.
func (l *Local) handedOverTokens(old, st *state) map[string]int64 {
	gained := make(map[string]int64)
	if st.table == nil || st.epoch <= old.epoch {
		return gained
	}
	for i := range st.table.Owners {
		o := &st.table.Owners[i]
		if o.Address != l.self || o.SinceEpoch <= old.epoch {
			continue
		}
		for workspace, tokens := range o.Levels {
			gained[workspace] += tokens
		}
	}
	return gained
}

// fitBucket resizes a workspace's bucket, or makes an empty one.
func (l *Local) fitBucket(b *bucket, st *state, w *config.Workspace, now clockReading, gained int64) *bucket {
	if b == nil {
		b = &bucket{workspace: w.Name, shards: shardsOf(w.Name), refilled: now.refill, lastRequest: now.elapsed - activePeriod - 1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limits := limitsOf(w)
	b.resize(now.refill, limits, st.held.shareOf(b.shards, limits))
	b.level = max(b.level, min(b.level+gained, b.own.burst))
	b.peers = b.peerLevels(st.owners)
	return b
}

// Suspended reports whether this router's shards are out of use until Confirm.
func (l *Local) Suspended() bool {
	l.now(l.source.Snapshot())
	return l.pauseGuard.suspended.Load()
}
