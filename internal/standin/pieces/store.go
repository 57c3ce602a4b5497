// Package pieces is a stand-in for the platform's store of KV cache pieces.
package pieces

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
	"github.com/wasabigate/wasabigate/internal/platform/httpapi"
	"github.com/wasabigate/wasabigate/internal/standin/fault"
)

// DefaultCapacity is the default capacity of a Store in pieces.
const DefaultCapacity = 4096

// Store is a piece store in memory that evicts the least recently used pieces.
// It implements platform.PieceStore.
type Store struct {
	*fault.Gate
	mu     sync.Mutex
	cached *lru.Cache[string, httpapi.Piece]
}

var _ platform.PieceStore = (*Store)(nil)

// New returns an empty Store of capacity pieces that draws random faults from
// seed.
func New(seed uint64, capacity int) (*Store, error) {
	cached, err := lru.New[string, httpapi.Piece](capacity)
	if err != nil {
		return nil, errors.Wrapf(err, "capacity of %d pieces", capacity)
	}
	return &Store{Gate: fault.NewGate(seed), cached: cached}, nil
}

// Get implements platform.PieceStore.
func (s *Store) Get(ctx context.Context, id string) (platform.Piece, error) {
	piece, err := s.load(ctx, id)
	if err != nil {
		return platform.Piece{}, err
	}
	return piece.Open()
}

// Put implements platform.PieceStore. It returns ErrConflict rather than replace
// a piece of another salt.
func (s *Store) Put(ctx context.Context, piece platform.Piece) error {
	return s.store(ctx, httpapi.SealPiece(piece))
}

// load returns a piece in its wire form, possibly damaged by a fault.
func (s *Store) load(ctx context.Context, id string) (httpapi.Piece, error) {
	if err := s.Enter(ctx); err != nil {
		return httpapi.Piece{}, errors.Wrap(err, "piece store")
	}
	damaged := s.Corrupted()
	s.mu.Lock()
	defer s.mu.Unlock()
	piece, ok := s.cached.Get(id)
	if !ok {
		return httpapi.Piece{}, errors.Wrapf(platform.ErrNotFound, "piece %q", id)
	}
	piece.Data = slices.Clone(piece.Data)
	if damaged {
		damage(&piece)
	}
	return piece, nil
}

// store checks that a piece is intact and adds it.
func (s *Store) store(ctx context.Context, piece httpapi.Piece) error {
	if err := s.Enter(ctx); err != nil {
		return errors.Wrap(err, "piece store")
	}
	if _, err := piece.Open(); err != nil {
		return err
	}
	if err := s.add(piece); err != nil {
		return err
	}
	if s.ResponseLost() {
		return errors.Wrap(platform.ErrOutcomeUnknown, "answer lost")
	}
	return nil
}

func (s *Store) add(piece httpapi.Piece) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stored, ok := s.cached.Peek(piece.ID); ok && stored.Salt != piece.Salt {
		return errors.Wrapf(platform.ErrConflict, "piece %q: held with another salt", piece.ID)
	}
	piece.Data = slices.Clone(piece.Data)
	s.cached.Add(piece.ID, piece)
	return nil
}

// damage flips a bit of the data, or clears the checksum if there is no data.
func damage(piece *httpapi.Piece) {
	if len(piece.Data) > 0 {
		piece.Data[len(piece.Data)/2] ^= 1
		return
	}
	piece.SHA256 = make([]byte, sha256.Size)
}
