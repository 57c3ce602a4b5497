package configstore

import (
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
)

// backoff is an exponential back-off with full jitter.
type backoff struct {
	limit time.Duration
}

// wait waits before the next attempt, or returns the error of ctx.
func (b *backoff) wait(ctx context.Context) error {
	b.limit = min(max(2*b.limit, initialBackoff), maxBackoff)
	timer := time.NewTimer(initialBackoff/2 + rand.N(b.limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retryable reports whether an attempt had no effect and may succeed later.
func retryable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
}

// retryRead retries a read while its error is retryable, until ctx ends.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	var pause backoff
	for {
		value, err := read()
		if err == nil || !retryable(err) || pause.wait(ctx) != nil {
			return value, err
		}
	}
}

// Digest returns the digest of a document.
func Digest(text []byte) [32]byte { return sha256.Sum256(text) }

// write stores the envelope if base is still current. All attempts expect the
// same version, so that at most one of them can take effect.
func (s *Store) write(ctx context.Context, base *State, envelope *wire.Envelope) (*Result, error) {
	value, err := encodeWithinLimit(envelope)
	if err != nil {
		return nil, err
	}
	mayHaveApplied := false
	var pause backoff
	for {
		_, err := s.kv.CompareAndSwap(ctx, Key(s.environment), value, base.version, 0)
		switch {
		case err == nil:
			return result(envelope, ConfirmedByResponse)
		case errors.Is(err, platform.ErrConflict):
			return s.resolveConflict(ctx, base, envelope, mayHaveApplied)
		case errors.Is(err, platform.ErrOutcomeUnknown):
			mayHaveApplied = true
			if current := s.readNewer(ctx, base.version); current != nil {
				return resolveOutcome(base, current, envelope, mayHaveApplied)
			}
		case !retryable(err):
			return nil, withUnknownOutcome(errors.Wrap(err, "write the configuration"), mayHaveApplied)
		}
		if pause.wait(ctx) != nil {
			return nil, withUnknownOutcome(errors.Wrap(err, "write the configuration"), mayHaveApplied)
		}
	}
}

// withUnknownOutcome wraps err in ErrOutcomeUnknown if an earlier attempt may have
// taken effect.
func withUnknownOutcome(err error, mayHaveApplied bool) error {
	if !mayHaveApplied {
		return err
	}
	return errors.Wrap(ErrOutcomeUnknown, err.Error())
}

// resolveConflict reads the current state after a conflict and determines the
// outcome of the change.
func (s *Store) resolveConflict(ctx context.Context, base *State, envelope *wire.Envelope, mayHaveApplied bool) (*Result, error) {
	current, err := s.readAfter(ctx, base.version)
	if err != nil {
		return nil, withUnknownOutcome(errors.Wrap(err, "read back after a conflict"), mayHaveApplied)
	}
	return resolveOutcome(base, current, envelope, mayHaveApplied)
}

// resolveOutcome determines, from a state newer than base, whether an attempt of
// the change took effect or another change came first.
func resolveOutcome(base, current *State, envelope *wire.Envelope, mayHaveApplied bool) (*Result, error) {
	switch {
	case mayHaveApplied && current.includes(envelope.ChangeId):
		return result(envelope, ConfirmedByReadBack)
	case mayHaveApplied && current.historyMisses(envelope.Revision):
		return nil, errors.Wrapf(ErrOutcomeUnknown, "the history no longer holds revision %d", envelope.Revision)
	}
	return nil, &ConflictError{
		Base:    base.Number(),
		Current: current.Revision,
		Diff:    Diff(current.Revision.Text, envelope.Document),
	}
}

// readNewer reads once and returns the state if it is newer than version, else nil.
func (s *Store) readNewer(ctx context.Context, version platform.Version) *State {
	entry, err := s.kv.Get(ctx, Key(s.environment))
	if err != nil || entry.Version <= version {
		return nil
	}
	state, err := s.openEntry(entry)
	if err != nil {
		return nil
	}
	return state
}

// readAfter reads until the state is newer than version, since reads may be stale.
func (s *Store) readAfter(ctx context.Context, version platform.Version) (*State, error) {
	var pause backoff
	for {
		state, err := s.Read(ctx)
		if err != nil {
			return nil, err
		}
		if state.version > version {
			return state, nil
		}
		if err := pause.wait(ctx); err != nil {
			return nil, errors.Wrapf(platform.ErrUnavailable, "only stale reads: %v", err)
		}
	}
}

// includes reports whether the change is the current one or in the history.
func (s *State) includes(changeID string) bool {
	return s.envelope.ChangeId == changeID || slices.ContainsFunc(s.envelope.History, func(p *wire.PastDocument) bool {
		return p.ChangeId == changeID
	})
}

// historyMisses reports whether the revision is older than all that the history has.
func (s *State) historyMisses(number uint64) bool {
	oldest := s.envelope.Revision
	if n := len(s.envelope.History); n > 0 {
		oldest = s.envelope.History[n-1].Revision
	}
	return number < oldest
}

func result(envelope *wire.Envelope, confirmation Confirmation) (*Result, error) {
	var revision *config.Revision
	revision, err := parseRevision(envelope)
	if err != nil {
		return nil, err
	}
	return &Result{Revision: revision, ChangeID: envelope.ChangeId, Confirmation: confirmation}, nil
}
