// Package configstore keeps the document of each environment in the key-value
// service. A change is a compare-and-swap against the revision that its author
// read; a change id settles whether a change took effect when its answer was
// lost.
package configstore

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/config"
	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/rpc/wire"
)

// Store is the configuration of one environment.
type Store struct {
	kv          platform.KV
	environment string
}

// New returns the Store of an environment.
func New(kv platform.KV, environment string) *Store {
	return &Store{kv: kv, environment: environment}
}

// State is what an author read: the basis of a change.
type State struct {
	Revision *config.Revision // nil if the environment has no document
	version  platform.Version
	envelope *wire.Envelope
}

// Number returns the revision's number, or 0 if there is no document.
func (s *State) Number() uint64 {
	if s.Revision == nil {
		return 0
	}
	return s.Revision.Number
}

// Had says whether a document with that digest is or was in force, as far as
// the history goes.
func (s *State) Had(digest [32]byte) bool {
	if s.Revision == nil {
		return false
	}
	return slices.ContainsFunc(s.History(), func(p Past) bool { return p.Digest == digest })
}

// Settlement says how it became known that a change took effect.
type Settlement string

// The settlements.
const (
	SettledByAnswer   Settlement = "answered"  // the key-value service confirmed the write
	SettledByReadBack Settlement = "read back" // the answer was lost; the change id was found
	SettledUnchanged  Settlement = "unchanged" // all the keys were withdrawn before
)

// Result is a change that took effect.
type Result struct {
	Revision   *config.Revision
	ChangeID   string
	Settlement Settlement
}

// Read returns the current state. It is not an error if there is no document.
func (s *Store) Read(ctx context.Context) (*State, error) {
	entry, err := retryRead(ctx, func() (platform.Entry, error) {
		return s.kv.Get(ctx, Key(s.environment))
	})
	if errors.Is(err, platform.ErrNotFound) {
		return &State{}, nil
	}
	if err != nil {
		return nil, errors.Wrapf(err, "read the configuration of %s", s.environment)
	}
	return s.open(entry)
}

func (s *Store) open(entry platform.Entry) (*State, error) {
	envelope, err := decode(entry.Value)
	if err != nil {
		return nil, err
	}
	if envelope.Environment != s.environment {
		return nil, errors.Wrapf(platform.ErrCorrupt, "the configuration of %s names environment %q", s.environment, envelope.Environment)
	}
	revision, err := openEnvelope(envelope)
	if err != nil {
		return nil, err
	}
	return &State{Revision: revision, version: entry.Version, envelope: envelope}, nil
}

// Apply makes text the document in force if base is still current, or returns
// a *ConflictError. An error that wraps ErrUnsettled means that the change may
// have taken effect.
func (s *Store) Apply(ctx context.Context, base *State, text []byte, author string) (*Result, error) {
	return s.change(ctx, base, text, nil, author)
}

// change applies text and withdraws keys.
func (s *Store) change(ctx context.Context, base *State, text []byte, withdraw []string, author string) (*Result, error) {
	if _, err := config.Parse(text); err != nil {
		return nil, err
	}
	envelope := s.next(base, text, withdraw, author)
	return s.write(ctx, base, envelope)
}

// next returns the envelope of the revision after base.
func (s *Store) next(base *State, text []byte, withdraw []string, author string) *wire.Envelope {
	digest := Digest(text)
	envelope := &wire.Envelope{
		Revision:     base.Number() + 1,
		Digest:       digest[:],
		ChangeId:     uuid.NewString(),
		Author:       author,
		AcceptedUnix: time.Now().Unix(),
		Document:     text,
		Environment:  s.environment,
	}
	withdrawn := keySet(withdraw)
	if base.Revision != nil {
		envelope.History = pushHistory(past(base.envelope), base.envelope.History)
		maps.Copy(withdrawn, base.Revision.Withdrawn)
	}
	envelope.WithdrawnKeys = slices.Sorted(maps.Keys(withdrawn))
	return envelope
}

// Update applies an edit of the current document. When another operator's
// change comes first, the edit is made again on the newer document.
func (s *Store) Update(ctx context.Context, author string, edit func(*State) (*Change, error)) (*Result, error) {
	var pause backoff
	for {
		base, err := s.readPresent(ctx)
		if err != nil {
			return nil, err
		}
		edited, err := edit(base)
		if err != nil {
			return nil, err
		}
		if edited == nil {
			return &Result{Revision: base.Revision, ChangeID: base.envelope.ChangeId, Settlement: SettledUnchanged}, nil
		}
		result, err := s.change(ctx, base, edited.Text, edited.Withdraw, author)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || pause.wait(ctx) != nil {
			return result, err
		}
	}
}

// Withdraw withdraws keys for good: a new revision with the same document.
func (s *Store) Withdraw(ctx context.Context, author string, keyIDs ...string) (*Result, error) {
	return s.Update(ctx, author, func(base *State) (*Change, error) {
		if base.withdrew(keyIDs) {
			return nil, nil
		}
		return &Change{Text: base.Revision.Text, Withdraw: keyIDs}, nil
	})
}

// withdrew says whether all the keys are withdrawn. That holds for all later
// revisions too, so that it is true even of a stale state.
func (s *State) withdrew(keyIDs []string) bool {
	return !slices.ContainsFunc(keyIDs, func(id string) bool { return !s.Revision.KeyWithdrawn(id) })
}

// Change is the outcome of an edit. A nil Change means that there is nothing to
// change.
type Change struct {
	Text     []byte
	Withdraw []string // ids of keys to be withdrawn for good
}

// absentReads is the number of answers that show that there is no document: a
// single one may be stale.
const absentReads = 5

// readPresent returns the current state, or ErrNoDocument.
func (s *Store) readPresent(ctx context.Context) (*State, error) {
	var pause backoff
	for range absentReads {
		state, err := s.Read(ctx)
		if err != nil || state.Revision != nil {
			return state, err
		}
		if err := pause.wait(ctx); err != nil {
			break
		}
	}
	return nil, errors.Wrap(ErrNoDocument, s.environment)
}

// Promote puts the document of the source environment, which must have the
// expected digest, into this environment, byte for byte. Keys withdrawn there
// are withdrawn here too.
func (s *Store) Promote(ctx context.Context, base *State, source *Store, expected [32]byte, author string) (*Result, error) {
	from, err := source.readPresent(ctx)
	if err != nil {
		return nil, err
	}
	if from.Revision.Digest != expected {
		return nil, errors.Wrapf(ErrDigestMismatch, "%s has revision %d with digest %x", source.environment, from.Number(), from.Revision.Digest)
	}
	return s.change(ctx, base, from.Revision.Text, from.envelope.WithdrawnKeys, author)
}

// Past is an accepted revision.
type Past struct {
	Number   uint64
	Digest   [32]byte
	ChangeID string
	Author   string
	Accepted time.Time
	Text     []byte // nil if the history no longer holds it
}

// History returns the accepted revisions, newest first.
func (s *Store) History(ctx context.Context) ([]Past, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	return state.History(), nil
}

// History returns the accepted revisions up to this one, newest first.
func (s *State) History() []Past {
	if s.Revision == nil {
		return nil
	}
	entries := append([]*wire.PastDocument{past(s.envelope)}, s.envelope.History...)
	history := make([]Past, len(entries))
	for i, p := range entries {
		history[i] = Past{
			Number:   p.Revision,
			ChangeID: p.ChangeId,
			Author:   p.Author,
			Accepted: time.Unix(p.AcceptedUnix, 0).UTC(),
			Text:     p.Document,
		}
		copy(history[i].Digest[:], p.Digest)
	}
	return history
}
