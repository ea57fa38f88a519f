package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/forward"
	"github.com/shalefork/shalefork/internal/workers"
)

// invalidAnswers are what a worker in trouble sends in place of an answer. %[1]s is the ID of the request, and
// "inner" must not reach a caller.
var invalidAnswers = map[string]string{
	"status 000":                 "HTTP/1.1 000 X\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"status 000 without length":  "HTTP/1.1 000 X\r\nX-Id: %[1]s\r\nX-Signature: s\r\n\r\ninner",
	"status 000 over an answer":  "HTTP/1.1 000 X\r\nX-Id: %[1]s\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
	"status 099 over an answer":  "HTTP/1.1 099 X\r\nX-Id: %[1]s\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
	"status -00 over an answer":  "HTTP/1.1 -00 X\r\nX-Id: %[1]s\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
	"status +99 over an answer":  "HTTP/1.1 +99 X\r\nX-Id: %[1]s\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
	"status 600":                 "HTTP/1.1 600 X\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"status 999":                 "HTTP/1.1 999 X\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"another protocol":           "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + innerAnswer,
	"another version":            "HTTP/2.0 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"an old version":             "HTTP/0.9 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"blank before the colon":     "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX-A : b\r\nContent-Length: 5\r\n\r\ninner",
	"blank in a name":            "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX A: b\r\nContent-Length: 5\r\n\r\ninner",
	"tab before the colon":       "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX-A\t: b\r\nContent-Length: 5\r\n\r\ninner",
	"control byte in a name":     "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX\x01A: b\r\nContent-Length: 5\r\n\r\ninner",
	"zero byte in a name":        "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX\x00A: b\r\nContent-Length: 5\r\n\r\ninner",
	"delete byte in a name":      "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX\x7fA: b\r\nContent-Length: 5\r\n\r\ninner",
	"carriage return in a name":  "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX\rA: b\r\nContent-Length: 5\r\n\r\ninner",
	"empty name":                 "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\n: b\r\nContent-Length: 5\r\n\r\ninner",
	"byte beyond ASCII in name":  "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX\xe4A: b\r\nContent-Length: 5\r\n\r\ninner",
	"blank name of the length":   "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length : 5\r\n\r\ninnerMORE",
	"blank name of the chunks":   "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding : chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n",
	"blank name before an ID":    "HTTP/1.1 200 OK\r\nX-Id : other\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"blank name of not-run":      "HTTP/1.1 503 X\r\nX-Id: %[1]s\r\nX-Not-Run : 1\r\nContent-Length: 5\r\n\r\ninner",
	"blank name in an interim":   "HTTP/1.1 103 X\r\nX A: b\r\n\r\n" + innerAnswer,
	"blank name of another's":    "HTTP/1.1 200 OK\r\nX-Id: other\r\nX A: b\r\nContent-Length: 2\r\n\r\nhi" + innerAnswer,
	"blank name in a trailer":    "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\nX A: b\r\n\r\n",
	"control byte in a trailer":  "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\nX\x01A: b\r\n\r\n",
	"chunks in HTTP/1.0":         "HTTP/1.0 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n",
	"chunks and a length":        "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n",
	"chunks and a later length":  "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\ntransfer-encoding: chunked\r\ncontent-length: 3\r\n\r\n5\r\ninner\r\n0\r\n\r\n",
	"two lengths":                "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\ninner",
	"a signed length":            "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: +5\r\n\r\ninner",
	"another coding":             "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n5\r\ninner\r\n0\r\n\r\n",
	"an interim with a length":   "HTTP/1.1 103 X\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
	"an interim in chunks":       "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + innerAnswer,
	"a second interim in chunks": "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n" + innerAnswer,
	"status 000 to another's ID": "HTTP/1.1 000 X\r\nX-Id: other\r\nContent-Length: 88\r\n\r\n" + innerAnswer,
}

const innerAnswer = "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: inner\r\nContent-Length: 5\r\n\r\ninner"

// validAnswers are unusual, and yet answers.
var validAnswers = map[string]string{
	"without a reason":      "HTTP/1.1 200\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"unassigned status":     "HTTP/1.1 299 X\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"HTTP/1.0 to the close": "HTTP/1.0 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\n\r\ninner",
	"HTTP/1.1 to the close": "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\n\r\ninner",
	"a later minor version": "HTTP/1.9 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\ninner",
	"any token as a name":   "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nx!#$&'*+-.^_`|~9: b\r\nContent-Length: 5\r\n\r\ninner",
	"a folded value":        "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX-A: b\r\n c\r\nContent-Length: 5\r\n\r\ninner",
	"blanks around values":  "HTTP/1.1 200 OK\r\nX-Id:%[1]s\r\nX-Signature:   s  \r\nContent-Length:  5  \r\n\r\ninner",
	"framing names in body": "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nX-A: Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\ninner\r\nTransfer-Encoding: chunked\r\n",
	"two equal lengths":     "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\ninner",
	"a trailer":             "HTTP/1.1 200 OK\r\nX-Id: %[1]s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\ninner\r\n0\r\nX-A: b\r\n\r\n",
	"after interim ones":    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + innerAnswer,
}

// sendAnswer returns a script that sends bytes in place of an answer, and closes the connection.
func sendAnswer(text string) script {
	return func(connection net.Conn, request *http.Request) bool {
		_, _ = fmt.Fprintf(connection, text, request.Header.Get("X-Id"))
		return false
	}
}

// startRawListener starts a listener that handles one connection after the other, and closes each.
func startRawListener(t *testing.T, handle func(connection net.Conn)) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for connection, err := listener.Accept(); err == nil; connection, err = listener.Accept() {
			handle(connection)
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// startRawRouter starts a router whose answers are written byte by byte by a script.
func startRawRouter(t *testing.T, handle script) (address string) {
	t.Helper()
	return startRawListener(t, func(connection net.Conn) {
		if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
			handle(connection, request)
		}
	})
}

// proxiesFor returns proxies that read an answer from a worker, and from another router.
func proxiesFor(t *testing.T, text string) map[string]*testProxy {
	t.Helper()
	worker := newFakeWorker(t, "w1", sendAnswer(text))
	forwarding := newTestProxy(t)
	address := startRawRouter(t, sendAnswer(text))
	forwarding.proxy.Helpers = forward.NewSet(nil, func() []string { return []string{address} })
	cutOff(forwarding.proxy.Reachability)
	return map[string]*testProxy{"worker": newTestProxy(t, worker.entry("pool")), "router": forwarding}
}

// What a worker in trouble sent was passed on as its answer, or what stood in its body was.
func TestInvalidAnswerDoesNotReachCaller(t *testing.T) {
	for name, text := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			for sender, f := range proxiesFor(t, text) {
				response, body := f.get(t, "POST", "/unsafe/", "x")
				assert.Equal(t, response.StatusCode, http.StatusBadGateway, sender)
				assert.Assert(t, !strings.Contains(body, "inner"), "%s: %q", sender, body)
				assert.Equal(t, response.Header.Get("X-Signature"), "", sender)
			}
		})
	}
}

// A repeatable request gets the answer of another worker in the place of an invalid one.
func TestRequestIsSentAgainAfterInvalidAnswer(t *testing.T) {
	for name, text := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			w1, w2 := newFakeWorker(t, "w1", sendAnswer(text)), newFakeWorker(t, "w2", alwaysAnswer("done"))
			f := newTestProxy(t, w1.entry("pool"), w2.entry("pool"))
			for range 4 {
				response, body := f.get(t, "GET", "/safe/", "")
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "done")
			}
		})
	}
}

func TestUnusualAnswerReachesCaller(t *testing.T) {
	for name, text := range validAnswers {
		t.Run(name, func(t *testing.T) {
			for sender, f := range proxiesFor(t, text) {
				response, body := f.get(t, "POST", "/unsafe/", "x")
				assert.Equal(t, response.StatusCode/100, 2, sender)
				assert.Equal(t, body, "inner", sender)
			}
		})
	}
}

// A worker answers an upload early and sends a long answer, which ends properly. The router ends the upload.
func TestLongAnswerBesideUploadReachesCaller(t *testing.T) {
	const pieces, pieceLength, interval = 8, 5000, 40 * time.Millisecond
	for name, test := range map[string]struct{ length, sent int }{
		"buffered upload":         {length: maxBufferedBody - 1, sent: maxBufferedBody - 1},
		"streamed upload":         {length: 2*maxBufferedBody - 1, sent: 2*maxBufferedBody - 1},
		"streamed upload, slowly": {length: 2*maxBufferedBody - 1, sent: maxBufferedBody + 1000},
	} {
		t.Run(name, func(t *testing.T) {
			address := startRawListener(t, func(connection net.Conn) {
				if test.sent == test.length { // otherwise the router waits for the client
					_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10)
				}
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				if test.sent < test.length {
					_, _ = io.CopyN(io.Discard, request.Body, maxBufferedBody)
				}
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n\r\n", request.Header.Get("X-Id"))
				for range pieces {
					time.Sleep(interval)
					_, _ = io.WriteString(connection, strings.Repeat("p", pieceLength))
				}
				_ = connection.(*net.TCPConn).CloseWrite()
				time.Sleep(interval)
			})
			f := newTestProxy(t, workers.Worker{ID: "w1", Service: "pool", Address: address, Zone: "z", Slots: 4, State: workers.StateReady})
			f.proxy.SetWorkerDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
				connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
				if err == nil {
					_ = connection.(*net.TCPConn).SetWriteBuffer(16 << 10)
				}
				return connection, err
			})
			client, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { _ = client.Close() })
			go func() {
				_, _ = fmt.Fprintf(client, "POST /down/ HTTP/1.1\r\nHost: app.example\r\nX-Id: early\r\nX-Deadline: 1500\r\nContent-Length: %d\r\n\r\n%s",
					test.length, make([]byte, test.sent))
			}()
			response, err := http.ReadResponse(bufio.NewReader(client), nil)
			assert.NilError(t, err)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), pieces*pieceLength)
		})
	}
}
