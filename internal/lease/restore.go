package lease

import (
	"context"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/logging"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// ErrRestored means that the service was restored from an older copy so recently that a
// holder whose key is lost may still rely on its lease.
var ErrRestored = errors.New("leases of an earlier era may not have ended")

// eraSuffix follows the lease's key in the key of the newest era in which all leases of
// earlier eras have ended.
const eraSuffix = "/era"

// restoreWait delays the acquisition of a lease after a restore until the leases that the
// service forgot have ended. It stores the era once that has been waited for, so that a
// process that starts later does not wait again.
type restoreWait struct {
	kv    platform.LeaseKV
	key   string
	era   platform.Era // that is waited for
	since time.Time    // when era was first seen; zero: not yet
}

// done returns ErrRestored until all leases of earlier eras have ended.
func (w *restoreWait) done(ctx context.Context, ttl time.Duration, now time.Time) error {
	era := w.kv.Era()
	if era == 0 {
		return nil
	}
	entry, err := w.kv.Get(ctx, w.key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	text := strconv.FormatUint(uint64(era), 10)
	if err == nil && string(entry.Value) == text {
		return nil
	}
	if w.since.IsZero() || w.era != era {
		w.era, w.since = era, now
		logger.Info(logging.Fields{"era": uint64(era), "wait": ttl.String()}, "new era of the key-value service, waiting for leases of earlier eras to end")
	}
	if now.Sub(w.since) < ttl {
		return ErrRestored
	}
	_, err = w.kv.CompareAndSwap(ctx, w.key, []byte(text), entry.Version, 0)
	if errors.Is(err, platform.ErrConflict) {
		return nil // another process stored it
	}
	return err
}
