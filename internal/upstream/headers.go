package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/tenant"
)

// Headers are the names of the headers that carry what the proxy needs. They
// are given from outside, since each platform has its own.
type Headers struct {
	// RequestID names one try of a client; workers answer with the same.
	RequestID string
	// DeadlineMillis is how long the sender will wait, in milliseconds.
	DeadlineMillis string
	// Signature stands in every answer that a worker made.
	Signature string
	// Target names the worker that alone may run the request.
	Target string
	// Worker names the worker that answers.
	Worker string
	// NotRun says that the worker did not run the request.
	NotRun string
	// Load is the worker's running and waiting requests and its slots, joined by commas,
	// and where it tells that, how long work takes there at this moment in percent of
	// what is usual.
	Load string
	// Limit is how many requests a second the worker takes from all routers together, a decimal
	// number; it stands in the answers of a worker that is short of room.
	Limit string
	// Leaving says that the worker leaves: it stands in all answers of one that does.
	Leaving string
	// Key is a keyed request's key, a whole number.
	Key string
	// Tenant names the tenant whose API key the caller showed, to the worker.
	Tenant string
}

// hopHeaders concern one connection only.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Content-Length": true, "Host": true, "Expect": true,
}

// connectionHeaders returns the headers that a Connection header names.
func connectionHeaders(header http.Header) map[string]bool {
	named := map[string]bool{}
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}

// Tells reports whether a header says who a caller is: its key, or what it names as its tenant. Only
// what was proved may reach a worker.
func (h Headers) IdentifiesCaller(name string) bool {
	return name == tenant.Header || sameName(name, h.Tenant)
}

// sameName reports whether servers may take one name of a header for the other: many hold a
// hyphen and an underscore for the same, and no case for another.
func sameName(name, other string) bool {
	return len(name) == len(other) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), other)
}

// Owns reports whether a header is the system's own on both connections: the other side may
// not have it dropped by naming it in Connection.
func (h Headers) IsSystemHeader(name string) bool {
	switch name {
	case h.RequestID, h.Key, h.Tenant, h.Signature, h.Worker, h.NotRun, h.Load, h.Limit, h.Leaving:
		return true
	}
	return false
}

// Pass calls pass for each header that travels on.
func (h Headers) ForEachForwarded(header http.Header, pass func(name string, values []string)) {
	var named map[string]bool
	if len(header["Connection"]) > 0 {
		named = connectionHeaders(header)
	}
	for name, values := range header {
		if !hopHeaders[name] && (!named[name] || h.IsSystemHeader(name)) {
			pass(name, values)
		}
	}
}

// keepAlive returns the time in a Keep-Alive header; zero if there is none.
func keepAlive(header http.Header) time.Duration {
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
