package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/wire"
)

// headerPrefix begins every header of the system, the token's too.
const headerPrefix = "Shalefork-"

// hopByHop headers concern one connection only (RFC 9110, section 7.6.1).
// Expect is among them, since the gateway itself answers it.
var hopByHop = []string{
	"Expect",
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// stripHopByHop removes the headers that concern one connection, those that
// Connection names too.
func stripHopByHop(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}

// stripSystem removes every header of the system: a caller cannot forge one,
// and none of a server's reaches a caller.
func stripSystem(header http.Header) {
	for name := range header {
		if isSystemHeader(name) {
			delete(header, name)
		}
	}
}

// isSystemHeader treats an underscore as a hyphen, as some servers do.
func isSystemHeader(name string) bool {
	if len(name) < len(headerPrefix) {
		return false
	}
	start := strings.ReplaceAll(name[:len(headerPrefix)], "_", "-")
	return strings.EqualFold(start, headerPrefix)
}

// callerDeadline returns the time that the caller gives, zero if it gives none.
func callerDeadline(header http.Header) time.Duration {
	milliseconds, err := strconv.ParseInt(header.Get(wire.HeaderDeadline), 10, 32)
	if err != nil || milliseconds <= 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// shorter returns the shorter of two limits, where zero means none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	if b == 0 {
		return a
	}
	return min(a, b)
}
