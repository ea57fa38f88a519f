package tenant

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// configOf returns a configuration whose tenants hold the given keys.
func configOf(version routing.Version, keys map[routing.TenantName][]string) *routing.Config {
	config := &routing.Config{Version: version, Tenants: map[routing.TenantName]*routing.Tenant{}}
	for name, list := range keys {
		one := &routing.Tenant{Name: name}
		for _, key := range list {
			one.Keys = append(one.Keys, Digest(key))
		}
		config.Tenants[name] = one
	}
	return config
}

func TestCallersAreIdentifiedByKey(t *testing.T) {
	x := NewIndex(Secret{1}, configOf(1, map[routing.TenantName][]string{"a": {"key-a1", "key-a2"}, "b": {"key-b"}, "none": nil}), nil)
	for name, test := range map[string]struct {
		lines  []string
		result AuthResult
		tenant routing.TenantName
	}{
		"a tenant's key":             {lines: []string{"Bearer key-a1"}, result: Authenticated, tenant: "a"},
		"its other key":              {lines: []string{"Bearer key-a2"}, result: Authenticated, tenant: "a"},
		"another tenant's":           {lines: []string{"Bearer key-b"}, result: Authenticated, tenant: "b"},
		"scheme in mixed case":       {lines: []string{"bEARER key-b"}, result: Authenticated, tenant: "b"},
		"several spaces":             {lines: []string{"Bearer   key-b"}, result: Authenticated, tenant: "b"},
		"none":                       {result: Missing},
		"unknown":                    {lines: []string{"Bearer key-c"}, result: Unknown},
		"key in upper case":          {lines: []string{"Bearer KEY-B"}, result: Unknown},
		"beginning of a key":         {lines: []string{"Bearer key-"}, result: Unknown},
		"a key and more":             {lines: []string{"Bearer key-bb"}, result: Unknown},
		"a tenant's name":            {lines: []string{"Bearer b"}, result: Unknown},
		"long":                       {lines: []string{"Bearer " + strings.Repeat("k", 1<<16)}, result: Unknown},
		"the same key twice":         {lines: []string{"Bearer key-b", "Bearer key-b"}, result: Malformed},
		"two":                        {lines: []string{"Bearer key-a1", "Bearer key-b"}, result: Malformed},
		"two keys in a line":         {lines: []string{"Bearer key-a1, Bearer key-b"}, result: Malformed},
		"empty line":                 {lines: []string{""}, result: Malformed},
		"empty key":                  {lines: []string{"Bearer "}, result: Malformed},
		"scheme alone":               {lines: []string{"Bearer"}, result: Malformed},
		"key alone":                  {lines: []string{"key-b"}, result: Malformed},
		"another scheme":             {lines: []string{"Basic key-b"}, result: Malformed},
		"space after":                {lines: []string{"Bearer key-b "}, result: Malformed},
		"tab between":                {lines: []string{"Bearer\tkey-b"}, result: Malformed},
		"control character":          {lines: []string{"Bearer key-b\x00"}, result: Malformed},
		"character outside of ASCII": {lines: []string{"Bearer kéy"}, result: Malformed},
	} {
		t.Run(name, func(t *testing.T) {
			caller := x.Identify(http.Header{Header: test.lines}, "")
			if test.lines == nil {
				caller = x.Identify(http.Header{}, "")
			}
			assert.Equal(t, caller.Result, test.result)
			if test.result != Authenticated {
				assert.Assert(t, caller.Tenant == nil)
				return
			}
			assert.Equal(t, caller.Tenant.Name, test.tenant)
		})
	}
}

func TestRevokedKeysAreRemembered(t *testing.T) {
	secret := Secret{7}
	step := func(previous *Index, version routing.Version, keys ...string) *Index {
		return NewIndex(secret, configOf(version, map[routing.TenantName][]string{"a": keys}), previous)
	}
	find := func(x *Index, key string) Caller { return x.Identify(http.Header{Header: {Scheme + " " + key}}, "") }
	first := step(nil, 3, "k1", "k2")
	second := step(first, 5, "k2")
	third := step(second, 9, "k2", "k3")
	assert.Equal(t, find(first, "k1").Result, Authenticated)
	assert.DeepEqual(t, find(second, "k1"), Caller{Result: Revoked, RevokedKey: RevokedKey{Tenant: "a", RevokedIn: 5}})
	assert.DeepEqual(t, find(third, "k1"), Caller{Result: Revoked, RevokedKey: RevokedKey{Tenant: "a", RevokedIn: 5}})
	assert.Equal(t, find(third, "k2").Result, Authenticated)
	assert.Equal(t, find(second, "k3").Result, Unknown)
	back := step(third, 10, "k1")
	assert.Equal(t, find(back, "k1").Result, Authenticated)
	assert.DeepEqual(t, find(back, "k3").RevokedKey, RevokedKey{Tenant: "a", RevokedIn: 10})
	assert.Equal(t, find(step(back, 11), "k1").RevokedKey.RevokedIn, routing.Version(11))
}

func TestRememberedRevokedKeysAreBounded(t *testing.T) {
	keys := make([]string, 0, maxRevoked+10)
	for index := range maxRevoked + 10 {
		keys = append(keys, fmt.Sprint("k", index))
	}
	first := NewIndex(Secret{}, configOf(1, map[routing.TenantName][]string{"a": keys}), nil)
	second := NewIndex(Secret{}, configOf(2, map[routing.TenantName][]string{"a": keys[10:]}), first)
	third := NewIndex(Secret{}, configOf(3, nil), second)
	assert.Equal(t, len(third.revoked), maxRevoked)
	assert.Equal(t, third.Identify(http.Header{Header: {"Bearer k0"}}, "").Result, Unknown, "revoked first")
	assert.Equal(t, third.Identify(http.Header{Header: {"Bearer k20"}}, "").Result, Revoked)
}

// A tag of one process must be of no use at another.
func TestTagsDependOnTheSecret(t *testing.T) {
	config := configOf(1, map[routing.TenantName][]string{"a": {"k"}})
	one, other := NewIndex(Secret{1}, config, nil), NewIndex(Secret{2}, config, nil)
	for key := range one.active {
		_, same := other.active[key]
		assert.Assert(t, !same)
	}
}

func benchmarkIdentify(b *testing.B, tenants int, key string) {
	keys := map[routing.TenantName][]string{}
	for index := range tenants {
		keys[routing.TenantName(fmt.Sprint("t", index))] = []string{fmt.Sprintf("0123456789abcdef0123456789ab%04x", index)}
	}
	x := NewIndex(Secret{1}, configOf(1, keys), nil)
	header := http.Header{Header: {"Bearer " + key}}
	b.ReportAllocs()
	for b.Loop() {
		x.Identify(header, "")
	}
}

func BenchmarkIdentifyOf83(b *testing.B) {
	benchmarkIdentify(b, 83, "0123456789abcdef0123456789ab0001")
}
func BenchmarkIdentifyOf20000(b *testing.B) {
	benchmarkIdentify(b, 20000, "0123456789abcdef0123456789ab0001")
}
func BenchmarkUnknownKeyOf20000(b *testing.B) { benchmarkIdentify(b, 20000, "unknown") }

// A key is valid only on routes of its own scope.
func TestKeyIsValidInItsScopeOnly(t *testing.T) {
	config := configOf(1, map[routing.TenantName][]string{"a": {"k"}})
	config.Tenants["a"].Scope = "one"
	first := NewIndex(Secret{}, config, nil)
	second := NewIndex(Secret{}, configOf(2, nil), first)
	header := http.Header{Header: {"Bearer k"}}
	assert.Equal(t, first.Identify(header, "one").Result, Authenticated)
	assert.DeepEqual(t, first.Identify(header, "two"), Caller{Result: Unknown})
	assert.DeepEqual(t, first.Identify(header, ""), Caller{Result: Unknown})
	assert.Equal(t, second.Identify(header, "one").Result, Revoked)
	assert.DeepEqual(t, second.Identify(header, "two"), Caller{Result: Unknown})
}

// FuzzIdentify checks that a caller is identified as a tenant only by a key that the tenant holds,
// whatever it sends.
func FuzzIdentify(f *testing.F) {
	f.Add("Bearer key-a1", "")
	f.Add("bearer  key-a1", "Bearer key-b")
	f.Add("Basic \x00", "x")
	x := NewIndex(Secret{3}, configOf(1, map[routing.TenantName][]string{"a": {"key-a1"}, "b": {"key-b"}}), nil)
	f.Fuzz(func(t *testing.T, first, second string) {
		header := http.Header{Header: {first}}
		if second != "" {
			header.Add(Header, second)
		}
		caller := x.Identify(header, "")
		if caller.Result != Authenticated {
			assert.Assert(t, caller.Tenant == nil)
			return
		}
		assert.Equal(t, second, "")
		held := map[routing.TenantName]string{"a": "key-a1", "b": "key-b"}[caller.Tenant.Name]
		scheme, key, _ := strings.Cut(first, " ")
		assert.Assert(t, strings.EqualFold(scheme, "Bearer"))
		assert.Equal(t, strings.TrimLeft(key, " "), held)
	})
}
