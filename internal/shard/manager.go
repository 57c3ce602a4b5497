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
	// owner are revoked. An owner that still runs reads the list meanwhile.
	revokeMargin = 5 * time.Second
	// restTime is how long a revoked shard rests before it is claimed. Sidecars
	// learn the new epoch meanwhile and refuse the former owner.
	restTime = 5 * time.Second
	// waitLimit is how long shards are released for a router that waits for them.
	waitLimit = 10 * time.Second
	// idleReadInterval is how often a router without shards reads the table.
	idleReadInterval = 30 * time.Second
	maxAttempts      = 5
	retryDelay       = 20 * time.Millisecond
)

// Ledger is the limiter whose tokens belong to the shards.
type Ledger interface {
	// Release takes shards out of use before a write that gives them up, based on
	// the table of epoch, and returns the tokens that go with them.
	Release(epoch uint64, shards []int) map[string]int64
	// Keep puts released shards back in use, after a write that had no effect.
	Keep(shards []int)
	// Suspended says whether the ledger rests until Confirm.
	Suspended() bool
	// Confirm tells that this router was listed and owned its shards after seen.
	Confirm(seen time.Time)
}

// Options are what a Manager needs.
type Options struct {
	Self        string // this router's rpc address
	Environment string
	KV          platform.KV
	Ledger      Ledger        // nil: no tokens go with shards
	VMListLag   time.Duration // largest lag of the VM list
}

// Manager keeps this router's place in the table. The control goroutine alone
// uses it.
type Manager struct {
	self     string
	key      string
	kv       platform.KV
	ledger   Ledger
	grace    time.Duration // until an unlisted owner's shards are revoked
	log      logging.Prefixed
	known    *Table
	version  platform.Version     // of the table read or written last
	stored   uint64               // its epoch
	unsure   bool                 // a write may still take effect
	missing  map[string]time.Time // owners that the VM list does not show, since
	resting  map[int]rest
	waiting  map[string]time.Time // routers that wait for shards, since
	nextRead time.Time
	leaving  bool
	released []int            // shards released for a write that is not settled
	levels   map[string]int64 // tokens that go with them
}

// rest is a revoked shard, seen first at a time.
type rest struct {
	epoch uint64
	since time.Time
}

// NewManager returns a Manager that knows no table.
func NewManager(options Options) *Manager {
	ledger := options.Ledger
	if ledger == nil {
		ledger = noLedger{}
	}
	return &Manager{
		self:    options.Self,
		key:     Key(options.Environment),
		kv:      options.KV,
		ledger:  ledger,
		grace:   options.VMListLag + revokeMargin,
		log:     logging.For("shard"),
		missing: make(map[string]time.Time),
		resting: make(map[int]rest),
		waiting: make(map[string]time.Time),
	}
}

// Learn takes in a table from a peer if its epoch is higher than the known one.
func (m *Manager) Learn(t *Table) {
	if t != nil && (m.known == nil || t.Epoch > m.known.Epoch) {
		m.known = t
	}
}

// Step reads the table and changes it where this router has to: it creates the
// table, revokes shards of owners that the view, read at viewRead, has not shown
// for long, claims free shards, and gives up its excess. It returns the newest
// table that is known, also with an error.
func (m *Manager) Step(ctx context.Context, view *membership.View, viewRead time.Time) (*Table, error) {
	chosen := owners(view)
	if m.idle(view, chosen) {
		return m.known, nil
	}
	var err error
	for range maxAttempts {
		err = m.attempt(ctx, view, viewRead, chosen)
		if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnsure) {
			break
		}
		if waitErr := clock.Sleep(ctx, rand.N(retryDelay)); waitErr != nil {
			return m.known, waitErr
		}
	}
	m.keep()
	m.nextRead = time.Now().Add(idleReadInterval/2 + rand.N(idleReadInterval/2))
	return m.known, err
}

// idle says whether this router may skip reading the table.
func (m *Manager) idle(view *membership.View, chosen []string) bool {
	if m.known == nil || m.unsure || !view.HasRouter(m.self) {
		return false
	}
	if position(chosen, m.self) >= 0 || len(m.known.Held(m.self)) > 0 {
		return false
	}
	return time.Now().Before(m.nextRead)
}

// attempt reads the table and makes at most one write.
func (m *Manager) attempt(ctx context.Context, view *membership.View, viewRead time.Time, chosen []string) error {
	version, err := m.read(ctx)
	if err != nil {
		return err
	}
	p := m.plan(view, viewRead, chosen)
	verify := m.ledger.Suspended() && view.HasRouter(m.self) && !m.leaving
	switch {
	case !p.empty():
		err = m.write(ctx, p.apply(m.base(), m.self), version)
	case m.known != nil && (m.unsure || verify || m.behind()):
		err = m.write(ctx, m.known, version)
	default:
		return nil
	}
	if err != nil {
		return err
	}
	p.log(m.log, m.known.Epoch)
	if verify {
		m.ledger.Confirm(viewRead)
	}
	return nil
}

// base returns the table to change.
func (m *Manager) base() *Table {
	if m.known == nil {
		return &Table{}
	}
	return m.known
}

// read gets the table and keeps it if it is newer than the known one.
func (m *Manager) read(ctx context.Context) (platform.Version, error) {
	entry, err := m.kv.Get(ctx, m.key)
	if errors.Is(err, platform.ErrNotFound) {
		m.version, m.stored = 0, 0
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
	m.version, m.stored = entry.Version, t.Epoch
	m.Learn(t)
	return entry.Version, nil
}

// behind says whether the service has an older table than this router knows:
// the read was stale, or the service lost a write.
func (m *Manager) behind() bool { return m.stored < m.known.Epoch }

// write replaces the table if the service's version is still the one read.
func (m *Manager) write(ctx context.Context, next *Table, version platform.Version) error {
	data, err := Encode(next)
	if err != nil {
		return err
	}
	written, err := m.kv.CompareAndSwap(ctx, m.key, data, version, 0)
	if errors.Is(err, platform.ErrUnsure) {
		m.unsure = true
		m.levels = nil
		return m.readBack(ctx, data)
	}
	if err != nil {
		return errors.Wrap(err, "write shard table")
	}
	m.unsure = false
	m.levels = nil
	m.known = next
	m.version, m.stored = written, next.Epoch
	return nil
}

// readBack settles a write whose answer was lost. The tokens that came with
// claimed shards are dropped, since the write may be one of an earlier process.
func (m *Manager) readBack(ctx context.Context, data []byte) error {
	entry, err := m.kv.Get(ctx, m.key)
	if err != nil {
		return errors.Wrap(platform.ErrUnsure, "read back the shard table")
	}
	if !bytes.Equal(entry.Value, data) {
		return errors.Wrap(platform.ErrUnsure, "write shard table")
	}
	t, err := Decode(data)
	if err != nil {
		return err
	}
	m.unsure = false
	m.Learn(t)
	return nil
}

// keep puts shards back in use that were released for a write without effect.
func (m *Manager) keep() {
	if m.unsure || m.leaving || m.known == nil {
		return
	}
	if len(m.released) > 0 {
		m.ledger.Keep(m.known.Held(m.self))
	}
	m.released = nil
	m.levels = nil
}

// HandBack frees all shards of this router, which it must not spend from any
// more, and hands over their levels. The manager claims none afterwards.
func (m *Manager) HandBack(ctx context.Context, levels map[string]int64) error {
	m.leaving = true
	var err error
	for range maxAttempts {
		err = m.handBack(ctx, levels)
		if err == nil || ctx.Err() != nil {
			return err
		}
		if waitErr := clock.Sleep(ctx, rand.N(retryDelay)); waitErr != nil {
			return err
		}
	}
	return err
}

func (m *Manager) handBack(ctx context.Context, levels map[string]int64) error {
	version, err := m.read(ctx)
	if err != nil {
		return err
	}
	held := m.base().Held(m.self)
	if len(held) == 0 {
		return nil
	}
	p := plan{release: held, levels: levels, waiting: m.otherWaiters()}
	if err := m.write(ctx, p.apply(m.base(), m.self), version); err != nil {
		return err
	}
	p.log(m.log, m.known.Epoch)
	return nil
}

// noLedger is the Ledger of a table without tokens.
type noLedger struct{}

func (noLedger) Release(uint64, []int) map[string]int64 { return nil }
func (noLedger) Keep([]int)                             {}
func (noLedger) Suspended() bool                        { return false }
func (noLedger) Confirm(time.Time)                      {}
