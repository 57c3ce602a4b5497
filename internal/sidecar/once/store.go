package once

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/wasabigate/wasabigate/internal/clock"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// store reads and writes records in the key-value service.
type store struct {
	kv     platform.KV
	leases *leases
	prefix string
	recent recent
}

// releasedAttemptID is the attempt id of a released intent, which another attempt
// may replace.
const releasedAttemptID = ""

// errIntentExists means that the intent of another attempt exists.
var errIntentExists = errors.New("intent exists")

// create writes the record's intent if there is none, and sets its version. If
// there is an intent of another attempt, it returns that intent and
// errIntentExists. After any other error the service may still apply the write
// later. It returns errRestored if a restore of the service may have lost the
// intent of another attempt.
func (s *store) create(ctx context.Context, r *record) (*wire.Intent, error) {
	if err := s.observeEra(); err != nil {
		return nil, err
	}
	other, err := s.createIntent(ctx, r)
	if err == nil {
		err = s.observeEra()
	}
	if err == nil {
		s.remember(r)
	}
	return other, err
}

func (s *store) createIntent(ctx context.Context, r *record) (*wire.Intent, error) {
	var expected platform.Version
	for pause := minBackoff; ; pause = nextBackoff(pause) {
		version, err := s.write(ctx, r, expected)
		switch {
		case err == nil:
			r.version = version
			return nil, nil
		case errors.Is(err, platform.ErrUnavailable):
			return nil, err
		case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrNotFound):
		default:
			r.uncertain = r.uncertain || !errors.Is(err, platform.ErrConflict)
			found := s.readBack(ctx, r)
			switch found.owner {
			case ownerSelf:
				return nil, nil
			case ownerOther:
				return found.intent, errIntentExists
			case ownerNone:
				expected = found.version
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// write stores the record's intent if the stored version equals expected.
// ErrNotFound means that the lease has expired; the next call uses a new one.
func (s *store) write(ctx context.Context, r *record, expected platform.Version) (platform.Version, error) {
	lease, err := s.leases.current(ctx)
	if errors.Is(err, platform.ErrOutcomeUnknown) {
		return 0, errors.Wrap(platform.ErrThrottled, err.Error()) // no intent was written
	}
	if err != nil {
		return 0, err
	}
	version, err := s.kv.CompareAndSwap(ctx, r.key, r.encode(), expected, lease)
	if errors.Is(err, platform.ErrNotFound) {
		s.leases.invalidate(lease)
	}
	return version, err
}

// owner is the attempt that a stored intent belongs to, as seen by the one that
// reads it.
type owner int

const (
	ownerUnknown owner = iota // the read failed
	ownerNone                 // there is no intent, or a released one
	ownerSelf
	ownerOther
)

// readResult is what a read returned. It may be stale.
type readResult struct {
	owner   owner
	intent  *wire.Intent     // set for ownerOther only
	version platform.Version // 0 if the key does not exist
}

// readBack reads which attempt's intent is stored, and sets the record's version
// if it is its own.
func (s *store) readBack(ctx context.Context, r *record) readResult {
	entry, err := s.kv.Get(ctx, r.key)
	if errors.Is(err, platform.ErrNotFound) {
		return readResult{owner: ownerNone}
	}
	if err != nil {
		return readResult{}
	}
	intent := &wire.Intent{}
	if err := proto.Unmarshal(entry.Value, intent); err != nil {
		return readResult{}
	}
	switch intent.AttemptId {
	case releasedAttemptID:
		return readResult{owner: ownerNone, version: entry.Version}
	case r.intent.AttemptId:
		r.version = entry.Version
		return readResult{owner: ownerSelf, version: entry.Version}
	default:
		return readResult{owner: ownerOther, intent: intent, version: entry.Version}
	}
}

// remove removes the record's own intent, whose call was not executed. An intent
// with a write that may still arrive is released instead of deleted, so that the
// late write conflicts with the released intent.
func (s *store) remove(ctx context.Context, r *record) error {
	s.recent.remove(r.key)
	for pause := minBackoff; ; pause = nextBackoff(pause) {
		err := s.tryRemove(ctx, r)
		if err == nil || sleep(ctx, pause) != nil {
			return err
		}
	}
}

// tryRemove tries to remove the record's intent once. If it is not known to be
// stored, tryRemove first creates it, so that its version is known.
func (s *store) tryRemove(ctx context.Context, r *record) error {
	if r.version == 0 {
		_, err := s.createIntent(ctx, r)
		if errors.Is(err, errIntentExists) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	if r.uncertain {
		return ignoreConflict(s.release(ctx, r))
	}
	err := s.kv.Delete(ctx, r.key, r.version)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return ignoreConflict(err)
}

// ignoreConflict returns nil for a conflict, which means that the version to
// remove no longer exists.
func ignoreConflict(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// release replaces the record's intent by a released one.
func (s *store) release(ctx context.Context, r *record) error {
	placeholder := &record{key: r.key, intent: &wire.Intent{AttemptId: releasedAttemptID}}
	_, err := s.write(ctx, placeholder, r.version)
	return err
}

// recordReply writes the intent with the reply, and retries until it is stored or
// ctx ends.
func (s *store) recordReply(ctx context.Context, r *record) error {
	s.remember(r)
	for pause := minBackoff; ; pause = nextBackoff(pause) {
		_, err := s.write(ctx, r, r.version)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) && r.version.Era() != s.kv.Era() {
			return s.restoreRecord(ctx, r)
		}
		if errors.Is(err, platform.ErrConflict) {
			return s.confirm(ctx, r)
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

// confirm reads the intent until it holds the reply, or ctx ends. It is called after
// a conflict, which occurs if an earlier write succeeded but its response was lost.
func (s *store) confirm(ctx context.Context, r *record) error {
	for pause := minBackoff; ; pause = nextBackoff(pause) {
		entry, err := s.kv.Get(ctx, r.key)
		intent := &wire.Intent{}
		if err == nil {
			err = proto.Unmarshal(entry.Value, intent)
		}
		if err == nil && intent.AttemptId == r.intent.AttemptId && intent.Reply != nil {
			return nil
		}
		if err == nil {
			err = errors.Errorf("intent %s does not hold the reply of this attempt", r.key)
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

func nextBackoff(pause time.Duration) time.Duration { return min(2*pause, maxBackoff) }

// sleep waits for pause with a jitter of 50 percent, or returns the error of ctx
// if it ends first.
func sleep(ctx context.Context, pause time.Duration) error {
	return clock.Sleep(ctx, pause/2+rand.N(pause))
}
