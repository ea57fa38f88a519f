package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Bytes after a complete answer belong to no request, so that the connection must not be reused.
func TestConnectionWithSurplusBytesIsNotReused(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "right")
		answer(connection, request, http.StatusOK, "again")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	for range 3 {
		_, body := f.get(t, "POST", "/unsafe/", "x")
		assert.Equal(t, body, "right")
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, w.receivedCount(), 3)
}

// A worker's late second copy of a rejection was taken for the answer to the request's next send, which ran.
func TestSurplusRejectionIsNotTakenForAnswerToNextSend(t *testing.T) {
	const earlier = 5 // requests that are answered, so that the owner's throttle admits the second send
	for service, path := range map[string]string{"keyed": "/keyed-once/", "pool": "/unsafe/"} {
		t.Run(service, func(t *testing.T) {
			var sends, runs atomic.Int32
			w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				if sends.Add(1) == earlier+1 {
					reject(connection, request)
					time.AfterFunc(60*time.Millisecond, func() { reject(connection, request) })
					return true
				}
				if runs.Add(1) > earlier {
					time.Sleep(100 * time.Millisecond)
				}
				answer(connection, request, http.StatusOK, "done")
				return true
			})
			f := newTestProxy(t, w.entry(service))
			f.assignAllKeys(w.entry("keyed"))
			for range earlier + 1 {
				response, body := f.get(t, "POST", path, "x", "X-Key", "7")
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, body, "done")
			}
			assert.Equal(t, sends.Load(), int32(earlier+2))
			assert.Equal(t, runs.Load(), int32(earlier+1))
		})
	}
}

// A surplus answer to a HEAD request, which has no body, swallowed the answer to the next request, and the
// body of a surplus answer to a GET was read as the head of the answer to a HEAD.
func TestSurplusAnswersOfHeadAndOtherRequestsAreToldApart(t *testing.T) {
	for name, methods := range map[string][2]string{"HEAD first": {"HEAD", "GET"}, "GET first": {"GET", "HEAD"}} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int32
			w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
				answerOnce := func() {
					if request.Method == "HEAD" {
						_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\n")
						return
					}
					answer(connection, request, http.StatusOK, "right")
				}
				if sends.Add(1) == 1 {
					answerOnce()
					time.AfterFunc(40*time.Millisecond, answerOnce)
					return true
				}
				time.Sleep(100 * time.Millisecond)
				answerOnce()
				return true
			})
			f := newTestProxy(t, w.entry("pool"))
			for _, method := range methods {
				response, body := f.get(t, method, "/unsafe/", "")
				assert.Equal(t, response.StatusCode, http.StatusOK)
				assert.Equal(t, response.ContentLength, int64(5))
				assert.Equal(t, body, map[string]string{"GET": "right"}[method])
			}
			assert.Equal(t, sends.Load(), int32(2))
		})
	}
}

// The rest of a surplus answer of over 1 MiB was read as the answer to the next request.
func TestLongSurplusAnswerIsSkippedToItsEnd(t *testing.T) {
	const skipped = 1 << 20
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		var rest strings.Builder
		fmt.Fprintf(&rest, "HTTP/1.1 200 x\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong", request.Header.Get("X-Id"))
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 x\r\nX-Id: another\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n", skipped+rest.Len())
		_, _ = io.WriteString(connection, strings.Repeat("b", skipped)+rest.String())
		answer(connection, request, http.StatusOK, "right")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	response, body := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "right")
}

func TestAnswerWithoutLengthEndsWithConnection(t *testing.T) {
	for _, broken := range []bool{false, true} {
		w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nX-Signature: s\r\n\r\nbody")
			time.Sleep(20 * time.Millisecond)
			if broken {
				abort(connection)
			}
			return false
		})
		f := newTestProxy(t, w.entry("pool"))
		response, body := f.get(t, "POST", "/unsafe/", "x")
		if broken {
			assert.Equal(t, response.StatusCode, http.StatusBadGateway)
		} else {
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, body, "body")
		}
	}
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "x")
		return false
	})
	f := newTestProxy(t, w.entry("pool"))
	for range 5 {
		response, _ := f.get(t, "POST", "/unsafe/", "x")
		assert.Equal(t, response.StatusCode, http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
}

// If a reused connection never answers, the worker's other idle connections are likely to be dead too.
func TestIdleConnectionsAreDroppedAfterOneTimesOut(t *testing.T) {
	var mu sync.Mutex
	served := map[net.Conn]bool{}
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		mu.Lock()
		kept := served[connection]
		served[connection] = true
		mu.Unlock()
		if kept {
			time.Sleep(time.Second) // a reused connection is never answered
			return false
		}
		time.Sleep(20 * time.Millisecond) // so that each request opens a connection
		answer(connection, request, http.StatusOK, "x")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	var wait sync.WaitGroup
	for range 4 {
		request := f.request(t, "POST", "/unsafe/", "x")
		wait.Go(func() {
			response, err := http.DefaultClient.Do(request)
			assert.Check(t, err)
			assert.Check(t, response.Body.Close())
		})
	}
	wait.Wait()
	response, _ := f.get(t, "POST", "/unsafe/", "x", "X-Deadline", "200")
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	time.Sleep(2 * minCooldown)
	response, _ = f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
