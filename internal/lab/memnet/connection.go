package memnet

import (
	"net"
	"time"
)

// connection is one end of a connection.
type connection struct {
	net.Conn
	network *Network
	near    string
	far     string
}

// connect makes both ends of a connection.
func (n *Network) connect(from, to string) (client, server *connection) {
	near, far := net.Pipe()
	client = &connection{Conn: near, network: n, near: from, far: to}
	server = &connection{Conn: far, network: n, near: to, far: from}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open[client] = struct{}{}
	n.open[server] = struct{}{}
	return client, server
}

// Read reads, then waits if the process is frozen: what a frozen process was
// sent it finds when it returns.
func (c *connection) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.network.gateOf(c.near).wait()
	return count, err
}

// Write waits while the process is frozen, then for the delay, then writes.
func (c *connection) Write(data []byte) (int, error) {
	c.network.gateOf(c.near).wait()
	if delay := c.network.delayOf(c.near, c.far); delay > 0 {
		time.Sleep(delay)
	}
	return c.Conn.Write(data)
}

// Close closes this end; the other one reads to the end of what was sent.
func (c *connection) Close() error {
	c.network.mu.Lock()
	delete(c.network.open, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

// RemoteAddr implements net.Conn.
func (c *connection) RemoteAddr() net.Addr { return address(c.far) }

// LocalAddr implements net.Conn.
func (c *connection) LocalAddr() net.Addr { return address(c.near) }

// touches reports whether one of the ends is at the place.
func (c *connection) touches(place Place) bool {
	for _, end := range []string{c.near, c.far} {
		if Place(end) == place || host(end) == place {
			return true
		}
	}
	return false
}
