package bundle_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

// Operators may take a key for its digest: what they are told of the mistake goes into terminals
// and logs of pipelines.
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

// A key that two teams held would be good for whichever came first.
func TestAPIKeyOfTwoTeamsIsAConflict(t *testing.T) {
	const digest = "8a91c0b2d3e4f5061728394a5b6c7d8e9fa0b1c2d3e4f5061728394a5b6c7d8e"
	holds := []bundle.Tenant{{Name: "t", KeyDigests: []bundle.KeyDigest{digest}}}
	mine, other := bundle.Bundle{Team: "a", Tenants: holds}, bundle.Bundle{Team: "b", Tenants: holds}
	problems := bundle.Conflicts(mine, []bundle.Bundle{other})
	assert.Equal(t, len(problems), 1)
	assert.Equal(t, problems[0].Field, "tenants[0].key_digests[0]")
	assert.Equal(t, len(bundle.Conflicts(mine, []bundle.Bundle{mine})), 0)
}

// What was signed before there were tenants has the same bytes still: TestCanonicalBytes. With
// tenants they hold digests, whatever the layout.
func TestDigestCoversTenants(t *testing.T) {
	small := readTestBundle(t, smallBundle)
	before, err := bundle.Digest(small)
	assert.NilError(t, err)
	small.Tenants = []bundle.Tenant{{Name: "t"}}
	with, err := bundle.Digest(small)
	assert.NilError(t, err)
	small.Tenants[0].KeyDigests = []bundle.KeyDigest{"8a91"}
	held, err := bundle.Digest(small)
	assert.NilError(t, err)
	assert.Assert(t, before != with && with != held)
}
