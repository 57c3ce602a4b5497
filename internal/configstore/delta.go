package configstore

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Delta returns target compressed with base as its dictionary: what a peer
// that has base needs to make target. Both are serialized envelopes.
func Delta(base, target []byte) []byte {
	e := newEncoder(
		zstd.WithEncoderDictRaw(dictionaryID(base), base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowFor(len(base)+len(target))),
	)
	return compress(e, target)
}

const (
	minWindow = 128 << 10
	maxWindow = 8 << 20
)

// windowFor returns the smallest window, a power of two, that holds size bytes.
// The encoder's memory grows with it.
func windowFor(size int) int {
	window := minWindow
	for window < min(size, maxWindow) {
		window *= 2
	}
	return window
}

// ApplyDelta returns the target of a delta. An error wraps
// platform.ErrCorrupt, as with another base than the delta's own.
func ApplyDelta(base, delta []byte) ([]byte, error) {
	d := newDecoder(zstd.WithDecoderDictRaw(dictionaryID(base), base))
	defer d.Close()
	target, err := d.DecodeAll(delta, nil)
	if err != nil {
		return nil, errors.Wrapf(platform.ErrCorrupt, "apply the delta: %v", err)
	}
	return target, nil
}

// dictionaryID names base in the delta, so that another base is noticed. Zero
// would mean no dictionary.
func dictionaryID(base []byte) uint32 {
	digest := sha256.Sum256(base)
	return binary.LittleEndian.Uint32(digest[:]) | 1
}
