package pieces

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// pieceState is what the history records of a piece.
type pieceState struct {
	uses        int
	lastCached  time.Time // last time that the engine certainly had it cached
	incarnation uint64    // of the engine that had it cached
	lastStored  time.Time // last time that the store certainly had it
	lastMissing time.Time // last time that the store did not have it
}

// history records the state of the most recently used pieces.
type history struct {
	mu     sync.Mutex
	pieces *simplelru.LRU[pieceKey, *pieceState]
}

func newHistory() *history {
	pieces, err := simplelru.NewLRU[pieceKey, *pieceState](maxHistory, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return &history{pieces: pieces}
}

// update applies a change to the recorded state of a piece.
func (h *history) update(key pieceKey, change func(*pieceState)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.updateLocked(key, change)
}

func (h *history) updateLocked(key pieceKey, change func(*pieceState)) {
	state, ok := h.pieces.Get(key)
	if !ok {
		state = &pieceState{}
		h.pieces.Add(key, state)
	}
	change(state)
}

// recordUse records that the engine has just computed all pieces of a prompt or
// read them from its cache.
func (h *history) recordUse(p *prompt, incarnation uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for i := range p.pieces() {
		h.updateLocked(p.key(i), func(s *pieceState) {
			s.uses++
			s.lastCached = now
			s.incarnation = incarnation
		})
	}
}

// recordImported records that the engine has imported a piece from the store.
func (h *history) recordImported(key pieceKey, incarnation uint64) {
	now := time.Now()
	h.update(key, func(s *pieceState) {
		s.lastCached = now
		s.incarnation = incarnation
		s.lastStored = now
	})
}

// recordStored records that the store has a piece.
func (h *history) recordStored(key pieceKey) {
	h.update(key, func(s *pieceState) {
		s.lastStored = time.Now()
		s.lastMissing = time.Time{}
	})
}

// recordMissing records that the store has no usable copy of piece i. The store may
// have lost the following pieces too.
func (h *history) recordMissing(p *prompt, i int) {
	h.update(p.key(i), func(s *pieceState) { s.lastMissing = time.Now() })
	for ; i < p.pieces(); i++ {
		h.update(p.key(i), func(s *pieceState) { s.lastStored = time.Time{} })
	}
}

// cachedPieces returns the number of leading pieces that the engine of that
// incarnation had cached within cachedFor.
func (h *history) cachedPieces(p *prompt, incarnation uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range p.pieces() {
		state, ok := h.pieces.Peek(p.key(i))
		if !ok || state.incarnation != incarnation || time.Since(state.lastCached) >= cachedFor {
			return i
		}
	}
	return p.pieces()
}

// recentlyMissing reports whether the store lacked the piece within missingFor.
func (h *history) recentlyMissing(key pieceKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, ok := h.pieces.Peek(key)
	return ok && time.Since(state.lastMissing) < missingFor
}

// worthStoring returns the pieces that were used at least minUses times and were
// not stored within storedFor.
func (h *history) worthStoring(p *prompt) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var worth []int
	for i := range p.pieces() {
		state, ok := h.pieces.Peek(p.key(i))
		if ok && state.uses >= minUses && time.Since(state.lastStored) >= storedFor {
			worth = append(worth, i)
		}
	}
	return worth
}
