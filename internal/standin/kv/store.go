// Package kv is a stand-in for the platform's key-value service, for tests and
// demos. One process holds all data in memory; callers can inject faults.
package kv

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// state is the state of a key after a write. Version 0 means absent.
type state struct {
	value   []byte
	version platform.Version
	lease   platform.LeaseID
}

// record holds a key's current and previous state and the version of its last
// change. The version is kept after a deletion so that watches can catch up.
type record struct {
	current  state
	previous state
	changed  platform.Version
}

// Store is a key-value service in memory. It implements platform.KV.
type Store struct {
	mu          sync.Mutex
	random      *rand.Rand
	records     map[string]*record
	lastVersion platform.Version
	leases      map[platform.LeaseID]*lease
	lastLease   platform.LeaseID
	era         platform.Era
	undoLog     []undo // changes of the last maxRestoreAge, oldest first
	watchers    map[*watcher]struct{}
	faults      Faults
	reads       *rate.Limiter
	writes      *rate.Limiter
	counts      Counts
}

var _ platform.KV = (*Store)(nil)

// New returns an empty Store that draws random faults from seed.
func New(seed uint64) *Store {
	return &Store{
		random:   rand.New(rand.NewPCG(seed, seed)),
		records:  make(map[string]*record),
		leases:   make(map[platform.LeaseID]*lease),
		watchers: make(map[*watcher]struct{}),
		reads:    rate.NewLimiter(rate.Inf, 0),
		writes:   rate.NewLimiter(rate.Inf, 0),
	}
}

// Get implements platform.KV.
func (s *Store) Get(ctx context.Context, key string) (platform.Entry, error) {
	entry := platform.Entry{Key: key}
	err := s.read(ctx, func(stale bool) error {
		seen := s.visibleState(key, stale)
		if seen.version == 0 {
			return errors.Wrapf(platform.ErrNotFound, "key %q", key)
		}
		entry = seen.entry(key)
		return nil
	})
	return entry, err
}

// List implements platform.KV.
func (s *Store) List(ctx context.Context, prefix string) ([]platform.Entry, error) {
	var entries []platform.Entry
	err := s.read(ctx, func(stale bool) error {
		for _, key := range slices.Sorted(maps.Keys(s.records)) {
			seen := s.visibleState(key, stale)
			if seen.version != 0 && strings.HasPrefix(key, prefix) {
				entries = append(entries, seen.entry(key))
			}
		}
		return nil
	})
	return entries, err
}

// CompareAndSwap implements platform.KV.
func (s *Store) CompareAndSwap(ctx context.Context, key string, value []byte, expected platform.Version, id platform.LeaseID) (platform.Version, error) {
	if len(value) > platform.MaxValueSize {
		return 0, errors.Wrapf(platform.ErrTooLarge, "key %q: %d bytes", key, len(value))
	}
	value = slices.Clone(value)
	var version platform.Version
	err := s.write(ctx, func() error {
		if err := s.checkVersion(key, expected); err != nil {
			return err
		}
		if err := s.attach(key, id); err != nil {
			return err
		}
		version = s.put(key, state{value: value, lease: id})
		return nil
	})
	if err != nil {
		return 0, err
	}
	return version, nil
}

// Delete implements platform.KV. It returns ErrNotFound if the key is absent.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Version) error {
	return s.write(ctx, func() error {
		if s.visibleState(key, false).version == 0 {
			return errors.Wrapf(platform.ErrNotFound, "key %q", key)
		}
		if err := s.checkVersion(key, expected); err != nil {
			return err
		}
		s.remove(key)
		return nil
	})
}

// visibleState returns the state of key that a read returns.
func (s *Store) visibleState(key string, stale bool) state {
	rec, ok := s.records[key]
	switch {
	case !ok:
		return state{}
	case stale:
		return rec.previous
	default:
		return rec.current
	}
}

// checkVersion returns ErrConflict unless the key has the expected version.
func (s *Store) checkVersion(key string, expected platform.Version) error {
	if actual := s.visibleState(key, false).version; actual != expected {
		return errors.Wrapf(platform.ErrConflict, "key %q: version %d, expected %d", key, actual, expected)
	}
	return nil
}

// put writes a state under a new version and notifies the watchers.
func (s *Store) put(key string, next state) platform.Version {
	s.logUndo(key)
	s.lastVersion++
	next.version = s.lastVersion
	rec, ok := s.records[key]
	if !ok {
		rec = &record{}
		s.records[key] = rec
	}
	s.detach(key, rec.current.lease, next.lease)
	rec.previous = rec.current
	rec.current = next
	rec.changed = s.lastVersion
	s.notify(rec.event(key))
	return s.lastVersion
}

// remove deletes an existing key and notifies the watchers.
func (s *Store) remove(key string) {
	s.logUndo(key)
	s.lastVersion++
	rec := s.records[key]
	s.detach(key, rec.current.lease, 0)
	rec.previous = rec.current
	rec.current = state{}
	rec.changed = s.lastVersion
	s.notify(rec.event(key))
}

func (st state) entry(key string) platform.Entry {
	return platform.Entry{Key: key, Value: slices.Clone(st.value), Version: st.version}
}

// event returns the last change of the record.
func (r *record) event(key string) platform.Event {
	event := platform.Event{Entry: r.current.entry(key), Deleted: r.current.version == 0}
	event.Version = r.changed
	return event
}

// LatestVersion returns the version of the newest change.
func (s *Store) LatestVersion() platform.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked(time.Now())
	return s.lastVersion
}
