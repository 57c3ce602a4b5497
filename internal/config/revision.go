package config

// Revision is an accepted document with what the environment's envelope says
// about it. It is immutable.
type Revision struct {
	Number    uint64
	Digest    [32]byte // SHA-256 of Text
	Text      []byte   // INI
	Document  *Document
	Withdrawn map[string]struct{} // ids of withdrawn keys; only grows
	Envelope  []byte              // serialized wire.Envelope, given on to peers
}

// KeyWithdrawn says whether the key of that id was ever withdrawn.
func (r *Revision) KeyWithdrawn(id string) bool {
	_, ok := r.Withdrawn[id]
	return ok
}
