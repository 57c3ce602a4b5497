// Package entrysync passes large entries of the platform's store from one gateway to another: as
// a compressed change to a value that the receiver has if the sender has that too, else compressed
// as a whole, in parts, so that a transfer that was interrupted goes on where it ended.
package entrysync

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/delta"
)

const (
	// LargeValue is the size in bytes above which a value is passed on in parts.
	LargeValue = 4 << 10
	// PartBytes is the size of a part: 13 ms of a link of 10 Mbit/s, so that what is urgent does
	// not wait behind it.
	PartBytes = 16 << 10
	// maxRecent and maxRecentBytes bound the values of a key that are kept, except the newest.
	maxRecent      = 8
	maxRecentBytes = 4 << 20
	// maxEncodings and maxEncodingBytes bound the encoded values that are kept, except the newest.
	maxEncodings     = 8
	maxEncodingBytes = 2 << 20
)

// ErrUnknown means that a gateway no longer has the value or the encoding that it was asked for.
var ErrUnknown = errors.New("the value is not known")

// Digest is the SHA-256 of a value or of an encoded one.
type Digest [sha256.Size]byte

// DigestOf returns the digest of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest returns the digest that a message holds, or the zero Digest if it holds none.
func ParseDigest(data []byte) (digest Digest) {
	if len(data) == len(digest) {
		copy(digest[:], data)
	}
	return digest
}

// version is a value that a key had.
type version struct {
	digest Digest
	value  []byte
}

// encoding is a value as it is sent.
type encoding struct {
	id     Digest
	key    string
	target Digest
	base   Digest // of the value that it is a change to; zero: none
	data   []byte
}

// Library keeps the recent values of keys and what was sent of them. It is safe for concurrent use.
type Library struct {
	mu        sync.Mutex
	recent    map[string][]version // oldest first
	encodings []*encoding          // least recently used first
}

// NewLibrary returns an empty Library.
func NewLibrary() *Library { return &Library{recent: make(map[string][]version)} }

// Add makes value the newest one of a key and returns its digest. The caller must not change it.
func (l *Library) Add(key string, value []byte) Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	versions := l.recent[key]
	if n := len(versions); n > 0 && sameBytes(versions[n-1].value, value) {
		return versions[n-1].digest
	}
	added := version{digest: DigestOf(value), value: value}
	versions = slices.DeleteFunc(versions, func(v version) bool { return v.digest == added.digest })
	l.recent[key] = dropOldest(append(versions, added), maxRecent, maxRecentBytes, func(v version) int { return len(v.value) })
	return added.digest
}

// sameBytes reports whether two values are equal, at once if they are the same slice.
func sameBytes(a, b []byte) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}

// dropOldest drops elements from the start of a list until it has at most maxCount, of maxBytes
// together, but not the last one.
func dropOldest[E any](list []E, maxCount, maxBytes int, size func(E) int) []E {
	total, first := 0, len(list)
	for first > 0 && len(list)-first < maxCount {
		total += size(list[first-1])
		if total > maxBytes && first < len(list) {
			break
		}
		first--
	}
	return slices.Delete(list, 0, first)
}

// Value returns a recent value of a key.
func (l *Library) Value(key string, digest Digest) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value(key, digest)
}

func (l *Library) value(key string, digest Digest) ([]byte, bool) {
	for _, v := range l.recent[key] {
		if v.digest == digest {
			return v.value, true
		}
	}
	return nil, false
}

// Digests returns the digests of the recent values of a key, newest first.
func (l *Library) Digests(key string) []Digest {
	l.mu.Lock()
	defer l.mu.Unlock()
	var digests []Digest
	for _, v := range slices.Backward(l.recent[key]) {
		digests = append(digests, v.digest)
	}
	return digests
}

// Request asks for a part of a value.
type Request struct {
	Key      string
	Target   Digest   // of the value
	Bases    []Digest // of values that the receiver has, best first
	Encoding Digest   // of which a part is wanted; zero: the first part of any
	Offset   int      // in the encoded value
}

// Part is a part of an encoded value.
type Part struct {
	Encoding Digest
	Base     Digest // zero: none
	Size     int    // of the whole encoded value
	Data     []byte
}

// Part returns a part of an encoded value. The error is ErrUnknown if the Library has it no longer.
func (l *Library) Part(request *Request) (*Part, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(request)
	if e == nil && request.Encoding == (Digest{}) {
		e = l.encode(request)
	}
	if e == nil || request.Offset < 0 || request.Offset >= len(e.data) {
		return nil, ErrUnknown
	}
	end := min(request.Offset+PartBytes, len(e.data))
	return &Part{Encoding: e.id, Base: e.base, Size: len(e.data), Data: e.data[request.Offset:end]}, nil
}

// find returns the encoding that a request names, or one that its sender can decode, and marks it
// as used.
func (l *Library) find(request *Request) *encoding {
	base, _ := l.chooseBase(request)
	at := slices.IndexFunc(l.encodings, func(e *encoding) bool {
		if request.Encoding != (Digest{}) {
			return e.id == request.Encoding
		}
		return e.key == request.Key && e.target == request.Target && e.base == base
	})
	if at < 0 {
		return nil
	}
	e := l.encodings[at]
	l.encodings = append(slices.Delete(l.encodings, at, at+1), e)
	return e
}

// chooseBase returns the first base of a request that the Library has.
func (l *Library) chooseBase(request *Request) (Digest, []byte) {
	for _, base := range request.Bases {
		if value, ok := l.value(request.Key, base); ok && base != request.Target {
			return base, value
		}
	}
	return Digest{}, nil
}

func (l *Library) encode(request *Request) *encoding {
	target, ok := l.value(request.Key, request.Target)
	if !ok {
		return nil
	}
	e := &encoding{key: request.Key, target: request.Target}
	var base []byte
	if e.base, base = l.chooseBase(request); base != nil {
		e.data = delta.Make(base, target)
	} else {
		e.data = delta.Compress(target)
	}
	e.id = DigestOf(e.data)
	l.encodings = dropOldest(append(l.encodings, e), maxEncodings, maxEncodingBytes, func(e *encoding) int { return len(e.data) })
	return e
}
