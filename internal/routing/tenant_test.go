package routing

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTenantPriorityOverridesRoutePriority(t *testing.T) {
	for name, test := range map[string]struct {
		route  int
		tenant *Tenant
		want   int
	}{
		"no tenant":        {route: 2, want: 2},
		"a higher tenant":  {route: 2, tenant: &Tenant{Priority: 0}, want: 0},
		"a lower tenant":   {route: 0, tenant: &Tenant{Priority: 3}, want: 3},
		"the same of both": {route: 1, tenant: &Tenant{Priority: 1}, want: 1},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, Priority(&Route{Priority: test.route}, test.tenant), test.want) })
	}
}

func TestKeyDigestText(t *testing.T) {
	var digest KeyDigest
	assert.NilError(t, digest.UnmarshalText([]byte(strings.Repeat("8a", keyDigestBytes))))
	text, err := digest.MarshalText()
	assert.NilError(t, err)
	assert.Equal(t, string(text), strings.Repeat("8a", keyDigestBytes))
	for name, other := range map[string]string{"short": "8a", "long": strings.Repeat("8a", 33), "no digits": strings.Repeat("sk", 32)} {
		t.Run(name, func(t *testing.T) {
			before := digest
			err := digest.UnmarshalText([]byte(other))
			assert.Assert(t, err != nil && !strings.Contains(err.Error(), "sk"), "%v", err)
			assert.Equal(t, digest, before)
		})
	}
}

// A key must not belong to two tenants.
func TestKeyBelongsToOneTenant(t *testing.T) {
	key := KeyDigest{1}
	_, err := (&Config{}).WithTenants(map[TenantName]*Tenant{"a": {Keys: []KeyDigest{key}}, "b": {Keys: []KeyDigest{key}}})
	assert.ErrorContains(t, err, "has too")
	_, err = (&Config{}).WithTenants(map[TenantName]*Tenant{"a": {Keys: []KeyDigest{key, key}}})
	assert.NilError(t, err)
}
