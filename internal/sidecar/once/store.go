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

// store keeps records in the key-value service.
type store struct {
	kv     platform.KV
	leases *leases
	prefix string
}

// released is the attempt id of an intent that another attempt may replace.
const released = ""

// errTaken means that another attempt's intent exists.
var errTaken = errors.New("intent exists")

// create writes the record's intent if there is none, and sets its version. If
// there is one of another attempt, it returns that one and errTaken. After any
// error the intent may still reach the service.
func (s *store) create(ctx context.Context, r *record) (*wire.Intent, error) {
	var expected platform.Version
	for pause := retryMin; ; pause = grow(pause) {
		version, err := s.write(ctx, r, expected)
		switch {
		case err == nil:
			r.version = version
			return nil, nil
		case errors.Is(err, platform.ErrUnavailable):
			return nil, err
		case errors.Is(err, platform.ErrThrottled), errors.Is(err, platform.ErrNotFound):
		default:
			r.unsure = r.unsure || !errors.Is(err, platform.ErrConflict)
			found := s.readBack(ctx, r)
			switch found.owner {
			case ownerSelf:
				return nil, nil
			case ownerOther:
				return found.intent, errTaken
			case ownerNone:
				expected = found.version
			}
		}
		if err := sleep(ctx, pause); err != nil {
			return nil, err
		}
	}
}

// write puts the record's intent into the service if its version is expected.
// ErrNotFound means that the lease was lost; the next call takes another one.
func (s *store) write(ctx context.Context, r *record, expected platform.Version) (platform.Version, error) {
	lease, err := s.leases.current(ctx)
	if errors.Is(err, platform.ErrUnsure) {
		return 0, errors.Wrap(platform.ErrThrottled, err.Error()) // no intent was written
	}
	if err != nil {
		return 0, err
	}
	version, err := s.kv.CompareAndSwap(ctx, r.key, r.encode(), expected, lease)
	if errors.Is(err, platform.ErrNotFound) {
		s.leases.lost(lease)
	}
	return version, err
}

// owner says whose intent a read found.
type owner int

const (
	ownerUnknown owner = iota // the read failed
	ownerNone                 // there is no intent, or a released one
	ownerSelf
	ownerOther
)

// found is the result of a read. It may be stale.
type found struct {
	owner   owner
	intent  *wire.Intent     // of ownerOther
	version platform.Version // 0 if the key does not exist
}

// readBack finds out whose intent is in the service, and sets the record's
// version if it is its own.
func (s *store) readBack(ctx context.Context, r *record) found {
	entry, err := s.kv.Get(ctx, r.key)
	if errors.Is(err, platform.ErrNotFound) {
		return found{owner: ownerNone}
	}
	if err != nil {
		return found{}
	}
	intent := &wire.Intent{}
	if err := proto.Unmarshal(entry.Value, intent); err != nil {
		return found{}
	}
	switch intent.AttemptId {
	case released:
		return found{owner: ownerNone, version: entry.Version}
	case r.intent.AttemptId:
		r.version = entry.Version
		return found{owner: ownerSelf, version: entry.Version}
	default:
		return found{owner: ownerOther, intent: intent, version: entry.Version}
	}
}

// remove takes back the record's own intent, which did not lead to an execution.
// An intent whose write may still be on its way is released instead of deleted:
// the late write then conflicts with the released one.
func (s *store) remove(ctx context.Context, r *record) error {
	for pause := retryMin; ; pause = grow(pause) {
		err := s.removeOnce(ctx, r)
		if err == nil || sleep(ctx, pause) != nil {
			return err
		}
	}
}

func (s *store) removeOnce(ctx context.Context, r *record) error {
	if r.version == 0 {
		_, err := s.create(ctx, r)
		if errors.Is(err, errTaken) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	if r.unsure {
		return settled(s.release(ctx, r))
	}
	err := s.kv.Delete(ctx, r.key, r.version)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	return settled(err)
}

// settled turns a conflict into success: the version to be removed is gone.
func settled(err error) error {
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// release replaces the record's intent by one that another attempt may replace.
func (s *store) release(ctx context.Context, r *record) error {
	mark := &record{key: r.key, intent: &wire.Intent{AttemptId: released}}
	_, err := s.write(ctx, mark, r.version)
	return err
}

// record writes the reply into the intent until it is there or ctx ends.
func (s *store) record(ctx context.Context, r *record) error {
	for pause := retryMin; ; pause = grow(pause) {
		_, err := s.write(ctx, r, r.version)
		if err == nil {
			return nil
		}
		if errors.Is(err, platform.ErrConflict) {
			return s.confirm(ctx, r)
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

// confirm reads whether the reply is recorded, after a conflict that a lost
// answer explains.
func (s *store) confirm(ctx context.Context, r *record) error {
	for pause := retryMin; ; pause = grow(pause) {
		entry, err := s.kv.Get(ctx, r.key)
		intent := &wire.Intent{}
		if err == nil {
			err = proto.Unmarshal(entry.Value, intent)
		}
		if err == nil && intent.AttemptId == r.intent.AttemptId && intent.Reply != nil {
			return nil
		}
		if err == nil {
			err = errors.Errorf("intent %s holds another attempt", r.key)
		}
		if sleep(ctx, pause) != nil {
			return err
		}
	}
}

func grow(pause time.Duration) time.Duration { return min(2*pause, retryMax) }

// sleep waits about pause, or returns the error of ctx.
func sleep(ctx context.Context, pause time.Duration) error {
	return clock.Sleep(ctx, pause/2+rand.N(pause))
}
