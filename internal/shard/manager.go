package shard

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/membership"
	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// revokeMargin is added to the VM list's lag before the shards of an unlisted
	// owner are revoked, so that an owner that still runs can read the list first.
	revokeMargin = 5 * time.Second
	// quarantineTime is how long a revoked shard must not be claimed. Within it,
	// sidecars get the new epoch and start to refuse the former owner.
	quarantineTime = 5 * time.Second
	// waitTimeout is how long other routers release shards for a waiting router. A
	// router that crashed while waiting gets none after it.
	waitTimeout = 10 * time.Second
	// idleReadInterval is the longest time between two reads of the table by a router
	// without shards.
	idleReadInterval = 30 * time.Second
	maxAttempts      = 5
	retryDelay       = 20 * time.Millisecond
)

// Limiter is the rate limiter that spends the shards' tokens.
type Limiter interface {
	// Release stops using shards before they are given up by a write based on the table
	// of epoch, and returns the tokens to hand over with them.
	Release(epoch uint64, shards []int) map[string]int64
	// Restore resumes using released shards after a write that had no effect.
	Restore(shards []int)
	// Suspended reports whether the limiter is suspended until Confirm.
	Suspended() bool
	// Confirm ends a suspension that began before seen. The caller has checked that
	// this router was listed and owned its shards at a time after seen.
	Confirm(seen time.Time)
}

// Options configures a Manager.
type Options struct {
	Self        string // this router's RPC address
	Environment string
	KV          platform.KV
	Limiter     Limiter       // nil if shards have no tokens
	VMListLag   time.Duration // largest lag of the VM list
}

// Manager claims and releases this router's shards in the table. It is used by the
// control goroutine only.
type Manager struct {
	self           string
	key            string
	kv             platform.KV
	limiter        Limiter
	revokeAfter    time.Duration // how long an owner is unlisted before its shards are revoked
	log            logging.Logger
	known          *Table
	version        platform.Version     // of the table last read or written
	storedEpoch    uint64               // epoch of that table
	outcomeUnknown bool                 // a write may still take effect
	unlistedSince  map[string]time.Time // owners that the VM list does not contain
	quarantined    map[int]quarantine
	waiting        map[string]time.Time // routers that wait for shards, with the time they were first seen waiting
	nextRead       time.Time
	leaving        bool
	released       []int            // shards released for a write that is not confirmed
	levels         map[string]int64 // tokens to hand over with them
}

// quarantine records when a shard was first seen as revoked.
type quarantine struct {
	epoch uint64
	since time.Time
}

// NewManager returns a Manager without a table.
func NewManager(options Options) *Manager {
	limiter := options.Limiter
	if limiter == nil {
		limiter = noLimiter{}
	}
	return &Manager{
		self:          options.Self,
		key:           Key(options.Environment),
		kv:            options.KV,
		limiter:       limiter,
		revokeAfter:   options.VMListLag + revokeMargin,
		log:           logging.For("shard"),
		unlistedSince: make(map[string]time.Time),
		quarantined:   make(map[int]quarantine),
		waiting:       make(map[string]time.Time),
	}
}

// Merge replaces the known table by t if t has a higher epoch.
func (m *Manager) Merge(t *Table) {
	if t != nil && (m.known == nil || t.Epoch > m.known.Epoch) {
		m.known = t
	}
}

// Reconcile reads the table and changes it where needed: it creates the table, revokes
// the shards of owners that have been missing from the view for revokeAfter, claims free
// shards, and releases shards above this router's share. The view was read at viewRead.
// Reconcile returns the newest known table, also with an error.
func (m *Manager) Reconcile(ctx context.Context, view *membership.View, viewRead time.Time) (*Table, error) {
	eligible := eligibleOwners(view)
	if m.idle(view, eligible) {
		return m.known, nil
	}
	var err error
	for range maxAttempts {
		err = m.tryReconcile(ctx, view, viewRead, eligible)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrOutcomeUnknown) {
			break
		}
		if waitErr := clock.Sleep(ctx, rand.N(retryDelay)); waitErr != nil {
			return m.known, waitErr
		}
	}
	m.restoreReleased()
	m.nextRead = time.Now().Add(idleReadInterval/2 + rand.N(idleReadInterval/2))
	return m.known, err
}

// idle reports whether this router can skip reading the table.
func (m *Manager) idle(view *membership.View, eligible []string) bool {
	if m.known == nil || m.outcomeUnknown || !view.HasRouter(m.self) {
		return false
	}
	if rank(eligible, m.self) >= 0 || len(m.known.OwnedBy(m.self)) > 0 {
		return false
	}
	return time.Now().Before(m.nextRead)
}

// tryReconcile makes one attempt of Reconcile, with at most one write. To confirm a
// suspended limiter it writes even an unchanged table: the write fails if the read was
// stale.
func (m *Manager) tryReconcile(ctx context.Context, view *membership.View, viewRead time.Time, eligible []string) error {
	version, err := m.read(ctx)
	if err != nil {
		return err
	}
	p := m.plan(view, viewRead, eligible)
	verify := m.limiter.Suspended() && view.HasRouter(m.self) && !m.leaving
	switch {
	case !p.empty():
		err = m.write(ctx, p.apply(m.knownTable(), m.self), version)
	case m.known != nil && (m.outcomeUnknown || verify || m.storeBehind()):
		err = m.write(ctx, m.known, version)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	p.log(m.log, m.known.Epoch)
	if verify {
		m.limiter.Confirm(viewRead)
	}
	return nil
}

// knownTable returns the known table, or an empty one.
func (m *Manager) knownTable() *Table {
	if m.known == nil {
		return &Table{}
	}
	return m.known
}

// read gets the table and makes it the known one if it is newer. It returns the
// table's version.
func (m *Manager) read(ctx context.Context) (platform.Version, error) {
	entry, err := m.kv.Get(ctx, m.key)
	if errors.Is(err, platform.ErrNotFound) {
		m.version, m.storedEpoch = 0, 0
		return 0, nil
	}
	if err != nil {
		return 0, errors.Wrap(err, "read shard table")
	}
	if entry.Version == m.version {
		return entry.Version, nil
	}
	t, err := Decode(entry.Value)
	if err != nil {
		return 0, err
	}
	m.version, m.storedEpoch = entry.Version, t.Epoch
	m.Merge(t)
	return entry.Version, nil
}

// storeBehind reports whether the service returned an older table than the known one,
// since the read was stale or the service lost a write.
func (m *Manager) storeBehind() bool { return m.storedEpoch < m.known.Epoch }

// write replaces the table if the service still has the given version.
func (m *Manager) write(ctx context.Context, next *Table, version platform.Version) error {
	data, err := Encode(next)
	if err != nil {
		return err
	}
	written, err := m.kv.CompareAndSwap(ctx, m.key, data, version, 0)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		m.outcomeUnknown = true
		m.levels = nil
		return m.readBack(ctx, data)
	}
	if err != nil {
		return errors.Wrap(err, "write shard table")
	}
	m.outcomeUnknown = false
	m.levels = nil
	m.known = next
	m.version, m.storedEpoch = written, next.Epoch
	return nil
}

// readBack determines whether a write whose response was lost took effect. Tokens that
// came with claimed shards are dropped, since the table found may have been written by
// an earlier process.
func (m *Manager) readBack(ctx context.Context, data []byte) error {
	entry, err := m.kv.Get(ctx, m.key)
	if err != nil {
		return errors.Wrap(platform.ErrOutcomeUnknown, "read back the shard table")
	}
	if !bytes.Equal(entry.Value, data) {
		return errors.Wrap(platform.ErrOutcomeUnknown, "write shard table")
	}
	t, err := Decode(data)
	if err != nil {
		return err
	}
	m.outcomeUnknown = false
	m.Merge(t)
	return nil
}

// restoreReleased resumes using shards that were released for a write without effect.
func (m *Manager) restoreReleased() {
	if m.outcomeUnknown || m.leaving || m.known == nil {
		return
	}
	if len(m.released) > 0 {
		m.limiter.Restore(m.known.OwnedBy(m.self))
	}
	m.released = nil
	m.levels = nil
}

// ReleaseAll releases all shards of this router and hands over their levels. The limiter
// must have stopped using the shards. The manager claims none afterwards.
func (m *Manager) ReleaseAll(ctx context.Context, levels map[string]int64) error {
	m.leaving = true
	var err error
	for range maxAttempts {
		err = m.tryReleaseAll(ctx, levels)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if waitErr := clock.Sleep(ctx, rand.N(retryDelay)); waitErr != nil {
			return err
		}
	}
	return err
}

func (m *Manager) tryReleaseAll(ctx context.Context, levels map[string]int64) error {
	version, err := m.read(ctx)
	if err != nil {
		return err
	}
	owned := m.knownTable().OwnedBy(m.self)
	if len(owned) == 0 {
		return nil
	}
	p := plan{release: owned, levels: levels, waiting: m.otherWaiters()}
	if err := m.write(ctx, p.apply(m.knownTable(), m.self), version); err != nil {
		return err
	}
	p.log(m.log, m.known.Epoch)
	return nil
}

// noLimiter is the Limiter used for a table without tokens.
type noLimiter struct{}

func (noLimiter) Release(uint64, []int) map[string]int64 { return nil }
func (noLimiter) Restore([]int)                          {}
func (noLimiter) Suspended() bool                        { return false }
func (noLimiter) Confirm(time.Time)                      {}
