package tenant

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"hash"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/shalefork/shalefork/internal/routing"
)

// Header is the name of the header in which callers send their API key.
const Header = "Authorization"

// Scheme is the only scheme of that header that is accepted.
const Scheme = "Bearer"

// secretBytes is the length of a secret: that of the hash, so that guessing one is as hard as
// guessing the other.
const secretBytes = sha256.Size

// Secret keys the hash under which one process looks up API keys. It never leaves the process.
type Secret [secretBytes]byte

// AuthResult is the result of identifying a caller.
type AuthResult string

// Results of identifying a caller.
const (
	// Authenticated: the caller sent a key that a tenant holds.
	Authenticated AuthResult = "proved"
	// Missing: the caller sent no key.
	Missing AuthResult = "key-missing"
	// Malformed: the caller sent something that is not a key of the scheme, or more than one key.
	Malformed AuthResult = "key-malformed"
	// Unknown: no tenant of the request's scope holds the key, and none is known to have held it.
	Unknown AuthResult = "key-unknown"
	// Revoked: a tenant held the key in an earlier configuration that was in force here.
	Revoked AuthResult = "key-taken-away"
)

// Caller describes who makes a request.
type Caller struct {
	Result AuthResult
	// Tenant is set if the result is Authenticated.
	Tenant *routing.Tenant
	// RevokedKey is set if the result is Revoked.
	RevokedKey RevokedKey
}

// RevokedKey describes a key that was revoked.
type RevokedKey struct {
	Tenant routing.TenantName
	// RevokedIn is the first configuration in force here without the key.
	RevokedIn routing.Version
	// Scope of the tenant.
	Scope routing.Scope
}

// maxRevoked limits how many revoked keys an index remembers: enough for all keys of the largest
// tenant at once, in half a megabyte. Keys that were revoked first are forgotten first.
const maxRevoked = 4096

// tag is the keyed hash of a digest. Lookups compare tags, whose bits a caller can't choose without
// the secret, so that the time they take reveals nothing about keys.
type tag [sha256.Size]byte

// keyHolder is a key's digest and the tenant that holds the key.
type keyHolder struct {
	digest routing.KeyDigest
	tenant *routing.Tenant
}

// Index finds the tenants that hold API keys in one configuration. It is never changed after
// NewIndex, and safe for concurrent use.
type Index struct {
	active  map[tag]keyHolder
	revoked map[tag]RevokedKey
	// hashers holds values of type *hasher.
	hashers *sync.Pool
}

// NewIndex returns an index of a configuration's tenants. previous is the index of the previous
// configuration, made with the same secret; nil if there is none.
func NewIndex(secret Secret, config *routing.Config, previous *Index) *Index {
	x := &Index{
		active:  map[tag]keyHolder{},
		revoked: map[tag]RevokedKey{},
		hashers: &sync.Pool{New: func() any { return &hasher{keyed: hmac.New(sha256.New, secret[:])} }},
	}
	h := x.hashers.Get().(*hasher)
	defer x.hashers.Put(h)
	for _, tenant := range config.Tenants {
		for _, digest := range tenant.Keys {
			x.active[h.tag(digest)] = keyHolder{digest: digest, tenant: tenant}
		}
	}
	if previous != nil {
		x.addRevoked(previous, config.Version)
	}
	return x
}

// addRevoked records which keys of the previous index are no longer held, as of a version.
func (x *Index) addRevoked(previous *Index, version routing.Version) {
	for key, revoked := range previous.revoked {
		if _, restored := x.active[key]; !restored {
			x.revoked[key] = revoked
		}
	}
	for key, was := range previous.active {
		if _, held := x.active[key]; !held {
			x.revoked[key] = RevokedKey{Tenant: was.tenant.Name, RevokedIn: version, Scope: was.tenant.Scope}
		}
	}
	x.pruneRevoked()
}

// pruneRevoked forgets the keys that were revoked first until no more than maxRevoked are left.
func (x *Index) pruneRevoked() {
	if len(x.revoked) <= maxRevoked {
		return
	}
	keys := make([]tag, 0, len(x.revoked))
	for key := range x.revoked {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b tag) int { return int(x.revoked[a].RevokedIn) - int(x.revoked[b].RevokedIn) })
	for _, key := range keys[:len(keys)-maxRevoked] {
		delete(x.revoked, key)
	}
}

// KeyCount returns how many keys are held.
func (x *Index) KeyCount() int { return len(x.active) }

// Identify returns who makes a request within a scope, by its headers.
func (x *Index) Identify(header http.Header, scope routing.Scope) Caller {
	key, result := keyFromHeader(header)
	if result != Authenticated {
		return Caller{Result: result}
	}
	caller := x.lookUp(key)
	if caller.scope() != scope {
		return Caller{Result: Unknown}
	}
	return caller
}

// scope returns the scope of the tenant that holds the key, or held it.
func (c Caller) scope() routing.Scope {
	if c.Tenant != nil {
		return c.Tenant.Scope
	}
	return c.RevokedKey.Scope
}

// lookUp returns who holds a key.
func (x *Index) lookUp(key string) Caller {
	h := x.hashers.Get().(*hasher)
	defer x.hashers.Put(h)
	digest := Digest(key)
	keyTag := h.tag(digest)
	if held, found := x.active[keyTag]; found && subtle.ConstantTimeCompare(held.digest[:], digest[:]) == 1 {
		return Caller{Result: Authenticated, Tenant: held.tenant}
	}
	if revoked, known := x.revoked[keyTag]; known {
		return Caller{Result: Revoked, RevokedKey: revoked}
	}
	return Caller{Result: Unknown}
}

// keyFromHeader returns the key that a request contains; the result is Authenticated if it contains
// one.
func keyFromHeader(header http.Header) (string, AuthResult) {
	lines := header[Header]
	if len(lines) == 0 {
		return "", Missing
	}
	if len(lines) > 1 {
		return "", Malformed
	}
	scheme, key, _ := strings.Cut(lines[0], " ")
	key = strings.TrimLeft(key, " ")
	if !strings.EqualFold(scheme, Scheme) || !IsValidKey(key) {
		return "", Malformed
	}
	return key, Authenticated
}

// IsValidKey reports whether a text can be an API key.
func IsValidKey(key string) bool { return key != "" && !strings.ContainsFunc(key, isInvalidKeyRune) }

// isInvalidKeyRune reports whether a character can't be part of a key: a space, a control
// character, or one outside of ASCII.
func isInvalidKeyRune(r rune) bool { return r <= ' ' || r > '~' }

// hasher hashes digests under a secret. It is used by one goroutine at a time.
type hasher struct {
	keyed hash.Hash
	// in and out are buffers, so that a lookup allocates nothing.
	in  routing.KeyDigest
	out tag
}

func (h *hasher) tag(digest routing.KeyDigest) tag {
	h.in = digest
	h.keyed.Reset()
	_, _ = h.keyed.Write(h.in[:])
	h.keyed.Sum(h.out[:0])
	return h.out
}
