// Package tenant identifies callers by their API keys.
//
// It is pure: it opens no socket, reads no clock and starts no goroutine. Keys are kept as digests
// only.
package tenant

import (
	"crypto/sha256"

	"github.com/shalefork/shalefork/internal/routing"
)

// Digest returns the digest of an API key.
func Digest(key string) routing.KeyDigest { return sha256.Sum256([]byte(key)) }
