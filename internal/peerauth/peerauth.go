// Package peerauth lets only the system's own processes speak to a port: each
// request carries the cell's token, and the rest are refused and counted.
package peerauth

import (
	"crypto/subtle"
	"net/http"
)

// Header carries the token. A gateway removes it from what callers send.
const Header = "Shalefork-Token"

// Counter counts refusals; a prometheus.Counter is one.
type Counter interface {
	Inc()
}

// Require passes a request to next only if it carries the token; it answers
// 403 to the rest.
func Require(token string, refused Counter, next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if !matches(token, request.Header.Get(Header)) {
			refused.Inc()
			http.Error(writer, "this port serves the cell's own processes only", http.StatusForbidden)
			return
		}
		request.Header.Del(Header)
		next.ServeHTTP(writer, request)
	})
}

func matches(want, got string) bool {
	return subtle.ConstantTimeCompare([]byte(want), []byte(got)) == 1
}

// Transport adds the token to each request.
type Transport struct {
	Token string
	Base  http.RoundTripper
}

// RoundTrip sends the request with the token.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	authorized := request.Clone(request.Context())
	authorized.Header.Set(Header, t.Token)
	return t.Base.RoundTrip(authorized)
}
