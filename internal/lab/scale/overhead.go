package scale

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// Overhead is what HTTP adds to a frame, measured on a loopback connection that
// stays open.
type Overhead struct {
	// RequestBytes and ResponseBytes are request line, status line and headers.
	RequestBytes  float64 `json:"request_bytes"`
	ResponseBytes float64 `json:"response_bytes"`
	// LineBytes is the chunk framing of one line of a stream.
	LineBytes float64 `json:"line_bytes"`
	// SideCPU is the processor time of one side of an exchange, sockets and
	// kernel included: half of both.
	SideCPU time.Duration `json:"side_cpu_ns"`
}

const (
	// exchangeBody is the length of the bodies that are exchanged.
	exchangeBody = 300
	// exchanges timed, after some to warm up.
	exchanges   = 4000
	warmUp      = 500
	tokenLength = 26 // as crypto/rand.Text makes it
)

// countingConnection counts bytes at the client.
type countingConnection struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConnection) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConnection) Write(buffer []byte) (int, error) {
	n, err := c.Conn.Write(buffer)
	c.written.Add(int64(n))
	return n, err
}

// measureOverhead makes real exchanges as the controller makes them.
func measureOverhead(ctx context.Context) (Overhead, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Overhead{}, Error.Wrap(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var read, written atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConnection{connection, &read, &written}, err
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: &peerauth.Transport{Token: string(bytes.Repeat([]byte("x"), tokenLength)), Base: transport}}
	url := "http://" + listener.Addr().String() + wire.PathRenew
	if err := exchangeMany(ctx, client, url, warmUp); err != nil {
		return Overhead{}, err
	}
	read.Store(0)
	written.Store(0)
	before := processTime()
	if err := exchangeMany(ctx, client, url, exchanges); err != nil {
		return Overhead{}, err
	}
	spent := processTime() - before
	return Overhead{
		RequestBytes:  float64(written.Load())/exchanges - exchangeBody,
		ResponseBytes: float64(read.Load())/exchanges - exchangeBody,
		LineBytes:     chunkFraming,
		SideCPU:       spent / (2 * exchanges),
	}, nil
}

// chunkFraming is three digits of length and two line breaks.
const chunkFraming = 7

func echo(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}

func exchangeMany(ctx context.Context, client *http.Client, url string, count int) error {
	body := bytes.Repeat([]byte(" "), exchangeBody)
	for range count {
		if err := exchangeOnce(ctx, client, url, body); err != nil {
			return err
		}
	}
	return nil
}

func exchangeOnce(ctx context.Context, client *http.Client, url string, body []byte) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Error.Wrap(err)
	}
	request.Header.Set("User-Agent", "")
	response, err := client.Do(request)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return Error.Wrap(err)
}
