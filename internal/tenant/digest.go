// Package tenant says who a caller is, by the API key that it shows.
//
// It is pure: it opens no socket, reads no clock and starts no goroutine. Keys are held as
// digests only.
package tenant

import (
	"crypto/sha256"

	"github.com/shalefork/shalefork/internal/routing"
)

// Digest returns what stands for an API key.
func Digest(key string) routing.KeyDigest { return sha256.Sum256([]byte(key)) }
