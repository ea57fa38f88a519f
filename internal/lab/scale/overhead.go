package scale

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/controller"
	"github.com/shalefork/shalefork/internal/peerauth"
	"github.com/shalefork/shalefork/internal/wire"
)

// Overhead is what HTTP adds to a frame, measured on a loopback connection that
// stays open.
type Overhead struct {
	// RequestBytes and ResponseBytes are request line, status line and headers.
	RequestBytes  float64 `json:"request_bytes"`
	ResponseBytes float64 `json:"response_bytes"`
	// BareBytes are those of an answer without Date and Content-Type, as
	// controllers give each other, and servers to renewals.
	BareBytes float64 `json:"bare_response_bytes"`
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
	exchanges = 300
	warmUp    = 50
	// exchangeEvery is the time from one exchange to the next, as in a cell: a
	// process that sleeps in between pays more for each than one that is busy.
	exchangeEvery = 5 * time.Millisecond
	tokenLength   = 26 // as crypto/rand.Text makes it
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

// measureOverhead makes real exchanges as the controller makes them, over
// HTTP/1.1 as today, or over HTTP/2, which compresses headers.
func measureOverhead(ctx context.Context, protocols *http.Protocols) (Overhead, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return Overhead{}, Error.Wrap(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: time.Second, Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	var counted traffic
	transport := &http.Transport{DialContext: counted.dial, Protocols: protocols, DisableCompression: true}
	defer transport.CloseIdleConnections()
	token := string(bytes.Repeat([]byte("x"), tokenLength))
	client := &http.Client{Transport: &peerauth.Transport{Token: token, Base: transport}}
	address := "http://" + listener.Addr().String()
	measured, err := counted.measure(ctx, client, address+wire.PathRenew)
	if err != nil {
		return Overhead{}, err
	}
	bare, err := counted.measure(ctx, client, address+controller.PathMessages)
	measured.BareBytes = bare.ResponseBytes
	return measured, err
}

// answerBytes are what an answer needs beside its body.
func (o Overhead) answerBytes(bare bool) float64 {
	if bare {
		return o.BareBytes
	}
	return o.ResponseBytes
}

// http1 is what the system speaks today.
func http1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// http2 is HTTP/2 without encryption.
func http2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// traffic counts the bytes of all connections of a client.
type traffic struct {
	read, written atomic.Int64
}

func (t *traffic) dial(ctx context.Context, network, address string) (net.Conn, error) {
	connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return countingConnection{connection, &t.read, &t.written}, err
}

func (t *traffic) measure(ctx context.Context, client *http.Client, url string) (Overhead, error) {
	if err := exchangeMany(ctx, client, url, warmUp); err != nil {
		return Overhead{}, err
	}
	t.read.Store(0)
	t.written.Store(0)
	before := processTime()
	if err := exchangeMany(ctx, client, url, exchanges); err != nil {
		return Overhead{}, err
	}
	spent := processTime() - before
	return Overhead{
		RequestBytes:  float64(t.written.Load())/exchanges - exchangeBody,
		ResponseBytes: float64(t.read.Load())/exchanges - exchangeBody,
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
	if request.URL.Path == controller.PathMessages {
		writer.Header()["Date"] = nil
		writer.Header()["Content-Type"] = nil
	}
	_, _ = writer.Write(body)
}

func exchangeMany(ctx context.Context, client *http.Client, url string, count int) error {
	body := bytes.Repeat([]byte(" "), exchangeBody)
	pace := time.NewTicker(exchangeEvery)
	defer pace.Stop()
	for range count {
		<-pace.C
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
