package config

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	keyPrefix      = "wg-"
	keySecretBytes = 32
)

// NewKey returns the text of a new key with the given id: wg-ID-SECRET.
func NewKey(id string) string {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails: crypto/rand crashes the process instead
	return keyPrefix + id + "-" + hex.EncodeToString(secret)
}

// HashKey returns the hash by which the document identifies a key.
func HashKey(text string) [32]byte { return sha256.Sum256([]byte(text)) }

// KeyID returns the id in the text of a key. It does not check that the key is
// valid.
func KeyID(text string) (string, bool) {
	rest, found := strings.CutPrefix(text, keyPrefix)
	end := strings.LastIndexByte(rest, '-')
	if !found || end <= 0 {
		return "", false
	}
	return rest[:end], true
}
