package controller

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/lab/memnet"
)

// transportFrom returns the HTTP client side of the process at an address.
func transportFrom(network *memnet.Network, address string) *http.Transport {
	return &http.Transport{
		DialContext:         network.Dialer(address, time.Second),
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
		IdleConnTimeout:     time.Minute,
	}
}

// byteCounts counts what each address sent and received, headers of HTTP
// included, those of TCP and IP not.
type byteCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (b *byteCounts) add(conn *countedConn, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts[conn.from] += bytes
	b.counts[conn.to] += bytes
}

func (b *byteCounts) of(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.counts[address]
}

// dialer counts what the connections from an address carry.
func (b *byteCounts) dialer(from string, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		conn, err := dial(ctx, network, to)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, counts: b, from: from, to: to}, nil
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countedConn is the client's end of a connection.
type countedConn struct {
	net.Conn
	counts   *byteCounts
	from, to string
}

func (c *countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.counts.add(c, count)
	return count, err
}

func (c *countedConn) Write(buffer []byte) (int, error) {
	count, err := c.Conn.Write(buffer)
	c.counts.add(c, count)
	return count, err
}
