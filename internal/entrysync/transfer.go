package entrysync

import (
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/delta"
	"github.com/wasabigate/wasabigate/internal/platform"
)

const (
	// maxValueBytes bounds a value, and an encoded one.
	maxValueBytes = 4 * platform.MaxValueSize
	// maxBases bounds the values that a request names.
	maxBases = maxRecent
)

// ErrMismatch means that a part is not of the transfer that it answers.
var ErrMismatch = errors.New("the part is of another transfer")

// Transfer receives a value. It needs no network and is not safe for concurrent use.
type Transfer struct {
	Key    string
	Target Digest

	whole bool   // ask for the whole value, not for a change
	id    Digest // of the encoded value; zero: nothing was received
	base  Digest
	size  int
	data  []byte
}

// NewTransfer returns a Transfer of a value.
func NewTransfer(key string, target Digest) *Transfer { return &Transfer{Key: key, Target: target} }

// Next returns the request for the next part.
func (t *Transfer) Next(l *Library) *Request {
	request := &Request{Key: t.Key, Target: t.Target, Encoding: t.id, Offset: len(t.data)}
	if t.id == (Digest{}) && !t.whole {
		request.Bases = l.Digests(t.Key)
		request.Bases = request.Bases[:min(len(request.Bases), maxBases)]
	}
	return request
}

// Restart forgets what was received.
func (t *Transfer) Restart() { *t = Transfer{Key: t.Key, Target: t.Target, whole: t.whole} }

// RestartWhole forgets what was received and asks for the whole value from now on.
func (t *Transfer) RestartWhole() { *t = Transfer{Key: t.Key, Target: t.Target, whole: true} }

// Accept adds the answer to the request that Next returned. The error is ErrMismatch if it does
// not fit what was received before.
func (t *Transfer) Accept(part *Part) error {
	if t.id == (Digest{}) && part.Encoding != (Digest{}) && part.Size > 0 && part.Size <= maxValueBytes {
		t.id, t.base, t.size = part.Encoding, part.Base, part.Size
	}
	left := t.size - len(t.data)
	if part.Encoding != t.id || part.Size != t.size || len(part.Data) == 0 || len(part.Data) > left {
		return ErrMismatch
	}
	t.data = append(t.data, part.Data...)
	return nil
}

// Received returns the bytes that were received, of how many (0: not known), and whether they are
// a change to a former value.
func (t *Transfer) Received() (received, size int, isChange bool) {
	return len(t.data), t.size, t.base != (Digest{})
}

// Complete reports whether all parts were received.
func (t *Transfer) Complete() bool { return t.size > 0 && len(t.data) == t.size }

// Value decodes a complete transfer. The error wraps platform.ErrCorrupt if the result is not the
// wanted value, and is ErrUnknown if the base is gone.
func (t *Transfer) Value(l *Library) ([]byte, error) {
	var value []byte
	var err error
	if t.base == (Digest{}) {
		value, err = delta.Decompress(t.data, maxValueBytes)
	} else {
		base, ok := l.Value(t.Key, t.base)
		if !ok {
			return nil, ErrUnknown
		}
		value, err = delta.Apply(base, t.data, maxValueBytes)
	}
	if err != nil {
		return nil, err
	}
	if DigestOf(value) != t.Target {
		return nil, errors.Wrap(platform.ErrCorrupt, "the value has another digest")
	}
	return value, nil
}
