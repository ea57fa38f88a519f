package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/tenant"
)

// Headers are the names of the headers by which the proxy and workers exchange information. Each
// platform defines its own.
type Headers struct {
	// RequestID identifies one attempt of a client. Workers return it in their answers.
	RequestID string
	// DeadlineMillis is how long the sender waits for the answer, in milliseconds.
	DeadlineMillis string
	// Signature is present in every answer that a worker produced.
	Signature string
	// Target is the ID of the only worker that may run the request.
	Target string
	// Worker is the ID of the worker that answers.
	Worker string
	// NotRun is present if the worker did not run the request.
	NotRun string
	// Load is the worker's load: the number of running requests, of waiting requests, and of slots,
	// separated by commas. A fourth value is optional: the current processing time in percent of
	// the worker's normal one.
	Load string
	// Limit is the maximum number of requests per second that the worker accepts from all routers
	// together, as a decimal number. It is sent by workers that lack capacity.
	Limit string
	// Leaving is present in all answers of a worker that is leaving.
	Leaving string
	// Key is the key of a keyed request, an integer.
	Key string
	// Tenant passes the tenant of the caller's API key to the worker.
	Tenant string
}

// hopByHopHeaders are headers that apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// connectionHeaders returns the headers that are listed in Connection headers.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// IdentifiesCaller reports whether a header claims the identity of a caller: its API key or its
// tenant. Only an authenticated tenant may be passed to a worker.
func (h Headers) IdentifiesCaller(name string) bool {
	return name == tenant.Header || sameName(name, h.Tenant)
}

// sameName reports whether servers may treat two header names as equal: many do not distinguish
// hyphens from underscores, and names are case-insensitive.
func sameName(name, other string) bool {
	return len(name) == len(other) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), other)
}

// IsSystemHeader reports whether a header is used by the system on both connections. The peer can't
// have it removed by listing it in Connection.
func (h Headers) IsSystemHeader(name string) bool {
	switch name {
	case h.RequestID, h.Key, h.Tenant, h.Signature, h.Worker, h.NotRun, h.Load, h.Limit, h.Leaving:
		return true
	}
	return false
}

// ForEachForwarded calls visit for each header that is forwarded.
func (h Headers) ForEachForwarded(header http.Header, visit func(name string, values []string)) {
	var named map[string]bool
	if len(header["Connection"]) > 0 {
		named = connectionHeaders(header)
	}
	for name, values := range header {
		if !hopByHopHeaders[name] && (!named[name] || h.IsSystemHeader(name)) {
			visit(name, values)
		}
	}
}

// keepAliveTimeout returns the timeout of a Keep-Alive header, or zero if there is none.
func keepAliveTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(part), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}
