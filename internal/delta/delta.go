// Package delta compresses texts, alone or as the change from another text.
package delta

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"

	"github.com/wasabigate/wasabigate/internal/platform"
)

// Magic is the prefix of compressed texts.
var Magic = []byte{0x28, 0xb5, 0x2f, 0xfd}

// Limits of the window, in bytes.
const (
	minWindow = 128 << 10
	maxWindow = 8 << 20
)

// Compress returns a text compressed without a base.
func Compress(text []byte) []byte { return encode(text) }

// Make returns target as a change from base, for a receiver that has base.
func Make(base, target []byte) []byte {
	return encode(target,
		zstd.WithEncoderDictRaw(dictionaryID(base), base),
		zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithWindowSize(windowFor(len(base)+len(target))),
	)
}

// Decompress returns the text that Compress was given. The error wraps platform.ErrCorrupt if the
// data is damaged or the text is larger than limit bytes.
func Decompress(data []byte, limit int) ([]byte, error) { return decode(data, limit) }

// Apply returns the target of a change from base. The error wraps platform.ErrCorrupt if the
// change is damaged, was made from another base, or the target is larger than limit bytes.
func Apply(base, change []byte, limit int) ([]byte, error) {
	return decode(change, limit, zstd.WithDecoderDictRaw(dictionaryID(base), base))
}

// encode makes an encoder each time, since it holds much memory and is seldom needed.
func encode(text []byte, options ...zstd.EOption) []byte {
	e, err := zstd.NewWriter(nil, append(options, zstd.WithEncoderConcurrency(1))...)
	if err != nil {
		panic(err) // the options are constant
	}
	defer func() { _ = e.Close() }()
	return e.EncodeAll(text, nil)
}

func decode(data []byte, limit int, options ...zstd.DOption) ([]byte, error) {
	d, err := zstd.NewReader(nil, append(options, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(limit)))...)
	if err != nil {
		panic(err) // the options are constant
	}
	defer d.Close()
	text, err := d.DecodeAll(data, nil)
	if err != nil {
		return nil, errors.Wrapf(platform.ErrCorrupt, "decompress: %v", err)
	}
	return text, nil
}

// windowFor returns the smallest window, a power of two, that holds size bytes, within minWindow
// and maxWindow. The encoder's memory grows with the window.
func windowFor(size int) int {
	window := minWindow
	for window < min(size, maxWindow) {
		window *= 2
	}
	return window
}

// dictionaryID derives the dictionary id that a change stores, so that applying it to another
// base fails. It is never zero, which would mean no dictionary.
func dictionaryID(base []byte) uint32 {
	digest := sha256.Sum256(base)
	return binary.LittleEndian.Uint32(digest[:]) | 1
}
