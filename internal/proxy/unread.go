package proxy

import (
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/workers"
)

// Bounds on the state about headers that the router only forwards.
const (
	// maxUnreadNames is the maximum number of header names with separate counters.
	maxUnreadNames = 32
	// maxUnreadSenders is the maximum number of pairs of worker and header that are remembered and
	// logged.
	maxUnreadSenders = 1024
	// maxUnreadNameBytes is the maximum length of such a name.
	maxUnreadNameBytes = 128
	// otherHeadersLabel is the label under which all other names are counted.
	otherHeadersLabel = "other"
)

// commonHeaders are answer headers that carry no information for a router: they are meant for
// callers, or concern one connection.
var commonHeaders = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Allow": true, "Cache-Control": true, "Connection": true, "Content-Disposition": true,
	"Content-Encoding": true, "Content-Language": true, "Content-Length": true, "Content-Location": true, "Content-Range": true,
	"Content-Type": true, "Date": true, "Etag": true, "Expires": true, "Keep-Alive": true, "Last-Modified": true, "Link": true,
	"Location": true, "Retry-After": true, "Server": true, "Set-Cookie": true, "Trailer": true, "Transfer-Encoding": true,
	"Vary": true, "Www-Authenticate": true,
}

// unreadHeaders records headers of workers' answers that the router does not read, since a worker
// may report something about itself with them. It is safe for concurrent use.
type unreadHeaders struct {
	mu      sync.Mutex
	names   map[string]bool
	senders map[workerHeader]bool
}

// workerHeader identifies a header sent by a worker.
type workerHeader struct {
	worker workers.ID
	name   string
}

func newUnreadHeaders() *unreadHeaders {
	return &unreadHeaders{names: map[string]bool{}, senders: map[workerHeader]bool{}}
}

// record returns the label under which a header is counted, and whether the worker sent it for the
// first time.
func (u *unreadHeaders) record(header workerHeader) (label string, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(header.name) > maxUnreadNameBytes {
		return otherHeadersLabel, false
	}
	if !u.senders[header] && len(u.senders) < maxUnreadSenders {
		u.senders[header], first = true, true
	}
	if !u.names[header.name] && len(u.names) == maxUnreadNames {
		return otherHeadersLabel, first
	}
	u.names[header.name] = true
	return header.name, first
}

// countUnread counts the headers of a worker's answer that the router does not read, by name. Their
// values are neither stored nor logged.
func (p *Proxy) countUnread(from workers.ID, headers http.Header) {
	for name := range headers {
		if commonHeaders[name] || p.Headers.IsSystemHeader(name) {
			continue
		}
		label, first := p.unread.record(workerHeader{from, name})
		p.Metrics.recordUnreadHeader(label)
		if first {
			p.Log.Line(decision.KindHeaderUnread).Str("worker", string(from)).Str("header", name).Msg("")
		}
	}
}
