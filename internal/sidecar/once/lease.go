package once

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// retention is how long a record is kept at least. A call repeated later
	// with the same idempotency key runs again.
	retention = 72 * time.Hour
	// leaseTTL is the time of the leases under which records are written.
	leaseTTL = retention + 24*time.Hour
	// leaseRotation is the age at which another lease is taken.
	leaseRotation = 12 * time.Hour
)

// leases gives out the lease under which records are written, so that the
// key-value service forgets them after their retention. Many records share one
// lease, which nobody renews.
type leases struct {
	kv      platform.KV
	turn    chan struct{} // holds one token; guards what follows
	id      platform.LeaseID
	granted time.Time
}

func newLeases(kv platform.KV) *leases {
	l := &leases{kv: kv, turn: make(chan struct{}, 1)}
	l.turn <- struct{}{}
	return l
}

// current returns a lease that lasts for retention at least.
func (l *leases) current(ctx context.Context) (platform.LeaseID, error) {
	select {
	case <-l.turn:
	case <-ctx.Done():
		return 0, errors.Wrap(platform.ErrUnavailable, ctx.Err().Error())
	}
	defer func() { l.turn <- struct{}{} }()
	age := time.Since(l.granted)
	if l.id != 0 && age < leaseRotation {
		return l.id, nil
	}
	asked := time.Now()
	id, err := l.kv.GrantLease(ctx, leaseTTL)
	if err != nil {
		return l.fallback(age, err)
	}
	l.id = id
	l.granted = asked
	return id, nil
}

// fallback returns the former lease if it still lasts long enough.
func (l *leases) fallback(age time.Duration, err error) (platform.LeaseID, error) {
	if l.id != 0 && age < leaseTTL-retention {
		return l.id, nil
	}
	return 0, err
}

// lost drops a lease that the service doesn't know any more.
func (l *leases) lost(id platform.LeaseID) {
	<-l.turn
	defer func() { l.turn <- struct{}{} }()
	if l.id == id {
		l.id = 0
	}
}
