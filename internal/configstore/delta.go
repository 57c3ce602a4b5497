package configstore

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Delta returns target compressed with base as the dictionary, for a peer that has
// base. Both are serialized envelopes.
func Delta(base, target []byte) []byte {
	e := newEncoder(
		zstd.WithEncoderDictRaw(dictionaryID(base), base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowFor(len(base)+len(target))),
	)
	return compress(e, target)
}

// Limits of the zstd window, in bytes.
const (
	minWindow = 128 << 10
	maxWindow = 8 << 20
)

// windowFor returns the smallest window, a power of two, that holds size bytes,
// within minWindow and maxWindow. The encoder's memory grows with the window.
func windowFor(size int) int {
	window := minWindow
	for window < min(size, maxWindow) {
		window *= 2
	}
	return window
}

// ApplyDelta returns the target of a delta. The error wraps platform.ErrCorrupt if
// the delta is damaged or was made from another base.
func ApplyDelta(base, delta []byte) ([]byte, error) {
	d := newDecoder(zstd.WithDecoderDictRaw(dictionaryID(base), base))
	defer d.Close()
	target, err := d.DecodeAll(delta, nil)
	if err != nil {
		return nil, errors.Wrapf(platform.ErrCorrupt, "apply the delta: %v", err)
	}
	return target, nil
}

// dictionaryID derives the dictionary id that a delta stores, so that applying it
// to another base fails. It is never zero, which would mean no dictionary.
func dictionaryID(base []byte) uint32 {
	digest := sha256.Sum256(base)
	return binary.LittleEndian.Uint32(digest[:]) | 1
}
