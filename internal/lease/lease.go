// Package lease lets one process at a time hold a key of the key-value service. The
// key's version is the holder's fencing token.
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

// Duration specifies how long a lease lasts, for the platform and for its holder.
type Duration struct {
	// TTL is how long the platform keeps a lease after its last renewal.
	TTL time.Duration
	// Margin is subtracted from TTL by the holder, since the clocks of holder and
	// platform may run at different speeds.
	Margin time.Duration
}

// Term is a period for which a process holds the lease.
type Term struct {
	kv       platform.LeaseKV
	duration Duration
	lease    platform.LeaseID
	key      string
	value    string
	era      platform.Era     // in which the key was last known to be this term's
	fence    platform.Version // version of the key: larger for each new holder
	expiry   atomic.Pointer[moment]
	clock    bootClock
}

// moment is a time on the monotonic clock and on the boot clock, which also runs while the VM
// is suspended.
type moment struct {
	monotonic time.Time
	boot      time.Duration
}

// bootClock reads the boot clock.
type bootClock func() time.Duration

func (c bootClock) now() moment { return moment{monotonic: time.Now(), boot: c()} }

// end returns the time until which the holder may rely on a lease whose grant or renewal
// was requested at the given time. The VM may have been suspended since.
func (d Duration) end(requested moment) *moment {
	usable := d.TTL - d.Margin
	return &moment{monotonic: requested.monotonic.Add(usable), boot: requested.boot + usable}
}

// reached reports whether the end of a term is reached.
func (m *moment) reached(now moment) bool {
	return !now.monotonic.Before(m.monotonic) || now.boot >= m.boot
}

// Candidate acquires the lease for one process. It is not safe for concurrent use.
type Candidate struct {
	kv       platform.LeaseKV
	key      string
	self     string
	duration Duration
	restored restoreWait
	clock    bootClock
}

// NewCandidate returns a Candidate for the lease on key. self names the process.
func NewCandidate(kv platform.LeaseKV, key, self string, duration Duration) *Candidate {
	return &Candidate{kv: kv, key: key, self: self, duration: duration, restored: restoreWait{kv: kv, key: key + eraSuffix}, clock: clock.SinceBoot}
}

// Acquire creates the key under a new lease if it does not exist. It returns ErrHeld if
// another process holds it, and ErrRestored while a holder that a restore of the service
// lost may still rely on its lease.
func (c *Candidate) Acquire(ctx context.Context) (*Term, error) {
	entry, err := c.kv.Get(ctx, c.key)
	switch {
	case err == nil:
		return nil, errors.Wrapf(ErrHeld, "%s", entry.Value)
	case !errors.Is(err, platform.ErrNotFound):
		return nil, err
	}
	era := c.kv.Era()
	if err := c.restored.done(ctx, c.duration.TTL, time.Now()); err != nil {
		return nil, err
	}
	requested := c.clock.now()
	id, err := c.kv.GrantLease(ctx, c.duration.TTL)
	if err != nil {
		return nil, err
	}
	t := &Term{kv: c.kv, duration: c.duration, lease: id, key: c.key, value: c.self + " " + uuid.NewString(), era: c.kv.Era(), clock: c.clock}
	t.expiry.Store(c.duration.end(requested))
	if err := t.create(ctx); err != nil {
		t.Release(ctx)
		return nil, err
	}
	if t.era != era { // restored meanwhile, so that another wait is due
		t.Release(ctx)
		return nil, ErrRestored
	}
	return t, nil
}

// create writes the key. If the response is lost, it reads the key back: the value is
// unique to this term, so it shows whether the write succeeded.
func (t *Term) create(ctx context.Context) error {
	version, err := t.kv.CompareAndSwap(ctx, t.key, []byte(t.value), 0, t.lease)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		version, err = t.readBack(ctx)
	}
	if errors.Is(err, platform.ErrConflict) {
		return errors.Wrap(ErrHeld, err.Error())
	}
	t.fence, t.era = version, version.Era()
	return err
}

func (t *Term) readBack(ctx context.Context) (platform.Version, error) {
	entry, err := t.kv.Get(ctx, t.key)
	if err != nil {
		return 0, err
	}
	if string(entry.Value) != t.value {
		return 0, ErrHeld
	}
	return entry.Version, nil
}

// Renew extends the term. It returns platform.ErrNotFound if the lease has expired, or a
// restore of the service lost it.
func (t *Term) Renew(ctx context.Context) error {
	requested := t.clock.now()
	if err := t.kv.RenewLease(ctx, t.lease); err != nil {
		return err
	}
	if err := t.checkEra(ctx); err != nil {
		return err
	}
	t.expiry.Store(t.duration.end(requested))
	return nil
}

// checkEra checks after a restore of the service that the key is still this term's: the
// service may have given the lease's ID out again.
func (t *Term) checkEra(ctx context.Context) error {
	era := t.kv.Era()
	if era == t.era {
		return nil
	}
	if _, err := t.readBack(ctx); err != nil {
		if errors.Is(err, ErrHeld) {
			return errors.Wrap(platform.ErrNotFound, err.Error())
		}
		return err
	}
	t.era = era
	return nil
}

// Fence returns the fencing token, which is larger for each new holder.
func (t *Term) Fence() platform.Version { return t.fence }

// Valid reports whether the holder may still rely on the lease. It is safe for
// concurrent use.
func (t *Term) Valid() bool { return !t.expiry.Load().reached(t.clock.now()) }

// Release revokes the lease, so that another process can acquire the key at once. If
// that fails, the lease expires. A lease from before a restore of the service is left to
// expire, since its ID may be another process's now.
func (t *Term) Release(ctx context.Context) {
	if t.kv.Era() != t.era {
		return
	}
	if err := t.kv.RevokeLease(ctx, t.lease); err != nil {
		logger.Debug(logging.Fields{"error": err.Error()}, "lease not revoked")
	}
}
