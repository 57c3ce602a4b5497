package pieces

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// pieceState is what is remembered of a piece.
type pieceState struct {
	uses        int
	held        time.Time // last time that the engine surely held it
	incarnation uint64    // of the engine that held it
	kept        time.Time // last time that the store surely held it
	absent      time.Time // last time that the store did not have it
}

// memory remembers the pieces used last.
type memory struct {
	mu     sync.Mutex
	pieces *simplelru.LRU[pieceKey, *pieceState]
}

func newMemory() *memory {
	pieces, err := simplelru.NewLRU[pieceKey, *pieceState](maxRemembered, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &memory{pieces: pieces}
}

// change applies a change to what is remembered of a piece.
func (m *memory) change(key pieceKey, change func(*pieceState)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeLocked(key, change)
}

func (m *memory) changeLocked(key pieceKey, change func(*pieceState)) {
	state, ok := m.pieces.Get(key)
	if !ok {
		state = &pieceState{}
		m.pieces.Add(key, state)
	}
	change(state)
}

// used notes that an engine has just computed or read all pieces of a prompt.
func (m *memory) used(r *prompt, incarnation uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for i := range r.pieces() {
		m.changeLocked(r.key(i), func(s *pieceState) {
			s.uses++
			s.held = now
			s.incarnation = incarnation
		})
	}
}

// imported notes that the engine has taken a piece from the store.
func (m *memory) imported(key pieceKey, incarnation uint64) {
	now := time.Now()
	m.change(key, func(s *pieceState) {
		s.held = now
		s.incarnation = incarnation
		s.kept = now
	})
}

// stored notes that the store holds a piece.
func (m *memory) stored(key pieceKey) {
	m.change(key, func(s *pieceState) {
		s.kept = time.Now()
		s.absent = time.Time{}
	})
}

// missing notes that the store has no usable copy of piece i. The ones that
// follow may be lost with it.
func (m *memory) missing(r *prompt, i int) {
	m.change(r.key(i), func(s *pieceState) { s.absent = time.Now() })
	for ; i < r.pieces(); i++ {
		m.change(r.key(i), func(s *pieceState) { s.kept = time.Time{} })
	}
}

// held returns the number of leading pieces that the engine of that incarnation
// has held a moment ago.
func (m *memory) held(r *prompt, incarnation uint64) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range r.pieces() {
		state, ok := m.pieces.Peek(r.key(i))
		if !ok || state.incarnation != incarnation || time.Since(state.held) >= heldFor {
			return i
		}
	}
	return r.pieces()
}

// absent says whether the store did not have the piece a moment ago.
func (m *memory) absent(key pieceKey) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.pieces.Peek(key)
	return ok && time.Since(state.absent) < absentFor
}

// worthKeeping returns the pieces that were used often enough and are not kept.
func (m *memory) worthKeeping(r *prompt) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var worth []int
	for i := range r.pieces() {
		state, ok := m.pieces.Peek(r.key(i))
		if ok && state.uses >= minUses && time.Since(state.kept) >= keptFor {
			worth = append(worth, i)
		}
	}
	return worth
}
