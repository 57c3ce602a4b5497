// Package prefix identifies shared prompt prefixes, and indexes the backend servers
// that hold them. A prompt is split into blocks of BlockTokens tokens. The hash of a
// block covers the seed and the whole prompt up to the end of the block, so equal
// hashes mean equal prefixes with the same workspace, model, adapter and weights
// version.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/wasabigate/wasabigate/internal/tokens"
)

// BlockTokens is the number of tokens in a cache block.
const BlockTokens = 16

// BlockBytes is the number of prompt bytes in a cache block, by the mean token length.
const BlockBytes = BlockTokens * tokens.BytesPerToken

// Seed is the set of values between which no cache is shared.
type Seed struct {
	Workspace      string
	Model          string
	Adapter        string
	WeightsVersion string
}

// Salt returns the cache salt of the seed as sent to engines: SHA-256 in hexadecimal.
func (s Seed) Salt() string {
	hash := sha256.New()
	for _, part := range []string{s.Workspace, s.Model, s.Adapter, s.WeightsVersion} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Chain appends the block hashes of text to dst and returns it. An incomplete last block
// has no hash.
func Chain(dst []uint64, salt, text string) []uint64 {
	parent := xxhash.Sum64String(salt)
	var digest xxhash.Digest
	var header [8]byte
	for len(text) >= BlockBytes {
		digest.Reset()
		binary.BigEndian.PutUint64(header[:], parent)
		_, _ = digest.Write(header[:])
		_, _ = digest.WriteString(text[:BlockBytes])
		parent = digest.Sum64()
		dst = append(dst, parent)
		text = text[BlockBytes:]
	}
	return dst
}

// PieceTokens is the number of tokens in a stored piece of KV cache.
const PieceTokens = 2048

// PieceBlocks is the number of blocks in a stored piece.
const PieceBlocks = PieceTokens / BlockTokens

// PieceID returns the id of the stored piece that ends with the given block. It contains
// part of the salt, so that pieces of different seeds have different ids.
func PieceID(salt string, last uint64) string {
	return salt[:16] + "-" + strconv.FormatUint(last, 16)
}
