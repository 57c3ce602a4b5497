// Package prefix identifies shared prompt prefixes. A prompt is cut into blocks
// of BlockTokens tokens; each block's hash covers the whole prompt up to its
// end and the seed, so equal hashes mean equal prefixes of the same workspace,
// model, adapter and weights version.
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

// BlockBytes is the number of prompt bytes in a cache block.
const BlockBytes = BlockTokens * tokens.BytesPerToken

// Seed is what separates caches from each other.
type Seed struct {
	Workspace      string
	Model          string
	Adapter        string
	WeightsVersion string
}

// Salt returns the cache salt of the seed, as given to engines: hex of SHA-256.
func (s Seed) Salt() string {
	hash := sha256.New()
	for _, part := range []string{s.Workspace, s.Model, s.Adapter, s.WeightsVersion} {
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// Chain appends the block hashes of text to dst and returns it. A last block
// that is not full has no hash.
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

// PieceTokens is the number of tokens in a kept piece of KV cache.
const PieceTokens = 2048

// PieceBlocks is the number of blocks in a kept piece.
const PieceBlocks = PieceTokens / BlockTokens

// PieceID names the kept piece whose last block is given. The salt is part of
// the name, so that pieces of different seeds can't be mixed up.
func PieceID(salt string, last uint64) string {
	return salt[:16] + "-" + strconv.FormatUint(last, 16)
}
