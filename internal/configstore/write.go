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
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
)

// backoff pauses between attempts, doubling, with full jitter.
type backoff struct {
	limit time.Duration
}

// wait pauses, or returns the error of ctx.
func (b *backoff) wait(ctx context.Context) error {
	b.limit = min(max(2*b.limit, firstPause), maxPause)
	timer := time.NewTimer(firstPause/2 + rand.N(b.limit))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// passing says whether an attempt had no effect and may succeed later.
func passing(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrThrottled)
}

// retryRead repeats a read until ctx ends.
func retryRead[T any](ctx context.Context, read func() (T, error)) (T, error) {
	var pause backoff
	for {
		value, err := read()
		if err == nil || !passing(err) || pause.wait(ctx) != nil {
			return value, err
		}
	}
}

// Digest returns the digest of a document.
func Digest(text []byte) [32]byte { return sha256.Sum256(text) }

// write swaps the envelope in if base is still current. All attempts carry the
// same expected version, so that at most one of them can take effect.
func (s *Store) write(ctx context.Context, base *State, envelope *wire.Envelope) (*Result, error) {
	value, err := sealWithin(envelope)
	if err != nil {
		return nil, err
	}
	unsure := false
	var pause backoff
	for {
		_, err := s.kv.CompareAndSwap(ctx, Key(s.environment), value, base.version, 0)
		switch {
		case err == nil:
			return result(envelope, SettledByAnswer)
		case errors.Is(err, platform.ErrConflict):
			return s.settle(ctx, base, envelope, unsure)
		case errors.Is(err, platform.ErrUnsure):
			unsure = true
			if current := s.newer(ctx, base.version); current != nil {
				return conclude(base, current, envelope, unsure)
			}
		case !passing(err):
			return nil, unsettled(errors.Wrap(err, "write the configuration"), unsure)
		}
		if pause.wait(ctx) != nil {
			return nil, unsettled(errors.Wrap(err, "write the configuration"), unsure)
		}
	}
}

// unsettled marks err if an earlier attempt may have taken effect.
func unsettled(err error, unsure bool) error {
	if !unsure {
		return err
	}
	return errors.Wrap(ErrUnsettled, err.Error())
}

// settle finds out, after a conflict, what came first.
func (s *Store) settle(ctx context.Context, base *State, envelope *wire.Envelope, unsure bool) (*Result, error) {
	current, err := s.readAfter(ctx, base.version)
	if err != nil {
		return nil, unsettled(errors.Wrap(err, "read back after a conflict"), unsure)
	}
	return conclude(base, current, envelope, unsure)
}

// conclude says from a state newer than base whether an attempt of the change
// took effect or another change came first.
func conclude(base, current *State, envelope *wire.Envelope, unsure bool) (*Result, error) {
	switch {
	case unsure && current.includes(envelope.ChangeId):
		return result(envelope, SettledByReadBack)
	case unsure && current.forgot(envelope.Revision):
		return nil, errors.Wrapf(ErrUnsettled, "the history no longer holds revision %d", envelope.Revision)
	}
	return nil, &ConflictError{
		Base:    base.Number(),
		Current: current.Revision,
		Diff:    Diff(current.Revision.Text, envelope.Document),
	}
}

// newer returns the state if a single read shows one newer than version.
func (s *Store) newer(ctx context.Context, version platform.Version) *State {
	entry, err := s.kv.Get(ctx, Key(s.environment))
	if err != nil || entry.Version <= version {
		return nil
	}
	state, err := s.open(entry)
	if err != nil {
		return nil
	}
	return state
}

// readAfter reads until the state is newer than version: a read may be stale.
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
			return nil, errors.Wrapf(platform.ErrUnavailable, "only stale answers: %v", err)
		}
	}
}

// includes says whether the change is the current one or in the history.
func (s *State) includes(changeID string) bool {
	return s.envelope.ChangeId == changeID || slices.ContainsFunc(s.envelope.History, func(p *wire.PastDocument) bool {
		return p.ChangeId == changeID
	})
}

// forgot says whether the history no longer reaches back to a revision.
func (s *State) forgot(number uint64) bool {
	oldest := s.envelope.Revision
	if n := len(s.envelope.History); n > 0 {
		oldest = s.envelope.History[n-1].Revision
	}
	return number < oldest
}

func result(envelope *wire.Envelope, settlement Settlement) (*Result, error) {
	var revision *config.Revision
	revision, err := openEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	return &Result{Revision: revision, ChangeID: envelope.ChangeId, Settlement: settlement}, nil
}
