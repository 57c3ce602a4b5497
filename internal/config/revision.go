package config

import "maps"

// Revision is an accepted document with the data that the environment's envelope
// has about it. It is immutable.
type Revision struct {
	Number    uint64
	Digest    [32]byte // SHA-256 of Text
	Text      []byte   // INI
	Document  *Document
	Withdrawn map[string]struct{} // ids of withdrawn keys; ids are only ever added
	Envelope  []byte              // serialized wire.Envelope, forwarded to peers
}

// WithWithdrawn returns the revision with the keys of ids withdrawn too: r itself if they
// are.
func (r *Revision) WithWithdrawn(ids map[string]struct{}) *Revision {
	for id := range ids {
		if !r.KeyWithdrawn(id) {
			extended := *r
			extended.Withdrawn = maps.Clone(ids)
			maps.Copy(extended.Withdrawn, r.Withdrawn)
			return &extended
		}
	}
	return r
}

// KeyWithdrawn reports whether the key with the given id was ever withdrawn.
func (r *Revision) KeyWithdrawn(id string) bool {
	_, ok := r.Withdrawn[id]
	return ok
}
