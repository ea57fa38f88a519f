package bundle_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

// An operator may write an API key in place of its digest. The problems must not contain it, since
// they are written to terminals and logs of pipelines.
func TestTenantProblemsContainNoAPIKey(t *testing.T) {
	data, err := os.ReadFile("testdata/tenants.yaml")
	assert.NilError(t, err)
	_, problems := bundle.Read("tenants.yaml", data)
	assert.Assert(t, len(problems) > 0)
	assert.Assert(t, !strings.Contains(strictyaml.Format(problems), "sk-live"))
}

func TestPublicServicesNeedTenants(t *testing.T) {
	_, problems := bundle.Read("b.yaml", []byte(strings.Replace(smallBundle, "repeatable: true", "repeatable: true\n    public: true", 1)))
	assert.Assert(t, strings.Contains(strictyaml.Format(problems), "expected only in a bundle with tenants"), strictyaml.Format(problems))
}

// If two teams had the same API key, its callers would be assigned to whichever team came first.
func TestAPIKeyOfTwoTeamsIsAConflict(t *testing.T) {
	const digest = "8a91c0b2d3e4f5061728394a5b6c7d8e9fa0b1c2d3e4f5061728394a5b6c7d8e"
	tenants := []bundle.Tenant{{Name: "t", KeyDigests: []bundle.KeyDigest{digest}}}
	own, other := bundle.Bundle{Team: "a", Tenants: tenants}, bundle.Bundle{Team: "b", Tenants: tenants}
	problems := bundle.Conflicts(own, []bundle.Bundle{other})
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Field, "tenants[0].key_digests[0]")
	assert.Equal(t, len(bundle.Conflicts(own, []bundle.Bundle{own})), 0)
}

// The digest of a bundle, and with it the signatures, covers the tenants and their key digests.
// That bundles without tenants keep the bytes that were signed before tenants were added is
// checked by TestCanonicalBytes.
func TestDigestCoversTenants(t *testing.T) {
	small := readTestBundle(t, smallBundle)
	before, err := bundle.Digest(small)
	assert.NilError(t, err)
	small.Tenants = []bundle.Tenant{{Name: "t"}}
	withTenant, err := bundle.Digest(small)
	assert.NilError(t, err)
	small.Tenants[0].KeyDigests = []bundle.KeyDigest{"8a91"}
	withKeys, err := bundle.Digest(small)
	assert.NilError(t, err)
	assert.Assert(t, before != withTenant && withTenant != withKeys)
}
