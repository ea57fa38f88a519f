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

// Header is the name of the header in which callers show their API key.
const Header = "Authorization"

// Scheme is the one scheme of that header by which a key is shown.
const Scheme = "Bearer"

// secretBytes is the length of a secret: that of the hash, so that guessing one is as hard as
// the other.
const secretBytes = sha256.Size

// Secret keys the hash under which one process looks API keys up. It never leaves the process.
type Secret [secretBytes]byte

// Finding is what became of the look for a caller's tenant.
type AuthResult string

// Findings.
const (
	// Proved: the caller has shown a key that a tenant holds.
	Authenticated AuthResult = "proved"
	// Missing: the caller shows no key.
	Missing AuthResult = "key-missing"
	// Malformed: what the caller shows is no key of the scheme, or more than one.
	Malformed AuthResult = "key-malformed"
	// Unknown: no tenant holds the key, and none was seen to hold it.
	Unknown AuthResult = "key-unknown"
	// Revoked: a tenant held the key in a configuration that was in force here.
	Revoked AuthResult = "key-taken-away"
)

// Caller is who makes a request.
type Caller struct {
	Result AuthResult
	// Tenant is set where it was proved.
	Tenant *routing.Tenant
	// Former says who held a key that was taken away.
	RevokedKey RevokedKey
}

// Former tells of a key that was taken away.
type RevokedKey struct {
	Tenant routing.TenantName
	// Gone is the first configuration in force here without the key.
	RevokedIn routing.Version
	// Scope of the tenant.
	Scope routing.Scope
}

// mostFormer is of how many keys that were taken away an index knows: enough for the largest
// tenant's at once, in half a megabyte. Those that went first are forgotten first.
const mostFormer = 4096

// tag is the keyed hash of a digest. Lookups compare tags, whose bits a caller can't choose
// without the secret, so the time that they take tells nothing about keys.
type tag [sha256.Size]byte

// holding is a key's digest and the tenant that holds it.
type holding struct {
	digest routing.KeyDigest
	tenant *routing.Tenant
}

// Index finds the tenants that hold API keys in one configuration. It is never changed after
// NewIndex, and safe for concurrent use.
type Index struct {
	held   map[tag]holding
	former map[tag]RevokedKey
	// hashers are of type *hasher.
	hashers *sync.Pool
}

// NewIndex returns an index of a configuration's tenants. before is the index of the
// configuration before, made with the same secret; nil if there is none.
func NewIndex(secret Secret, config *routing.Config, before *Index) *Index {
	x := &Index{
		held:    map[tag]holding{},
		former:  map[tag]RevokedKey{},
		hashers: &sync.Pool{New: func() any { return &hasher{keyed: hmac.New(sha256.New, secret[:])} }},
	}
	h := x.hashers.Get().(*hasher)
	defer x.hashers.Put(h)
	for _, one := range config.Tenants {
		for _, digest := range one.Keys {
			x.held[h.tag(digest)] = holding{digest: digest, tenant: one}
		}
	}
	if before != nil {
		x.remember(before, config.Version)
	}
	return x
}

// remember notes which keys stand no longer, as of a version.
func (x *Index) remember(before *Index, version routing.Version) {
	for key, former := range before.former {
		if _, back := x.held[key]; !back {
			x.former[key] = former
		}
	}
	for key, was := range before.held {
		if _, stands := x.held[key]; !stands {
			x.former[key] = RevokedKey{Tenant: was.tenant.Name, RevokedIn: version, Scope: was.tenant.Scope}
		}
	}
	x.forget()
}

// forget drops the keys that went first until no more than mostFormer are left.
func (x *Index) forget() {
	if len(x.former) <= mostFormer {
		return
	}
	keys := make([]tag, 0, len(x.former))
	for key := range x.former {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b tag) int { return int(x.former[a].RevokedIn) - int(x.former[b].RevokedIn) })
	for _, key := range keys[:len(keys)-mostFormer] {
		delete(x.former, key)
	}
}

// Keys returns how many keys are held.
func (x *Index) KeyCount() int { return len(x.held) }

// Identify finds out who makes a request within a scope, by its headers.
func (x *Index) Identify(header http.Header, scope routing.Scope) Caller {
	key, finding := keyOf(header)
	if finding != Authenticated {
		return Caller{Result: finding}
	}
	caller := x.find(key)
	if caller.scope() != scope {
		return Caller{Result: Unknown}
	}
	return caller
}

// scope returns that of the tenant that holds the key, or held it.
func (c Caller) scope() routing.Scope {
	if c.Tenant != nil {
		return c.Tenant.Scope
	}
	return c.RevokedKey.Scope
}

// find returns who holds a key.
func (x *Index) find(key string) Caller {
	h := x.hashers.Get().(*hasher)
	defer x.hashers.Put(h)
	digest := Digest(key)
	looked := h.tag(digest)
	if held, found := x.held[looked]; found && subtle.ConstantTimeCompare(held.digest[:], digest[:]) == 1 {
		return Caller{Result: Authenticated, Tenant: held.tenant}
	}
	if former, known := x.former[looked]; known {
		return Caller{Result: Revoked, RevokedKey: former}
	}
	return Caller{Result: Unknown}
}

// keyOf reads the key that a request shows; the finding is Proved where it shows one.
func keyOf(header http.Header) (string, AuthResult) {
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

// Valid reports whether a text can be an API key.
func IsValidKey(key string) bool { return key != "" && !strings.ContainsFunc(key, odd) }

// odd reports whether a character can't be part of a key: a blank, a control character, or one
// outside of ASCII.
func odd(r rune) bool { return r <= ' ' || r > '~' }

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
