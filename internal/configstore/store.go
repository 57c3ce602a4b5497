// Package configstore stores the document of each environment in the key-value
// service. A change is a compare-and-swap on the revision that its author read;
// its change id shows whether it took effect when the response to the write was
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

// State is the stored state that a change is based on.
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

// HasDigest reports whether the current document or one in the history has that digest.
func (s *State) HasDigest(digest [32]byte) bool {
	if s.Revision == nil {
		return false
	}
	return slices.ContainsFunc(s.History(), func(p HistoryEntry) bool { return p.Digest == digest })
}

// Confirmation is how it was established that a change took effect.
type Confirmation string

// Values of Confirmation.
const (
	ConfirmedByResponse Confirmation = "answered"  // the key-value service confirmed the write
	ConfirmedByReadBack Confirmation = "read back" // the response was lost; a later read found the change id
	ConfirmedUnchanged  Confirmation = "unchanged" // nothing was written, since all the keys were withdrawn before
)

// Result describes a change that took effect.
type Result struct {
	Revision     *config.Revision
	ChangeID     string
	Confirmation Confirmation
}

// Read returns the current state. Having no document is not an error.
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
	return s.openEntry(entry)
}

// openEntry decodes an entry and checks that it belongs to the environment.
func (s *Store) openEntry(entry platform.Entry) (*State, error) {
	envelope, err := decodeEnvelope(entry.Value)
	if err != nil {
		return nil, err
	}
	if envelope.Environment != s.environment {
		return nil, errors.Wrapf(platform.ErrCorrupt, "the configuration of %s names environment %q", s.environment, envelope.Environment)
	}
	revision, err := parseRevision(envelope)
	if err != nil {
		return nil, err
	}
	return &State{Revision: revision, version: entry.Version, envelope: envelope}, nil
}

// Apply puts text in force as the new document if base is still current, else it
// returns a *ConflictError. An error that wraps ErrOutcomeUnknown means that the
// change may have taken effect.
func (s *Store) Apply(ctx context.Context, base *State, text []byte, author string) (*Result, error) {
	return s.change(ctx, base, text, nil, author)
}

// change replaces the document by text and withdraws keys.
func (s *Store) change(ctx context.Context, base *State, text []byte, withdraw []string, author string) (*Result, error) {
	if _, err := config.Parse(text); err != nil {
		return nil, err
	}
	envelope := s.nextEnvelope(base, text, withdraw, author)
	return s.write(ctx, base, envelope)
}

// nextEnvelope returns the envelope of the revision after base.
func (s *Store) nextEnvelope(base *State, text []byte, withdraw []string, author string) *wire.Envelope {
	digest := Digest(text)
	envelope := &wire.Envelope{
		Revision:     s.nextNumber(base),
		Era:          uint64(s.kv.Era()),
		Digest:       digest[:],
		ChangeId:     uuid.NewString(),
		Author:       author,
		AcceptedUnix: time.Now().Unix(),
		Document:     text,
		Environment:  s.environment,
	}
	withdrawn := keySet(withdraw)
	if base.Revision != nil {
		envelope.History = prependHistory(historyEntry(base.envelope), base.envelope.History)
		maps.Copy(withdrawn, base.Revision.Withdrawn)
	}
	envelope.WithdrawnKeys = slices.Sorted(maps.Keys(withdrawn))
	return envelope
}

// Update applies an edit to the current document. On a conflict with another
// change, it calls edit again with the newer state.
func (s *Store) Update(ctx context.Context, author string, edit func(*State) (*Change, error)) (*Result, error) {
	var pause backoff
	for {
		base, err := s.readExisting(ctx)
		if err != nil {
			return nil, err
		}
		edited, err := edit(base)
		if err != nil {
			return nil, err
		}
		if edited == nil {
			return &Result{Revision: base.Revision, ChangeID: base.envelope.ChangeId, Confirmation: ConfirmedUnchanged}, nil
		}
		result, err := s.change(ctx, base, edited.Text, edited.Withdraw, author)
		var conflict *ConflictError
		if !errors.As(err, &conflict) || pause.wait(ctx) != nil {
			return result, err
		}
	}
}

// Withdraw withdraws keys permanently, in a new revision with the same document.
func (s *Store) Withdraw(ctx context.Context, author string, keyIDs ...string) (*Result, error) {
	return s.Update(ctx, author, func(base *State) (*Change, error) {
		if base.allWithdrawn(keyIDs) {
			return nil, nil
		}
		return &Change{Text: base.Revision.Text, Withdraw: keyIDs}, nil
	})
}

// allWithdrawn reports whether all the keys are withdrawn. Since a withdrawal is
// permanent, true holds for all later revisions even if s is stale.
func (s *State) allWithdrawn(keyIDs []string) bool {
	return !slices.ContainsFunc(keyIDs, func(id string) bool { return !s.Revision.KeyWithdrawn(id) })
}

// Change is the result of an edit. A nil *Change means that there is nothing to
// change.
type Change struct {
	Text     []byte
	Withdraw []string // ids of keys to withdraw permanently
}

// maxAbsentReads is the number of reads without a document after which there is
// taken to be none. A single read may be stale.
const maxAbsentReads = 5

// readExisting returns the current state, or an error that wraps ErrNoDocument.
func (s *Store) readExisting(ctx context.Context) (*State, error) {
	var pause backoff
	for range maxAbsentReads {
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

// Promote copies the document of the source environment, which must have the
// expected digest, to this environment byte for byte. It also withdraws here the
// keys withdrawn there.
func (s *Store) Promote(ctx context.Context, base *State, source *Store, expected [32]byte, author string) (*Result, error) {
	from, err := source.readExisting(ctx)
	if err != nil {
		return nil, err
	}
	if from.Revision.Digest != expected {
		return nil, errors.Wrapf(ErrDigestMismatch, "%s has revision %d with digest %x", source.environment, from.Number(), from.Revision.Digest)
	}
	return s.change(ctx, base, from.Revision.Text, from.envelope.WithdrawnKeys, author)
}

// HistoryEntry is the history entry of a revision.
type HistoryEntry struct {
	Number   uint64
	Digest   [32]byte
	ChangeID string
	Author   string
	Accepted time.Time
	Text     []byte // nil if the history no longer has it
}

// History returns the history of the current revision, newest first.
func (s *Store) History(ctx context.Context) ([]HistoryEntry, error) {
	state, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	return state.History(), nil
}

// History returns the revisions up to and including this one, newest first, as far
// as they are stored.
func (s *State) History() []HistoryEntry {
	if s.Revision == nil {
		return nil
	}
	entries := append([]*wire.PastDocument{historyEntry(s.envelope)}, s.envelope.History...)
	history := make([]HistoryEntry, len(entries))
	for i, p := range entries {
		history[i] = HistoryEntry{
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
