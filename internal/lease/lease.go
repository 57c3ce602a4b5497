// Package lease holds a key of the key-value service for one process at a time.
// The version of the key is the holder's fencing number.
package lease

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

var logger = logging.For("lease")

// ErrHeld means that another process holds the lease.
var ErrHeld = errors.New("another process holds the lease")

// Duration is how long a lease lasts.
type Duration struct {
	// TTL is how long the platform keeps a lease that is not renewed.
	TTL time.Duration
	// Margin is taken off the holder's own reckoning of the lease, against clocks
	// that run at different speeds.
	Margin time.Duration
}

// Term is the time for which a process holds the lease.
type Term struct {
	kv    platform.LeaseKV
	last  Duration
	lease platform.LeaseID
	key   string
	fence platform.Version // version of the key: larger for each new holder
	until atomic.Pointer[deadline]
}

// deadline is a time on the monotonic clock and on the one that also runs while
// the VM is suspended.
type deadline struct {
	monotonic time.Time
	boot      time.Duration
}

// end returns the end of a lease whose grant or renewal was asked for at the
// given time.
func (d Duration) end(asked time.Time) *deadline {
	usable := d.TTL - d.Margin
	return &deadline{monotonic: asked.Add(usable), boot: clock.Boot() - time.Since(asked) + usable}
}

func (d *deadline) passed(now time.Time) bool {
	return !now.Before(d.monotonic) || clock.Boot() >= d.boot
}

// Acquire creates the lease key if it is absent. It returns ErrHeld if another
// process has it.
func Acquire(ctx context.Context, kv platform.LeaseKV, key, self string, last Duration) (*Term, error) {
	entry, err := kv.Get(ctx, key)
	switch {
	case err == nil:
		return nil, errors.Wrapf(ErrHeld, "%s", entry.Value)
	case !errors.Is(err, platform.ErrNotFound):
		return nil, err
	}
	asked := time.Now()
	id, err := kv.GrantLease(ctx, last.TTL)
	if err != nil {
		return nil, err
	}
	t := &Term{kv: kv, last: last, lease: id, key: key}
	t.until.Store(last.end(asked))
	if err := t.create(ctx, self+" "+uuid.NewString()); err != nil {
		t.Release(ctx)
		return nil, err
	}
	return t, nil
}

// create writes the lease key. A lost answer is settled by reading back, as no
// other term has the same value.
func (t *Term) create(ctx context.Context, value string) error {
	version, err := t.kv.CompareAndSwap(ctx, t.key, []byte(value), 0, t.lease)
	if errors.Is(err, platform.ErrUnsure) {
		version, err = t.readBack(ctx, value)
	}
	if errors.Is(err, platform.ErrConflict) {
		return errors.Wrap(ErrHeld, err.Error())
	}
	t.fence = version
	return err
}

func (t *Term) readBack(ctx context.Context, value string) (platform.Version, error) {
	entry, err := t.kv.Get(ctx, t.key)
	if err != nil {
		return 0, err
	}
	if string(entry.Value) != value {
		return 0, ErrHeld
	}
	return entry.Version, nil
}

// Renew extends the term. platform.ErrNotFound means that it is over.
func (t *Term) Renew(ctx context.Context) error {
	asked := time.Now()
	if err := t.kv.RenewLease(ctx, t.lease); err != nil {
		return err
	}
	t.until.Store(t.last.end(asked))
	return nil
}

// Fence returns the fencing number: larger for each new holder.
func (t *Term) Fence() platform.Version { return t.fence }

// Valid says whether the holder may still give orders. It is safe for concurrent
// use.
func (t *Term) Valid() bool { return !t.until.Load().passed(time.Now()) }

// Release ends the term, so that another process may start at once. If that fails,
// the lease lapses.
func (t *Term) Release(ctx context.Context) {
	if err := t.kv.RevokeLease(ctx, t.lease); err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "lease not revoked")
	}
}
