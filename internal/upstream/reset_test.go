package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// resetTries is how often each shape is played: which of reading and writing sees a reset is decided by
// the scheduler.
const resetTries = 10

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

// earlyAnswers are the ways in which a request and its answer are buffered or streamed.
var earlyAnswers = map[string]struct {
	length, buffered int64
	bufferTime       time.Duration
}{
	"buffered body, buffered answer": {length: 400_000, buffered: 400_000},
	"streamed body, buffered answer": {length: 900_000, buffered: 20_000},
	"buffered body, streamed answer": {length: 400_000, buffered: 400_000, bufferTime: time.Nanosecond},
	"streamed body, streamed answer": {length: 900_000, buffered: 20_000, bufferTime: time.Nanosecond},
}

// receiveEarly sends an upload and returns what a caller gets: the answer's body, and whether it counts
// as complete.
func receiveEarly(t *testing.T, answerLength int, shape string, end func(*net.TCPConn)) (body string, complete bool) {
	t.Helper()
	w, test := newScriptedWorker(t), earlyAnswers[shape]
	w.pool = startEarlyWorker(t, answerLength, end)
	m := w.newMessage(t, bodyOf(int(test.length)), test.length, test.buffered)
	m.AnswerBufferTime = test.bufferTime
	got := w.send(t.Context(), m)
	defer got.Free()
	var received bytes.Buffer
	switch {
	case got.Outcome != Answered:
		assert.Equal(t, got.Outcome, Broken)
		return "", false
	case got.Stream != nil:
		_, err := got.Stream.WriteTo(&received, func() error { return nil })
		return received.String(), err == nil
	}
	pieces := got.Body.Pieces()
	_, err := pieces.WriteTo(&received)
	assert.NilError(t, err)
	return received.String(), true
}

// A worker answered an upload at once without a length, sent part of the body and reset the connection. The
// kernel reports a reset once: the write of the upload saw it, and reading saw a regular end, which made the
// part pass for the complete answer.
func TestAnswerResetBesideUploadIsNotComplete(t *testing.T) {
	for end, endConn := range map[string]func(*net.TCPConn){
		"reset": resetConn,
		"closed with the upload unread": func(c *net.TCPConn) {
			awaitInput(c)
			_ = c.Close()
		},
	} {
		for shape := range earlyAnswers {
			for _, length := range []int{0, 3000, 60_000} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", end, shape, length), func(t *testing.T) {
					t.Parallel()
					for range resetTries {
						_, complete := receiveEarly(t, length, shape, endConn)
						assert.Assert(t, !complete)
					}
				})
			}
		}
	}
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

// An answer that ended properly is the worker's, whatever becomes of the upload: the request ran.
func TestAnswerEndedBesideUploadIsComplete(t *testing.T) {
	for end, endConn := range map[string]func(*net.TCPConn){
		"then reset": func(c *net.TCPConn) { _ = c.CloseWrite(); resetConn(c) },
		"reset later": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(10 * time.Millisecond)
			resetConn(c)
		},
		"upload read": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		},
		"upload never read": func(c *net.TCPConn) {
			_ = c.CloseWrite()
			time.Sleep(2 * writeEndGrace)
			_ = c.Close()
		},
	} {
		for shape := range earlyAnswers {
			for _, length := range []int{0, 3000, 60_000} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", end, shape, length), func(t *testing.T) {
					t.Parallel()
					for range resetTries {
						body, complete := receiveEarly(t, length, shape, endConn)
						assert.Assert(t, complete)
						assert.Equal(t, len(body), length)
					}
				})
			}
		}
	}
}

// A streamed answer outlives the upload that the router itself has ended: that says nothing about the worker.
func TestAnswerStreamedLongAfterUploadWasEndedIsComplete(t *testing.T) {
	const pieces, pieceLength, interval = 10, 5000, 30 * time.Millisecond
	for shape := range earlyAnswers {
		t.Run(shape, func(t *testing.T) {
			body, complete := receiveEarly(t, 0, shape, func(c *net.TCPConn) {
				for range pieces {
					time.Sleep(interval)
					_, _ = io.WriteString(c, strings.Repeat("p", pieceLength))
				}
				_ = c.CloseWrite()
				time.Sleep(interval)
				resetConn(c)
			})
			assert.Assert(t, complete)
			assert.Equal(t, len(body), pieces*pieceLength)
		})
	}
}

// A worker ended its answer and then reset the connection. The rest of the answer was received, and the client
// read it only later.
func TestAnswerReceivedBeforeResetIsReadLater(t *testing.T) {
	const length = 60_000
	w := newScriptedWorker(t)
	w.pool = startEarlyWorker(t, length, func(c *net.TCPConn) {
		_ = c.CloseWrite()
		time.Sleep(writeEndGrace / 2) // until the router has received the answer
		resetConn(c)
	})
	m := w.newMessage(t, bodyOf(900_000), 900_000, 20_000)
	m.AnswerBufferSize = 1
	m.AnswerBufferTime = time.Nanosecond
	got := w.send(t.Context(), m)
	defer got.Free()
	assert.Assert(t, got.Stream != nil)
	time.Sleep(3 * answerAfterWriteError)
	written, err := got.Stream.WriteTo(io.Discard, func() error { return nil })
	assert.NilError(t, err)
	assert.Equal(t, written, int64(length))
}
