// Package responses decides whether what a peer has sent is an HTTP/1 response. net/http accepts more than
// the protocol allows.
//
// Source: RFC 9110, section 15, and RFC 9112.
package responses

import (
	"errors"
	"net/http"
)

// Errors of Check.
var (
	// ErrStatus is returned for a status code that HTTP does not have, and for a switch of protocols that
	// nobody asked for.
	ErrStatus = errors.New("invalid status code")
	// ErrVersion is returned for a version other than HTTP/1.
	ErrVersion = errors.New("unsupported HTTP version")
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
	return nil
}

// isStatus reports whether a response may have a status code. No request asks for a switch of protocols.
func isStatus(code int) bool {
	return code >= http.StatusContinue && code < 600 && code != http.StatusSwitchingProtocols
}

// IsInterim reports whether another response to the same request follows.
func IsInterim(r *http.Response) bool { return r.StatusCode < http.StatusOK }
