package operator

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
)

func TestAPIKeyIsWrittenOnlyToItsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	var result, errorOutput bytes.Buffer
	output := Output{Result: &result, Errors: &errorOutput}
	assert.Equal(t, GenerateAPIKey(output, path), ExitOK)
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	info, err := os.Stat(path)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(keyFileMode))
	key := strings.TrimSpace(string(text))
	assert.Assert(t, tenant.IsValidKey(key) && len(key) > 40)
	assert.Assert(t, !strings.Contains(result.String()+errorOutput.String(), key))
	var digest routing.KeyDigest
	assert.NilError(t, digest.UnmarshalText(bytes.TrimSpace(result.Bytes())))
	assert.Equal(t, digest, tenant.Digest(key))

	digestOutput := result.String()
	result.Reset()
	assert.Equal(t, GenerateAPIKey(output, path), ExitInvalid, "an existing key file is never overwritten")
	assert.Equal(t, DigestAPIKey(output, path), ExitOK)
	assert.Equal(t, result.String(), digestOutput)
}

func TestInvalidAPIKeyIsNotPrinted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	assert.NilError(t, os.WriteFile(path, []byte("sk-1 sk-2\n"), keyFileMode))
	var result, errorOutput bytes.Buffer
	assert.Equal(t, DigestAPIKey(Output{Result: &result, Errors: &errorOutput}, path), ExitInvalid)
	assert.Assert(t, !strings.Contains(result.String()+errorOutput.String(), "sk-1"), errorOutput.String())
}
