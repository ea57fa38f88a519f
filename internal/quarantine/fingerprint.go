// Package quarantine detects requests that crash the workers that process them, from the requests
// that were in progress at workers that crashed, and decides which requests may no longer be sent.
//
// It opens no sockets, reads no clock and starts no goroutines.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/netip"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("quarantine")

// Request holds what identifies a request, regardless of its caller: a request that crashes workers
// does so for each of its callers.
type Request struct {
	Method, Host, URI string
	// Body is the body, or the beginning of a long one, and Length is the length of the whole body.
	Body   []byte
	Length int64
}

// Fingerprint identifies a request across all of its attempts.
type Fingerprint [16]byte

// Fingerprint returns the fingerprint of the request. It is half of a SHA-256 hash: making another
// request with the same fingerprint takes some 2^128 tries, and all routers compute the same one
// without a shared key.
func (r Request) Fingerprint() Fingerprint {
	hash := sha256.New()
	part := func(value []byte) {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(value)))
		_, _ = hash.Write(length[:])
		_, _ = hash.Write(value)
	}
	part([]byte(r.Method))
	part([]byte(r.Host))
	part([]byte(r.URI))
	part(binary.BigEndian.AppendUint64(nil, uint64(r.Length)))
	part(r.Body)
	var short Fingerprint
	copy(short[:], hash.Sum(nil))
	return short
}

// ForCaller returns the fingerprint of the request as one caller sends it: the headers of the
// caller, which are not part of the fingerprint, may change what the request does.
func (f Fingerprint) ForCaller(caller netip.Addr) Fingerprint {
	sum := sha256.Sum256(append(f[:], caller.AsSlice()...))
	return Fingerprint(sum[:len(f)])
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText implements encoding.TextMarshaler.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return Error.New("%q is no fingerprint: 32 hexadecimal digits are expected", text)
	}
	copy(f[:], decoded)
	return nil
}
