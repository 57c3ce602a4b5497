package control

import (
	"sync"

	"github.com/wasabigate/wasabigate/internal/config"
)

const (
	// maxArchivedRevisions is the number of recent revisions that deltas can be
	// based on.
	maxArchivedRevisions = 16
	// maxCachedDeltas bounds the delta cache. Deltas are cached since many peers
	// need the same one.
	maxCachedDeltas = 32
)

// document is an envelope as peers exchange it: in full, or as a delta to the
// envelope of revision base.
type document struct {
	number uint64 // of the revision
	base   uint64 // 0 if data is the full envelope
	data   []byte
}

// archive holds the envelopes of recent revisions, for encoding and decoding
// deltas. It is safe for concurrent use.
type archive struct {
	codec Codec

	mu        sync.Mutex
	envelopes map[uint64][]byte
	numbers   []uint64 // oldest first
	deltas    map[deltaKey][]byte
}

type deltaKey struct{ base, target uint64 }

func newArchive(codec Codec) *archive {
	return &archive{
		codec:     codec,
		envelopes: make(map[uint64][]byte),
		deltas:    make(map[deltaKey][]byte),
	}
}

// add stores a revision and, if the archive is full, evicts the oldest one.
func (a *archive) add(revision *config.Revision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.numbers) == maxArchivedRevisions {
		delete(a.envelopes, a.numbers[0])
		a.numbers = a.numbers[1:]
	}
	a.envelopes[revision.Number] = revision.Envelope
	a.numbers = append(a.numbers, revision.Number)
}

// encode returns the revision for a peer that has base: as a delta if the archive
// has base, else in full.
func (a *archive) encode(base uint64, revision *config.Revision) document {
	a.mu.Lock()
	defer a.mu.Unlock()
	from, known := a.envelopes[base]
	if !known || base == revision.Number {
		return document{number: revision.Number, data: revision.Envelope}
	}
	key := deltaKey{base, revision.Number}
	delta, cached := a.deltas[key]
	if !cached {
		delta = a.codec.Delta(from, revision.Envelope)
		a.cacheDelta(key, delta)
	}
	return document{number: revision.Number, base: base, data: delta}
}

func (a *archive) cacheDelta(key deltaKey, delta []byte) {
	if len(a.deltas) == maxCachedDeltas {
		clear(a.deltas)
	}
	a.deltas[key] = delta
}

// decode returns the envelope of a document, or nil if it is a delta to an
// envelope that the archive does not have.
func (a *archive) decode(d document) ([]byte, error) {
	if d.base == 0 {
		return d.data, nil
	}
	a.mu.Lock()
	from, known := a.envelopes[d.base]
	a.mu.Unlock()
	if !known {
		return nil, nil
	}
	return a.codec.ApplyDelta(from, d.data)
}

// previous returns the number of the revision before the latest one, or 0.
func (a *archive) previous() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.numbers) < 2 {
		return 0
	}
	return a.numbers[len(a.numbers)-2]
}
