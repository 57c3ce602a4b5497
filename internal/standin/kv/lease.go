package kv

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// lease deletes its keys when it expires.
type lease struct {
	granted time.Time
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
	timer   *time.Timer
}

// GrantLease implements platform.KV.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if ttl <= 0 {
		return 0, errors.Errorf("lease of %v: the time must be positive", ttl)
	}
	var id platform.LeaseID
	err := s.write(ctx, func() error {
		s.lastLease++
		id = s.lastLease
		s.leases[id] = &lease{
			granted: time.Now(),
			ttl:     ttl,
			expires: time.Now().Add(ttl),
			keys:    make(map[string]struct{}),
			timer:   time.AfterFunc(ttl, s.expireLeases),
		}
		return nil
	})
	if err != nil {
		return 0, err
	}
	return id, nil
}

// RenewLease implements platform.KV.
func (s *Store) RenewLease(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, func() error {
		found, ok := s.leases[id]
		if !ok {
			return errors.Wrapf(platform.ErrNotFound, "lease %d", id)
		}
		found.expires = time.Now().Add(found.ttl)
		found.timer.Reset(found.ttl)
		return nil
	})
}

// RevokeLease implements platform.KV.
func (s *Store) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	return s.write(ctx, func() error {
		if _, ok := s.leases[id]; !ok {
			return errors.Wrapf(platform.ErrNotFound, "lease %d", id)
		}
		s.endLease(id)
		return nil
	})
}

// attach binds a key to a lease, which must exist.
func (s *Store) attach(key string, id platform.LeaseID) error {
	if id == 0 {
		return nil
	}
	found, ok := s.leases[id]
	if !ok {
		return errors.Wrapf(platform.ErrNotFound, "lease %d", id)
	}
	found.keys[key] = struct{}{}
	return nil
}

// detach removes a key from its former lease.
func (s *Store) detach(key string, former, next platform.LeaseID) {
	if found, ok := s.leases[former]; ok && former != next {
		delete(found.keys, key)
	}
}

// expireLeases removes expired leases, also while the service is down.
func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeasesLocked(time.Now())
}

// expireLeasesLocked removes the leases that expired by now.
func (s *Store) expireLeasesLocked(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if !now.Before(s.leases[id].expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys.
func (s *Store) endLease(id platform.LeaseID) {
	ended := s.leases[id]
	ended.timer.Stop()
	for _, key := range slices.Sorted(maps.Keys(ended.keys)) {
		s.remove(key)
	}
	delete(s.leases, id)
}
