package gateway

import (
	"net/http"
	"net/url"
	"path"
	"strings"
)

// systemPath begins the paths by which the system's own processes speak to a
// server. The gateway shows servers the cell's token, so a caller must never
// choose one of them.
const systemPath = "/shalefork"

// isSystemPath reports whether a server might read the path as one of the
// system's, also where it joins slashes or takes capitals for small letters.
func isSystemPath(decoded string) bool {
	clean := strings.ToLower(path.Clean(decoded))
	return clean == systemPath || strings.HasPrefix(clean, systemPath+"/")
}

// forwardable reports whether method and target mean the same to any server.
// CONNECT and TRACE are for the gateway itself: a server may answer TRACE with
// the request as it came, the cell's token included.
func forwardable(request *http.Request) bool {
	if request.Method == http.MethodConnect || request.Method == http.MethodTrace {
		return false
	}
	return isPath(request.URL) && !hasDotSegment(request.URL.Path)
}

// isPath reports whether a target is a path, as in "/a" or "http://host", and
// no other form of URL, such as "urn:a" or "*".
func isPath(target *url.URL) bool {
	if target.Opaque != "" {
		return false
	}
	return target.Path == "" || strings.HasPrefix(target.Path, "/")
}

// hasDotSegment reports whether a server might read the path as another one
// than the gateway routed by.
func hasDotSegment(path string) bool {
	for _, segment := range strings.Split(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}
