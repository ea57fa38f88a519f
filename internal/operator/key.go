package operator

import (
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"os"
	"strings"

	"github.com/shalefork/shalefork/internal/lifecycle"
	"github.com/shalefork/shalefork/internal/registry"
)

// keyFileMode gives access to the file's owner only.
const keyFileMode = 0o600

// GenerateKey writes a new ed25519 private key to a file that must not exist yet and prints
// the public key for the routers' settings.
func GenerateKey(output Output, path string) ExitCode {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return output.Fail(Error.Wrap(err))
	}
	if err := writeSecret(path, base64.StdEncoding.EncodeToString(private.Seed())); err != nil {
		return output.Fail(err)
	}
	fmt.Fprintln(output.Result, base64.StdEncoding.EncodeToString(public))
	return ExitOK
}

// writeSecret writes a line to a file that must not exist yet and that only its owner can read.
func writeSecret(path, secret string) error {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = fmt.Fprintln(file, secret)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return Error.Wrap(err)
}

// LoadIdentity reads an operator's private key from a file. It returns an error if users
// other than the file's owner have access to it.
func LoadIdentity(name, path string) (registry.Operator, error) {
	info, err := os.Stat(path)
	if err != nil {
		return registry.Operator{}, Error.Wrap(err)
	}
	if info.Mode().Perm()&0o077 != 0 {
		return registry.Operator{}, Error.New("key file %s can be read by others; make it mode 0600", path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return registry.Operator{}, Error.Wrap(err)
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return registry.Operator{}, Error.New("key file %s does not hold an ed25519 key", path)
	}
	return registry.Operator{Name: lifecycle.OperatorName(name), Key: ed25519.NewKeyFromSeed(seed)}, nil
}
