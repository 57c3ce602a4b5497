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

// Options are what a Local needs.
type Options struct {
	Self   string // this router's rpc address
	Source control.Source
	Peers  Peers
	Wait   time.Duration // longest wait for tokens of one request
	Even   time.Duration // time between two evenings of levels; 0: evenInterval
}

// Local is this router's part of the buckets. It implements Limiter and
// wire.DRPCLimitsServer.
type Local struct {
	self        string
	source      control.Source
	peers       Peers
	wait        time.Duration
	even        time.Duration
	incarnation uint64
	guard       *guard
	log         logging.Prefixed
	meters      meters
	refunds     refunds
	health      health
	state       atomic.Pointer[state]
	listed      atomic.Bool // the VM list has shown this router

	mu       sync.Mutex // of the fields below and of changes of state
	released shards     // given up by a write whose outcome is not known yet
	releases uint64     // epoch of the table that the write is based on
}

// state is what Local derives from a snapshot. It is immutable but for the
// buckets.
type state struct {
	config  *config.Revision
	table   *shard.Table
	epoch   uint64
	held    shards
	owned   shards // those that have an owner
	owners  []owner
	buckets map[string]*bucket
}

// owner is another router that owns shards.
type owner struct {
	address string
	held    shards
}

// New returns a Local whose buckets are empty.
func New(options Options) *Local {
	log := logging.For("limit")
	l := &Local{
		self:        options.Self,
		source:      options.Source,
		peers:       options.Peers,
		wait:        options.Wait,
		even:        cmp.Or(options.Even, evenInterval),
		incarnation: rand.Uint64(),
		guard:       newGuard(log),
		log:         log,
		meters:      newMeters(),
		health:      newHealth(),
	}
	l.state.Store(&state{buckets: map[string]*bucket{}})
	return l
}

// Confirm tells that a view and a shard table, both read after seen, show this
// router as listed and as the owner of its shards.
func (l *Local) Confirm(seen time.Time) {
	l.current()
	if l.guard.confirm(seen) {
		l.log.Info(logging.Fields{}, "shards confirmed and in use again")
	}
}

// Release takes shards out of use before a write, based on the table of epoch,
// that gives them up. It returns the tokens that go with them, by workspace.
func (l *Local) Release(epoch uint64, list []int) map[string]int64 {
	l.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.state.Load()
	given := setOf(list) & st.held
	l.released |= setOf(list)
	l.releases = max(epoch, l.releases)
	levels := l.subtract(st, given)
	l.rebuild(st.config, st.table)
	return levels
}

// Keep puts released shards back in use, after a write that had no effect.
func (l *Local) Keep(list []int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.released &^= setOf(list)
	st := l.state.Load()
	l.rebuild(st.config, st.table)
}

func (l *Local) subtract(st *state, given shards) map[string]int64 {
	levels := make(map[string]int64, len(st.buckets))
	now := l.guard.now().refill
	for name, b := range st.buckets {
		b.mu.Lock()
		b.touch(now)
		tokens := int64(0)
		if held := (st.held & b.home).count(); held > 0 {
			tokens = max(0, b.level*(given&b.home).count()/held)
		}
		b.level -= tokens
		b.mu.Unlock()
		if tokens > 0 {
			levels[name] = tokens
		}
	}
	return levels
}

// current returns the state of the current snapshot.
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
	return l.rebuild(snapshot.Config, l.newer(st, snapshot.Shards)), snapshot
}

// newer returns the table to use; epochs never go back.
func (l *Local) newer(st *state, table *shard.Table) *shard.Table {
	if table == nil || st.table != nil && table.Epoch < st.epoch {
		return st.table
	}
	return table
}

// now reads the clock. A router that is not listed must not spend its tokens.
func (l *Local) now(snapshot *control.Snapshot) moment {
	if !snapshot.Listed {
		l.unlisted()
	} else if !l.listed.Load() {
		l.listed.Store(true)
	}
	now := l.guard.now()
	now.spendable = now.spendable && snapshot.Listed
	return now
}

// unlisted suspends a router that was listed before, since its shards may be
// revoked from now on.
func (l *Local) unlisted() {
	if l.listed.Load() {
		l.guard.suspend(time.Now(), "this router is not listed, its shards rest until they are confirmed")
	}
}

// rebuild fits the buckets to a document and a table. The caller holds l.mu.
func (l *Local) rebuild(revision *config.Revision, table *shard.Table) *state {
	old := l.state.Load()
	st := &state{config: revision, table: table, buckets: make(map[string]*bucket)}
	if table != nil {
		l.place(st)
	}
	gained := l.handedOver(old, st)
	now := l.guard.now()
	if revision != nil {
		for i := range revision.Document.Workspaces {
			w := &revision.Document.Workspaces[i]
			st.buckets[w.Name] = l.fit(old.buckets[w.Name], st, w, now, gained[w.Name])
		}
	}
	l.state.Store(st)
	return st
}

// place reads the owners from the table.
func (l *Local) place(st *state) {
	st.epoch = st.table.Epoch
	if st.epoch > l.releases {
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

// handedOver returns the tokens that came with shards which this process has
// claimed since the old state. A decoded table has none.
func (l *Local) handedOver(old, st *state) map[string]int64 {
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

// fit resizes a workspace's bucket, or makes an empty one.
func (l *Local) fit(b *bucket, st *state, w *config.Workspace, now moment, gained int64) *bucket {
	if b == nil {
		b = &bucket{workspace: w.Name, home: homeOf(w.Name), refilled: now.refill, wanted: now.elapsed - activeTime - 1}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	whole := share{burst: w.Burst, rate: w.Rate}
	b.resize(now.refill, whole, st.held.of(b.home, whole))
	b.level = max(b.level, min(b.level+gained, b.own.burst))
	b.peers = b.peerLevels(st.owners)
	return b
}

// Suspended says whether the shards rest until Confirm.
func (l *Local) Suspended() bool {
	l.now(l.source.Snapshot())
	return l.guard.suspended.Load()
}
