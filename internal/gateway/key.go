package gateway

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/shalefork/shalefork/internal/bundle"
)

// maxKeyBytes bounds a key, which travels in a header.
const maxKeyBytes = 1024

// keyOf returns the key that the source names in the request. It returns false
// if the key is absent, stands there twice with different values, or cannot be carried in a
// header unchanged.
func keyOf(source bundle.KeySource, request *http.Request) (string, bool) {
	key, ok := rawKey(source, request)
	if !ok || key == "" || len(key) > maxKeyBytes {
		return "", false
	}
	return key, headerSafe(key)
}

func rawKey(source bundle.KeySource, request *http.Request) (string, bool) {
	switch {
	case source.PathSegment > 0:
		return pathSegment(request.URL.EscapedPath(), source.PathSegment)
	case source.Query != "":
		return queryValue(request.URL.RawQuery, source.Query)
	default:
		return only(request.Header.Values(source.Header))
	}
}

// queryValue returns the value of the name, if the whole query can be read: of
// one that can't, a server may read another value.
func queryValue(raw, name string) (string, bool) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", false
	}
	return only(values[name])
}

// pathSegment returns the segment counted from 1. Segments are told apart
// before they are unescaped, so that an escaped slash belongs to its segment. A
// segment before it must have none and not be empty: a server that unescapes
// first, or joins slashes, would count to another one.
func pathSegment(escaped string, number int) (string, bool) {
	segments := strings.Split(strings.TrimPrefix(escaped, "/"), "/")
	if number > len(segments) {
		return "", false
	}
	if slices.ContainsFunc(segments[:number-1], isAmbiguous) {
		return "", false
	}
	segment, err := url.PathUnescape(segments[number-1])
	return segment, err == nil
}

func isAmbiguous(segment string) bool {
	return segment == "" || strings.Contains(strings.ToLower(segment), "%2f")
}

// only returns the value if all are the same: with two, gateway and server
// might each take another.
func only(values []string) (string, bool) {
	if len(values) == 0 {
		return "", false
	}
	for _, value := range values {
		if value != values[0] {
			return "", false
		}
	}
	return values[0], true
}

// headerSafe reports whether the key arrives unchanged as a header's value.
func headerSafe(key string) bool {
	if strings.TrimSpace(key) != key {
		return false
	}
	return !strings.ContainsFunc(key, func(char rune) bool {
		return char < ' ' || char == 0x7f
	})
}
