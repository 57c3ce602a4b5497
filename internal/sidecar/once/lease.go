package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// retention is the minimum time for which a record is stored. A call that
	// is repeated later with the same idempotency key runs again.
	retention = 72 * time.Hour
	// leaseTTL is the TTL of the leases under which records are written.
	leaseTTL = retention + 24*time.Hour
	// leaseRotation is the age at which a lease is replaced by a new one.
	leaseRotation = 12 * time.Hour
)

// leases provides the lease under which records are written, so that the
// key-value service deletes them after their retention. Many records share one
// lease, which is never renewed.
type leases struct {
	kv      platform.KV
	sem     chan struct{} // binary semaphore; guards id and granted
	id      platform.LeaseID
	era     platform.Era // in which it was granted
	granted time.Time
}

func newLeases(kv platform.KV) *leases {
	l := &leases{kv: kv, sem: make(chan struct{}, 1)}
	l.sem <- struct{}{}
	return l
}

// current returns a lease that is valid for at least the retention.
func (l *leases) current(ctx context.Context) (platform.LeaseID, error) {
	select {
	case <-l.sem:
	case <-ctx.Done():
		return 0, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	defer func() { l.sem <- struct{}{} }()
	age := time.Since(l.granted)
	if l.era != l.kv.Era() {
		l.id = 0 // lost in a restore
	}
	if l.id != 0 && age < leaseRotation {
		return l.id, nil
	}
	requestedAt := time.Now()
	id, err := l.kv.GrantLease(ctx, leaseTTL)
	if err != nil {
		return l.fallback(age, err)
	}
	l.id, l.era = id, l.kv.Era()
	l.granted = requestedAt
	return id, nil
}

// fallback returns the previous lease if it is valid for at least the retention,
// and otherwise err.
func (l *leases) fallback(age time.Duration, err error) (platform.LeaseID, error) {
	if l.id != 0 && age < leaseTTL-retention {
		return l.id, nil
	}
	return 0, err
}

// invalidate drops a lease that the service no longer knows.
func (l *leases) invalidate(id platform.LeaseID) {
	<-l.sem
	defer func() { l.sem <- struct{}{} }()
	if l.id == id {
		l.id = 0
	}
}
