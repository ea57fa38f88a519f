// Package traffic counts the bytes that a process exchanges, by purpose and distance.
package traffic

import (
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/topology"
)

// Kind is the purpose of bytes.
type Kind string

// Kinds of bytes.
const (
	// Pooled are small requests to pools of workers, and their answers.
	Pooled Kind = "pooled"
	// Keyed are requests to owners of keys.
	Keyed Kind = "keyed"
	// Bulk are requests or answers with large bodies.
	Bulk Kind = "bulk"
	// Peers are messages between routers, counted by the router that is followed.
	Peers Kind = "peers"
)

// Counter counts the bytes that a process in a zone exchanges. A nil Counter counts nothing. It is
// safe for concurrent use.
type Counter struct {
	zone    topology.Zone
	zoneMap topology.Map
	bytes   *prometheus.CounterVec
}

// NewCounter returns a counter for a process in a zone, and registers its metric.
func NewCounter(zone topology.Zone, zoneMap topology.Map, registerer prometheus.Registerer) *Counter {
	c := &Counter{zone: zone, zoneMap: zoneMap, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "shalefork_router_bytes_total", Help: "Bytes exchanged with workers and other routers, as far as messages tell their size.",
	}, []string{"kind", "distance"})}
	registerer.MustRegister(c.bytes)
	return c
}

// Add counts bytes that were exchanged with a process in another zone, or in the same one.
func (c *Counter) Add(kind Kind, zone topology.Zone, bytes int) {
	if c == nil {
		return
	}
	c.bytes.WithLabelValues(string(kind), c.zoneMap.Distance(c.zone, zone).String()).Add(float64(bytes))
}

// Conn is a connection whose bytes are counted once the zone of its other end is known.
type Conn struct {
	net.Conn
	count atomic.Pointer[func(bytes int)]
}

// NetConn returns the counted connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// OnBytes sets a function that is called with the number of bytes of each read and write.
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
