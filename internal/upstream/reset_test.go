package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// socketBuffer is small enough, in bytes, that an upload does not fit into the buffers of its connection.
const socketBuffer = 16 << 10

// startEarlyWorker starts a worker that reads the head of one request, sends an answer without a length,
// and then ends the connection.
func startEarlyWorker(t *testing.T, length int, end func(connection *net.TCPConn)) *Pool {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		_ = connection.(*net.TCPConn).SetReadBuffer(socketBuffer)
		_, _ = http.ReadRequest(bufio.NewReader(connection))
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Id: one\r\nX-Signature: s\r\n\r\n%s", strings.Repeat("p", length))
		end(connection.(*net.TCPConn))
	}()
	return NewPool(listener.Addr().String(), func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err == nil {
			_ = connection.(*net.TCPConn).SetWriteBuffer(socketBuffer)
		}
		return connection, err
	})
}

// awaitInput waits until received bytes are unread. Closing the connection then resets it.
func awaitInput(connection *net.TCPConn) {
	raw, err := connection.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Read(func(descriptor uintptr) bool {
		var next [1]byte
		count, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return count > 0 || !errors.Is(err, syscall.EAGAIN)
	})
}

func resetConn(connection *net.TCPConn) {
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// A worker had answered and ended the connection before the router began to read, so that the write had
// failed by then. The answer was not read.
func TestAnswerIsReadAfterWriteFailed(t *testing.T) {
	for name, buffered := range map[string]int64{"buffered body": testBodySize, "streamed body": 20_000} {
		t.Run(name, func(t *testing.T) {
			w := newScriptedWorker(t)
			w.pool = startEarlyWorker(t, 3000, func(c *net.TCPConn) {
				awaitInput(c)
				_ = c.CloseWrite()
				resetConn(c)
			})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			m := w.newMessage(t, bodyOf(8*testBodySize), 8*testBodySize, buffered)
			connection, err := w.pool.get(ctx, m)
			assert.NilError(t, err)
			e := &exchange{
				headers: Headers{RequestID: "X-Id", Signature: "X-Signature"}, message: m, pool: w.pool, conn: connection,
				deadline: time.Now().Add(time.Second), cancel: cancel, endWatch: func() bool { return true },
			}
			e.write = e.startWrite(ctx, e.deadline)
			<-e.write.done
			assert.ErrorIs(t, e.write.err, syscall.EPIPE)
			got := e.finish(ctx)
			defer got.Free()
			assert.Equal(t, got.Outcome, Answered)
			assert.Equal(t, got.Body.Length(), int64(3000))
		})
	}
}
