package operator

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/shalefork/shalefork/internal/tenant"
)

// apiKeyBytes is the number of random bytes in an API key, enough to rule out guessing.
const apiKeyBytes = 32

// GenerateAPIKey writes a new API key to a file that must not exist yet, and prints the key's digest
// for a bundle. The key is written to no other place.
func GenerateAPIKey(output Output, path string) ExitCode {
	random := make([]byte, apiKeyBytes)
	_, _ = rand.Read(random) // never fails
	key := base64.RawURLEncoding.EncodeToString(random)
	if err := writeSecret(path, key); err != nil {
		return output.Fail(err)
	}
	return output.printDigest(key)
}

// DigestAPIKey prints the digest of the API key in a file.
func DigestAPIKey(output Output, path string) ExitCode {
	text, err := os.ReadFile(path)
	if err != nil {
		return output.Fail(Error.Wrap(err))
	}
	key := strings.TrimSpace(string(text))
	if !tenant.IsValidKey(key) {
		return output.Fail(Error.New("file %s holds no API key: expected one line of visible ASCII, without blanks", path))
	}
	return output.printDigest(key)
}

func (o Output) printDigest(key string) ExitCode {
	text, err := tenant.Digest(key).MarshalText()
	if err != nil {
		return o.Fail(Error.Wrap(err))
	}
	fmt.Fprintln(o.Result, string(text))
	return ExitOK
}
