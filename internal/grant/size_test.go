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

	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
	"github.com/shalefork/shalefork/ownership"
)

// maxSteadyBytes bounds a steady renewal and its answer on an open connection,
// HTTP headers included, so that the byte budget of a leader holds.
const maxSteadyBytes = 520

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
	const token = "0123456789abcdef0123456789abcdef"
	var count atomic.Int64
	owner := ownership.New(ownership.Options{Cell: "casablanca-1", Token: token})
	server := httptest.NewServer(owner.Wrap(http.NotFoundHandler()))
	defer server.Close()
	dialer := &net.Dialer{}
	transport := &http.Transport{DisableCompression: true}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		return countingConn{conn, &count}, err
	}
	defer transport.CloseIdleConnections()
	client := &peerauth.Transport{Token: token, Base: transport}
	request := wire.RenewRequest{Cell: "casablanca-1", Leader: "0123456789abcdef", Generation: 3, Term: 12}
	answer := send(t, client, server.URL+wire.PathRenew, request)
	request.Server = answer.Server
	request.Duration = time.Minute
	request.Set = 123456
	request.Slices = &[]wire.SliceGrant{}
	for range 3 {
		count.Store(0)
		answer = send(t, client, server.URL+wire.PathRenew, request)
		assert.Equal(t, answer.Refused, wire.RenewRefusal(""))
		request.Slices = nil
		request.Reading = answer.Reading
	}
	t.Logf("a steady renewal and its answer: %d bytes", count.Load())
	assert.Assert(t, count.Load() <= maxSteadyBytes)
}

// send posts a renewal as a controller does.
func send(t *testing.T, client http.RoundTripper, url string, message wire.RenewRequest) wire.RenewResponse {
	body, err := json.Marshal(message)
	assert.NilError(t, err)
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("User-Agent", "")
	response, err := client.RoundTrip(request)
	assert.NilError(t, err)
	var answer wire.RenewResponse
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&answer))
	assert.NilError(t, response.Body.Close())
	return answer
}
