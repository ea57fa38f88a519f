package grant_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/wire"
)

// maxSteadyBytes bounds a steady renewal and its answer on an open connection,
// HTTP headers included, so that the byte budget of a leader holds.
const maxSteadyBytes = 800

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count.Add(int64(n))
	return n, err
}

func TestSteadyRenewalIsSmall(t *testing.T) {
	var count atomic.Int64
	answer := wire.RenewResponse{
		Server: "ABCDEFGHIJKLMNOPQRSTUVWXYZ", Reading: 86400 * time.Second, Generation: 3, Term: 12, Set: 123456,
		Load: wire.LoadReport{InFlight: 2, Queued: 1},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	dialer := &net.Dialer{}
	transport := &http.Transport{DisableCompression: true}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{conn, &count}, err
	}
	defer transport.CloseIdleConnections()
	request := wire.RenewRequest{
		Cell: "casablanca-1", Leader: "0123456789abcdef", Generation: 3, Term: 12, Server: answer.Server,
		Reading: answer.Reading, Duration: 600 * time.Millisecond, Set: answer.Set,
	}
	for range 2 {
		count.Store(0)
		send(t, transport, server.URL+wire.PathRenew, request)
	}
	t.Logf("a steady renewal and its answer: %d bytes", count.Load())
	assert.Assert(t, count.Load() <= maxSteadyBytes)
}

func send(t *testing.T, transport *http.Transport, url string, message wire.RenewRequest) {
	body, err := json.Marshal(message)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Shalefork-Token", "0123456789abcdef0123456789abcdef")
	response, err := transport.RoundTrip(request)
	assert.NilError(t, err)
	var answer wire.RenewResponse
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.NilError(t, response.Body.Close())
}
