package proxy

import (
	"net/http"
	"sync"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/workers"
)

// Bounds of what is kept of headers that are only passed on.
const (
	// maxUnreadNames is how many names are counted each by itself.
	maxUnreadNames = 32
	// maxUnreadSenders is how many workers' headers are remembered, and logged.
	maxUnreadSenders = 1024
	// otherHeadersLabel stands for the names beyond.
	otherHeadersLabel = "other"
)

// commonHeaders are headers of answers that say nothing to a router: they are for callers, or about one
// connection.
var commonHeaders = map[string]bool{
	"Accept-Ranges": true, "Age": true, "Allow": true, "Cache-Control": true, "Connection": true, "Content-Disposition": true,
	"Content-Encoding": true, "Content-Language": true, "Content-Length": true, "Content-Location": true, "Content-Range": true,
	"Content-Type": true, "Date": true, "Etag": true, "Expires": true, "Keep-Alive": true, "Last-Modified": true, "Link": true,
	"Location": true, "Retry-After": true, "Server": true, "Set-Cookie": true, "Trailer": true, "Transfer-Encoding": true,
	"Vary": true, "Www-Authenticate": true,
}

// unreadHeaders remember which headers of workers' answers nobody here reads: a worker may say something
// of itself with one. They are safe for concurrent use.
type unreadHeaders struct {
	mu      sync.Mutex
	names   map[string]bool
	senders map[workerHeader]bool
}

// sender is a worker that has sent a header.
type workerHeader struct {
	worker workers.ID
	name   string
}

func newUnreadHeaders() *unreadHeaders {
	return &unreadHeaders{names: map[string]bool{}, senders: map[workerHeader]bool{}}
}

// note returns the name by which a header is counted, and whether it is the first of its worker.
func (u *unreadHeaders) record(one workerHeader) (label string, first bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.senders[one] && len(u.senders) < maxUnreadSenders {
		u.senders[one], first = true, true
	}
	if !u.names[one.name] && len(u.names) == maxUnreadNames {
		return otherHeadersLabel, first
	}
	u.names[one.name] = true
	return one.name, first
}

// countUnread counts the headers of a worker's answer that nobody here reads, by name. Their values are
// neither kept nor logged.
func (p *Proxy) countUnread(from workers.ID, answered http.Header) {
	for name := range answered {
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
