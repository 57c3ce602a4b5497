package controller

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// leaseTTL is how long the platform keeps a lease that is not renewed.
	leaseTTL = 10 * time.Second
	// leaseMargin is taken off the holder's own reckoning of the lease, against
	// clocks that run at different speeds.
	leaseMargin = time.Second
	// renewInterval is the time between renewals.
	renewInterval = 2 * time.Second
)

const keyPrefix = "wasabigate/controller/"

// leaseKey is the key that the holder of an environment's lease has created.
func leaseKey(environment string) string { return keyPrefix + environment + "/lease" }

// errHeld means that another router holds the lease.
var errHeld = errors.New("another router holds the lease")

// term is the time for which a router holds the lease.
type term struct {
	kv    platform.KV
	lease platform.LeaseID
	key   string
	fence platform.Version // version of the lease key: larger for each new holder
	until atomic.Pointer[deadline]
}

// deadline is a time on the monotonic and on the wall clock, because the
// monotonic one stands still while a VM is suspended.
type deadline struct {
	monotonic time.Time
	wall      time.Time
}

// leaseEnd returns the end of a lease whose grant or renewal was asked for at
// the given time.
func leaseEnd(asked time.Time) *deadline {
	end := asked.Add(leaseTTL - leaseMargin)
	return &deadline{monotonic: end, wall: end.Round(0)}
}

func (d *deadline) passed(now time.Time) bool {
	return !now.Before(d.monotonic) || !now.Round(0).Before(d.wall)
}

// acquire creates the lease key if it is absent. It returns errHeld if another
// router has it.
func acquire(ctx context.Context, kv platform.KV, key, self string) (*term, error) {
	entry, err := kv.Get(ctx, key)
	switch {
	case err == nil:
		return nil, errors.Wrapf(errHeld, "%s", entry.Value)
	case !errors.Is(err, platform.ErrNotFound):
		return nil, err
	}
	asked := time.Now()
	lease, err := kv.GrantLease(ctx, leaseTTL)
	if err != nil {
		return nil, err
	}
	t := &term{kv: kv, lease: lease, key: key}
	t.until.Store(leaseEnd(asked))
	if err := t.create(ctx, self+" "+uuid.NewString()); err != nil {
		t.release(ctx)
		return nil, err
	}
	return t, nil
}

// create writes the lease key. A lost answer is settled by reading back, as no
// other term has the same value.
func (t *term) create(ctx context.Context, value string) error {
	version, err := t.kv.CompareAndSwap(ctx, t.key, []byte(value), 0, t.lease)
	if errors.Is(err, platform.ErrUnsure) {
		version, err = t.readBack(ctx, value)
	}
	if errors.Is(err, platform.ErrConflict) {
		return errors.Wrap(errHeld, err.Error())
	}
	t.fence = version
	return err
}

func (t *term) readBack(ctx context.Context, value string) (platform.Version, error) {
	entry, err := t.kv.Get(ctx, t.key)
	if err != nil {
		return 0, err
	}
	if string(entry.Value) != value {
		return 0, errHeld
	}
	return entry.Version, nil
}

// renew extends the term. platform.ErrNotFound means that it is over.
func (t *term) renew(ctx context.Context) error {
	asked := time.Now()
	if err := t.kv.RenewLease(ctx, t.lease); err != nil {
		return err
	}
	t.until.Store(leaseEnd(asked))
	return nil
}

// valid says whether the holder may still give orders. It is safe for concurrent
// use.
func (t *term) valid() bool { return !t.until.Load().passed(time.Now()) }

// release ends the term, so that another router may start at once. If that fails,
// the lease lapses.
func (t *term) release(ctx context.Context) {
	if err := t.kv.RevokeLease(ctx, t.lease); err != nil {
		logger.Debug(fields{"error": err.Error()}, "lease not revoked")
	}
}
