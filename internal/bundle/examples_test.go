package bundle_test

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

func readExample(t *testing.T, name string) bundle.Bundle {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
	assert.NilError(t, err)
	read, problems := bundle.Read(name, data)
	assert.Equal(t, strictyaml.Format(problems), "")
	return read
}

func countBackends(b bundle.Bundle) []int {
	var counts []int
	for _, service := range b.Services {
		counts = append(counts, len(service.Backends))
	}
	return counts
}

func TestExamplesAreValid(t *testing.T) {
	tawila := readExample(t, "tawila/bundle.yaml")
	assert.DeepEqual(t, countBackends(tawila), []int{14, 7, 12})
	tweedeLeven := readExample(t, "tweede-leven/bundle.yaml")
	assert.DeepEqual(t, countBackends(tweedeLeven), []int{14, 6, 13})
}

func TestExampleWithTenantsIsValid(t *testing.T) {
	lifts := readExample(t, "rennes-lifts/bundle.yaml")
	assert.Equal(t, len(lifts.Tenants), 3)
	assert.Assert(t, lifts.Services[2].Public)
}

func TestSecondVersionDiffersFromTheFirst(t *testing.T) {
	first := readExample(t, "tawila/bundle.yaml")
	second := readExample(t, "tawila/bundle-2.yaml")
	assert.Equal(t, second.Version, first.Version+1)
	second.Version = first.Version
	firstDigest, err := bundle.Digest(first)
	assert.NilError(t, err)
	secondDigest, err := bundle.Digest(second)
	assert.NilError(t, err)
	assert.Assert(t, firstDigest != secondDigest)
}
