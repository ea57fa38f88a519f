package bundle_test

import (
	"crypto/ed25519"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/strictyaml"
)

func TestEveryProblemIsReportedWithItsPosition(t *testing.T) {
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			data, err := os.ReadFile(file)
			assert.NilError(t, err)
			_, problems := bundle.Read(filepath.Base(file), data)
			golden.Assert(t, strictyaml.Format(problems)+"\n", filepath.Base(file)+".golden")
		})
	}
}

func TestExcessiveDocumentsAreRejectedBeforeParsing(t *testing.T) {
	for name, text := range map[string]string{
		"long":     strings.Repeat("#\n", strictyaml.MaxBytes),
		"line":     strings.Repeat("- ", strictyaml.MaxLineBytes),
		"brackets": strings.Repeat("[\n", strictyaml.MaxDepth+1),
	} {
		_, problems := bundle.Read(name, []byte(text))
		assert.Equal(t, len(problems), 1, name)
		assert.Assert(t, strings.HasPrefix(problems[0].Message, "expected "), problems[0].Message)
	}
}

// Operators sign the canonical bytes, so these must not depend on the layout of the file
// and must not change between releases.
func TestCanonicalBytes(t *testing.T) {
	small := readTestBundle(t, smallBundle)
	canonical, err := bundle.Canonical(small)
	assert.NilError(t, err)
	golden.Assert(t, string(canonical)+"\n", "canonical.json.golden")
	var decoded bundle.Bundle
	assert.NilError(t, json.Unmarshal(canonical, &decoded))
	assert.DeepEqual(t, decoded, small)
	reformatted := strings.Replace(smallBundle, "team: tawila\nversion: 1", "# a comment\nversion: 1\n\nteam: 'tawila'", 1)
	digest, err := bundle.Digest(small)
	assert.NilError(t, err)
	again, err := bundle.Digest(readTestBundle(t, reformatted))
	assert.NilError(t, err)
	assert.Equal(t, digest, again)
}

func TestSignatures(t *testing.T) {
	public, private, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	other, _, err := ed25519.GenerateKey(nil)
	assert.NilError(t, err)
	signed := readTestBundle(t, smallBundle)
	signature, err := bundle.Sign(private, bundle.PurposeApproval, signed)
	assert.NilError(t, err)
	assert.NilError(t, bundle.Verify(public, bundle.PurposeApproval, signed, signature))
	assert.ErrorIs(t, bundle.Verify(other, bundle.PurposeApproval, signed, signature), bundle.ErrBadSignature)
	assert.ErrorIs(t, bundle.Verify(nil, bundle.PurposeApproval, signed, signature), bundle.ErrBadSignature)
	assert.ErrorIs(t, bundle.Verify(public, bundle.PurposeRoll, signed, signature), bundle.ErrBadSignature)
	canonical, err := bundle.Canonical(signed)
	assert.NilError(t, err)
	unprefixed := ed25519.Sign(private, canonical)
	assert.ErrorIs(t, bundle.Verify(public, bundle.PurposeApproval, signed, unprefixed), bundle.ErrBadSignature)
	signed.Version++
	assert.ErrorIs(t, bundle.Verify(public, bundle.PurposeApproval, signed, signature), bundle.ErrBadSignature)
}

// FuzzRead looks for documents that crash the reader, for problems without a
// message, and for valid bundles that change when they are encoded canonically
// and decoded again.
func FuzzRead(f *testing.F) {
	f.Add([]byte(smallBundle))
	files, err := filepath.Glob("testdata/*.yaml")
	assert.NilError(f, err)
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		read, problems := bundle.Read("fuzz", data)
		for _, problem := range problems {
			assert.Assert(t, problem.Message != "")
		}
		if len(problems) > 0 {
			return
		}
		canonical, err := bundle.Canonical(read)
		assert.NilError(t, err)
		var decoded bundle.Bundle
		assert.NilError(t, json.Unmarshal(canonical, &decoded))
		assert.Equal(t, strictyaml.Format(bundle.Check(decoded)), "")
		again, err := bundle.Canonical(decoded)
		assert.NilError(t, err)
		assert.Equal(t, string(again), string(canonical))
	})
}

const smallBundle = `team: tawila
version: 1
cell: casablanca
zones: [casa-a, casa-b]
services:
  - name: availability
    kind: keyed
    route: {path_prefix: "/a&b/", host: tawila.example}
    key: {path_segment: 2}
    repeatable: true
    limits: {deadline: 1500ms, hedge_after: 150ms, retry_ratio: 0.25}
    partitions:
      - {name: all, prefix: "", zones: [casa-a, casa-b]}
      - {name: rabat, prefix: "r-", zones: [casa-b]}
    placement: {churn_weight: 0.5}
    backends:
      - {name: a-1, address: "127.0.0.1:19100", zone: casa-a, slots: 2, connections: 130}
      - {name: a-2, address: "127.0.0.1:19101", zone: casa-b, slots: 2, connections: 130}
`

func readTestBundle(t *testing.T, text string) bundle.Bundle {
	t.Helper()
	read, problems := bundle.Read("bundle.yaml", []byte(text))
	assert.Equal(t, strictyaml.Format(problems), "")
	return read
}

func TestOnlyBundlesOfOtherTeamsConflict(t *testing.T) {
	own := readTestBundle(t, smallBundle)
	other := readTestBundle(t, strings.Replace(smallBundle, "team: tawila", "team: rival", 1))
	other.Services[0].Backends = other.Services[0].Backends[1:]
	newer := own
	newer.Version++
	assert.Equal(t, len(bundle.Conflicts(own, []bundle.Bundle{newer})), 0)
	found := strictyaml.Format(bundle.Conflicts(own, []bundle.Bundle{newer, other}))
	assert.Equal(t, found, `services[0].route: expected one that no other team has; rival has it
services[0].backends[1].address: expected one that no other team has; rival has it`)
}
