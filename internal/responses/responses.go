// Package responses decides whether what a peer has sent is an HTTP/1 response. net/http accepts more than
// the protocol allows.
//
// Source: RFC 9110, section 15, and RFC 9112.
package responses

import (
	"errors"
	"io"
	"net/http"
	"strings"
)

// Errors of Check.
var (
	// ErrStatus is returned for a status code that HTTP does not have, and for a switch of protocols that
	// nobody asked for.
	ErrStatus = errors.New("invalid status code")
	// ErrVersion is returned for a version other than HTTP/1.
	ErrVersion = errors.New("unsupported HTTP version")
	// ErrFieldName is returned for a field whose name is not a token. net/http keeps a name with a blank as
	// it is, and so would not frame a body by "Content-Length : 2", which others would.
	ErrFieldName = errors.New("invalid name of a field")
)

// Check returns an error if a parsed head is not that of a valid response, interim ones included. A peer that
// sends one can't be trusted with where the message ends, so that the connection must not be used any more.
func Check(r *http.Response) error {
	switch {
	case r.ProtoMajor != 1:
		return ErrVersion
	case !isStatus(r.StatusCode):
		return ErrStatus
	}
	return checkNames(r.Header)
}

// checkNames returns an error if a name is not a token.
func checkNames(fields http.Header) error {
	for name := range fields {
		if !isToken(name) {
			return ErrFieldName
		}
	}
	return nil
}

// isToken reports whether a name consists of the characters that HTTP allows in names.
func isToken(name string) bool {
	for index := range len(name) {
		char := name[index]
		isLetterOrDigit := 'a' <= char|0x20 && char|0x20 <= 'z' || '0' <= char && char <= '9'
		if !isLetterOrDigit && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(char)) {
			return false
		}
	}
	return name != ""
}

// WrapBody returns the body of a response. Its end is checked as the head was: the fields that may follow a
// chunked body are known only then.
func WrapBody(r *http.Response) io.ReadCloser {
	if len(r.TransferEncoding) == 0 {
		return r.Body
	}
	return &chunkedBody{ReadCloser: r.Body, response: r}
}

// chunkedBody is a body that fields may follow.
type chunkedBody struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(into []byte) (int, error) {
	count, err := b.ReadCloser.Read(into)
	if errors.Is(err, io.EOF) {
		if invalid := checkNames(b.response.Trailer); invalid != nil {
			err = invalid
		}
	}
	return count, err
}

// isStatus reports whether a response may have a status code. No request asks for a switch of protocols.
func isStatus(code int) bool {
	return code >= http.StatusContinue && code < 600 && code != http.StatusSwitchingProtocols
}

// IsInterim reports whether another response to the same request follows.
func IsInterim(r *http.Response) bool { return r.StatusCode < http.StatusOK }
