package gateway

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	// backendIdleTimeout closes connections that rest, to give their share of
	// the back end's limit back.
	backendIdleTimeout = 60 * time.Second
	// unboundedIdle is the number of idle connections kept to a back end
	// without a limit.
	unboundedIdle = 64
)

// backend is the connections to one server.
type backend struct {
	address   string
	share     int
	transport *http.Transport
}

// backends holds the connections to all servers of the table.
type backends struct {
	dial    DialFunc
	metrics *Metrics
	mu      sync.RWMutex
	byName  map[bundle.ServerName]*backend
}

func newBackends(dial DialFunc, metrics *Metrics) *backends {
	return &backends{dial: dial, metrics: metrics, byName: map[bundle.ServerName]*backend{}}
}

// update follows the table: a server with another address or share gets new
// connections; requests on the old ones finish.
func (b *backends) update(held *view) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, server := range held.table.Servers() {
		share := held.share(server.Connections)
		known := b.byName[name]
		if known != nil && known.address == server.Address && known.share == share {
			continue
		}
		b.byName[name] = b.newBackend(server, share)
		if known != nil {
			known.transport.CloseIdleConnections()
		}
	}
	for name, known := range b.byName {
		if _, ok := held.table.Server(name); !ok {
			delete(b.byName, name)
			known.transport.CloseIdleConnections()
		}
	}
}

func (b *backends) newBackend(server wire.TableServer, share int) *backend {
	dial := &dialer{
		dial:    b.dial,
		limiter: rate.NewLimiter(dialsPerSecond, dialBurst),
		metrics: b.metrics,
	}
	idle := share
	if share == 0 {
		idle = unboundedIdle
	}
	transport := &http.Transport{
		DialContext:            dial.open,
		MaxConnsPerHost:        share,
		MaxIdleConnsPerHost:    idle,
		IdleConnTimeout:        backendIdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true, // bytes pass unchanged
	}
	return &backend{address: server.Address, share: share, transport: transport}
}

// get returns the connections to a server, nil if the table lacks it.
func (b *backends) get(name bundle.ServerName) *backend {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byName[name]
}

func (b *backends) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, known := range b.byName {
		known.transport.CloseIdleConnections()
	}
}
