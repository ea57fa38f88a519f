package upstream

import (
	"math"
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
	// Key is a keyed request's key, a whole number.
	Key string
	// Tenant names the tenant whose API key the caller showed, to the worker.
	Tenant string
}

// Load is what a worker tells of itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes there at this moment, as a multiple of what is
	// usual; zero if the worker does not tell it.
	Slowdown float64
}

// Idle reports whether a worker that told its load has a slot to spare. One that turns a request
// away all the same is short of something else than room, and may take the next one. Counted as
// full, a worker that took each third request was not asked for 97 of 120
// (TestOwnersThatTurnRequestsAwayAreAskedByTheirLoad).
func (l Load) Idle(told bool) bool { return told && l.Waiting == 0 && l.Running < l.Slots }

// Parts of a load header. Further ones are passed over.
const (
	loadCounts   = 3
	slowdownPart = loadCounts
	// usualPercent is the slowdown of a worker at its usual pace.
	usualPercent = 100
)

// parseLoad reads a load header; false if it can't be read.
func parseLoad(text string) (Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) < loadCounts {
		return Load{}, false
	}
	var load Load
	for index, into := range []*int{&load.Running, &load.Waiting, &load.Slots} {
		number, err := strconv.Atoi(strings.TrimSpace(parts[index]))
		if err != nil || number < 0 {
			return Load{}, false
		}
		*into = number
	}
	if len(parts) == loadCounts {
		return load, true
	}
	percent, err := strconv.ParseFloat(strings.TrimSpace(parts[slowdownPart]), 64)
	if err != nil || !(percent > 0) || math.IsInf(percent, 0) {
		return Load{}, false
	}
	load.Slowdown = percent / usualPercent
	return load, true
}

// Limit is what an answer says of the requests a second that its worker takes.
type Limit struct {
	Naming Naming
	// PerSecond is the limit, if one is named.
	PerSecond float64
}

// Naming says whether an answer names a limit.
type Naming int

// Ways to name a limit, or not to.
const (
	// NoLimit: the answer names none.
	NoLimit Naming = iota
	// Limited: it names one.
	Limited
	// UnreadableLimit: it names one that can't be read.
	UnreadableLimit
)

// parseLimit reads the headers that name a limit. Of several the lowest that can be read counts.
func parseLimit(values []string) Limit {
	limit := Limit{}
	if len(values) == 0 {
		return limit
	}
	for _, value := range strings.Split(strings.Join(values, ","), ",") {
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		readable := err == nil && number >= 0 && !math.IsInf(number, 0) // false for what is not a number
		switch {
		case readable && (limit.Naming != Limited || number < limit.PerSecond):
			limit = Limit{Naming: Limited, PerSecond: number}
		case !readable && limit.Naming == NoLimit:
			limit.Naming = UnreadableLimit
		}
	}
	return limit
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
func (h Headers) Tells(name string) bool { return name == tenant.Header || sameName(name, h.Tenant) }

// sameName reports whether servers may take one name of a header for the other: many hold a
// hyphen and an underscore for the same, and no case for another.
func sameName(name, other string) bool {
	return len(name) == len(other) && strings.EqualFold(strings.ReplaceAll(name, "_", "-"), other)
}

// bearsOn reports whether a header is the system's own on both connections: the other side may
// not have it dropped by naming it in Connection.
func (h Headers) bearsOn(name string) bool {
	switch name {
	case h.RequestID, h.Key, h.Tenant, h.Signature, h.Worker, h.NotRun, h.Load, h.Limit:
		return true
	}
	return false
}

// Pass calls pass for each header that travels on.
func (h Headers) Pass(header http.Header, pass func(name string, values []string)) {
	var named map[string]bool
	if len(header["Connection"]) > 0 {
		named = connectionHeaders(header)
	}
	for name, values := range header {
		if !hopHeaders[name] && (!named[name] || h.bearsOn(name)) {
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
