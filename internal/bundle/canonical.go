package bundle

import (
	"bytes"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
)

// SignaturePrefix begins each signed message, so that a signature over a bundle is valid for no
// other use of the same key.
const SignaturePrefix = "shalefork-bundle-v1\n"

// Purpose is the step for which an operator signs a bundle. It is part of the signed message, so
// that a signature for one step is not valid for another.
type Purpose string

// Purposes of signatures.
const (
	PurposeProposal Purpose = "proposal"
	PurposeApproval Purpose = "approval"
	PurposeRoll     Purpose = "roll"
)

// ErrBadSignature is returned if a signature was not made with the given key over the bundle.
var ErrBadSignature = Error.New("signature does not match the bundle")

// Canonical returns the canonical encoding of the bundle, which digests and
// signatures cover: its JSON with the fields in the order of the Go types, without
// white space, without escapes for HTML, durations as by time.Duration.String,
// lists in the order written, and no newline at the end. Comments, layout
// and the order of fields in the YAML do not affect it. It fails only for a bundle
// with a number that JSON can't represent, which Check reports too.
func Canonical(b Bundle) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(b); err != nil {
		return nil, Error.Wrap(err)
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n")), nil
}

// Digest returns the SHA-256 of the canonical bytes, in hexadecimal.
func Digest(b Bundle) (string, error) {
	canonical, err := Canonical(b)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(canonical)
	return hex.EncodeToString(sum[:]), nil
}

// Sign returns the ed25519 signature of SignaturePrefix, the purpose, a newline
// and the canonical bytes.
func Sign(key ed25519.PrivateKey, purpose Purpose, b Bundle) ([]byte, error) {
	message, err := signedMessage(purpose, b)
	if err != nil {
		return nil, err
	}
	return ed25519.Sign(key, message), nil
}

// Verify returns ErrBadSignature unless the signature was made by Sign for the purpose with the
// private key that belongs to key.
func Verify(key ed25519.PublicKey, purpose Purpose, b Bundle, signature []byte) error {
	message, err := signedMessage(purpose, b)
	if err != nil {
		return err
	}
	if len(key) != ed25519.PublicKeySize || !ed25519.Verify(key, message, signature) {
		return ErrBadSignature
	}
	return nil
}

func signedMessage(purpose Purpose, b Bundle) ([]byte, error) {
	canonical, err := Canonical(b)
	if err != nil {
		return nil, err
	}
	return append([]byte(SignaturePrefix+string(purpose)+"\n"), canonical...), nil
}
