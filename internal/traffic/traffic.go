// Package traffic counts the bytes that a process exchanges, by what they are for and how
// far they go.
package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/topology"
)

// Kind says what bytes are for.
type Kind string

// Kinds of bytes.
const (
	// Pooled are small requests to pools, and their answers.
	Pooled Kind = "pooled"
	// Keyed are requests to owners of keys.
	Keyed Kind = "keyed"
	// Bulk are requests or answers with large bodies.
	Bulk Kind = "bulk"
	// Peers is what routers say to one another, counted by the one that is followed.
	Peers Kind = "peers"
)

// Counter counts bytes from a zone. A nil Counter counts nothing. It is safe for concurrent
// use.
type Counter struct {
	zone   topology.Zone
	places topology.Map
	bytes  *prometheus.CounterVec
}

// NewCounter registers the metric.
func NewCounter(zone topology.Zone, places topology.Map, registerer prometheus.Registerer) *Counter {
	c := &Counter{zone: zone, places: places, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shalefork_router_bytes_total", Help: "Bytes exchanged with workers and other routers, as far as messages tell their size.",
	}, []string{"kind", "distance"})}
	registerer.MustRegister(c.bytes)
	return c
}

// Add counts bytes to and from another zone.
func (c *Counter) Add(kind Kind, zone topology.Zone, bytes int) {
	if c == nil {
		return
	}
	c.bytes.WithLabelValues(string(kind), c.places.Distance(c.zone, zone).String()).Add(float64(bytes))
}

// Conn counts what passes over a connection once the other end's zone is known.
type Conn struct {
	net.Conn
	count atomic.Pointer[func(bytes int)]
}

// OnBytes sets what is called with the bytes of each read and write.
func (c *Conn) OnBytes(count func(bytes int)) { c.count.Store(&count) }

func (c *Conn) addBytes(bytes int) {
	if count := c.count.Load(); count != nil {
		(*count)(bytes)
	}
}

// Read implements net.Conn.
func (c *Conn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.addBytes(n)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.addBytes(n)
	return n, err
}
