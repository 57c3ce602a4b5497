package configstore

import (
	"context"
	"maps"
	"slices"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
)

// revisionsPerRestore is added to a revision's number for each restore of the service since
// the revision before it was accepted: more than a restore can have lost. No number is
// given to two documents.
const revisionsPerRestore = 1000

// nextNumber returns the number of the revision after base.
func (s *Store) nextNumber(base *State) uint64 {
	var accepted platform.Era
	if base.envelope != nil {
		accepted = platform.Era(base.envelope.Era)
	}
	return base.Number() + 1 + revisionsPerRestore*uint64(s.kv.Era()-min(accepted, s.kv.Era()))
}

// Restore writes a revision that was in force again if a restore of the service lost it,
// and withdraws again the keys whose withdrawal was lost. It reports whether anything was
// lost. A revision accepted since the restore stays. author names who writes.
func (s *Store) Restore(ctx context.Context, inForce *config.Revision, author string) (bool, error) {
	current, err := s.Read(ctx)
	if err != nil {
		return false, err
	}
	if current.Number() < inForce.Number {
		return true, s.rewrite(ctx, current, inForce)
	}
	lost := slices.DeleteFunc(slices.Sorted(maps.Keys(inForce.Withdrawn)), current.Revision.KeyWithdrawn)
	if len(lost) == 0 {
		return false, nil
	}
	_, err = s.Withdraw(ctx, author, lost...)
	return true, err
}

// rewrite replaces the current state by a later revision, with the current history. The
// revision keeps the era in which it was accepted: the one after it may be lost too.
func (s *Store) rewrite(ctx context.Context, current *State, revision *config.Revision) error {
	envelope, err := decodeEnvelope(revision.Envelope)
	if err != nil {
		return err
	}
	withdrawn := maps.Clone(revision.Withdrawn)
	if current.Revision != nil {
		envelope.History = prependHistory(historyEntry(current.envelope), current.envelope.History)
		maps.Copy(withdrawn, current.Revision.Withdrawn)
	}
	envelope.WithdrawnKeys = slices.Sorted(maps.Keys(withdrawn))
	value, err := encodeWithinLimit(envelope)
	if err != nil {
		return err
	}
	_, err = s.kv.CompareAndSwap(ctx, Key(s.environment), value, current.version, 0)
	return errors.Wrapf(err, "write revision %d again", revision.Number)
}
