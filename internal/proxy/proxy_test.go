package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestAnswerIsForwardedUnchanged(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusAccepted, "body", "X-Other: o", "Keep-Alive: timeout=10")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	response, body := f.get(t, "POST", "/unsafe/a?b=c", "sent")
	assert.Equal(t, response.StatusCode, http.StatusAccepted)
	assert.Equal(t, body, "body")
	assert.Equal(t, response.Header.Get("X-Other"), "o")
	assert.Equal(t, response.Header.Get("X-Signature"), "s")
	assert.Equal(t, response.Header.Get("Keep-Alive"), "", "hop-by-hop header")
	assert.Equal(t, w.received[0].RequestURI, "/unsafe/a?b=c")
	assert.Equal(t, w.received[0].Host, "app.example")
	assert.Equal(t, w.received[0].Header.Get("X-Target"), "w1")
	assert.Equal(t, w.bodies[0], "sent")
}

func TestDeadlineHeaderCarriesRemainingTime(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	f.get(t, "GET", "/safe/", "", "X-Deadline", "700")
	left, err := strconv.Atoi(w.received[0].Header.Get("X-Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left <= 700 && left > 300, "%d", left)
}

func TestUnsafeRequestIsNotResentAfterFirstByte(t *testing.T) {
	w := newFakeWorker(t, "w1", reset)
	other := newFakeWorker(t, "w2", reset)
	f := newTestProxy(t, w.entry("pool"), other.entry("pool"))
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusBadGateway, "503 would mean that it did not run")
	assert.Equal(t, w.receivedCount()+other.receivedCount(), 1)
}

func TestUnsafeRequestThatDidNotRunIsRetried(t *testing.T) {
	once := rejectOnce()
	one, two := newFakeWorker(t, "w1", once), newFakeWorker(t, "w2", once)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	response, body := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "done")
	assert.Equal(t, one.receivedCount(), 1)
	assert.Equal(t, two.receivedCount(), 1)
}

func TestRefusedByAllWorkersReturns503WithRetryAfter(t *testing.T) {
	w := newFakeWorker(t, "w1", reject)
	f := newTestProxy(t, w.entry("pool"))
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 0)
}

func TestSafeRequestIsResentAfterTruncatedAnswer(t *testing.T) {
	var first atomic.Bool
	once := func(connection net.Conn, request *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: "+request.Header.Get("X-Id")+
				"\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhalf")
			return false
		}
		answer(connection, request, http.StatusOK, "whole")
		return true
	}
	one, two := newFakeWorker(t, "w1", once), newFakeWorker(t, "w2", once)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	response, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "whole")
}

func TestTruncatedAnswerToUnsafeRequestIsNotForwarded(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: "+request.Header.Get("X-Id")+
			"\r\nX-Signature: s\r\nContent-Length: 10\r\n\r\nhalf")
		return false
	})
	f := newTestProxy(t, w.entry("pool"))
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
	assert.Equal(t, response.Header.Get("X-Signature"), "")
	assert.Equal(t, w.receivedCount(), 1)
}

// A delayed second answer to an earlier request may arrive before the expected answer.
func TestAnswerToAnotherRequestIsSkipped(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: another\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwrong")
		answer(connection, request, http.StatusOK, "right")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	response, body := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "right")
	registry := prometheus.NewRegistry()
	registry.MustRegister(f.proxy.Metrics.surplus)
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 1.0)
}

func TestUnsignedSuccessIsRejected(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		_, _ = io.WriteString(connection, "HTTP/1.1 200 x\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Length: 1\r\n\r\nx")
		return true
	})
	f := newTestProxy(t, w.entry("pool"))
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}

func TestClientDisconnectCancelsWork(t *testing.T) {
	received := make(chan struct{}, 1)
	w := newFakeWorker(t, "w1", func(connection net.Conn, _ *http.Request) bool {
		received <- struct{}{}
		_, _ = connection.Read(make([]byte, 1)) // until the connection ends
		return false
	})
	f := newTestProxy(t, w.entry("pool"))
	ctx, leave := context.WithCancel(t.Context())
	go func() { _, _ = http.DefaultClient.Do(f.request(t, "GET", "/safe/", "").WithContext(ctx)) }()
	<-received
	leave()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if w.closedConnections() == 1 {
			return poll.Success()
		}
		return poll.Continue("the worker's connection is open")
	}, poll.WithTimeout(time.Second))
}

// Guards against sending requests repeatedly to the address of a worker that no longer exists, after
// a worker of another service has taken over the address (seen in run hunt-82f6-35).
func TestMisdirectedAddressIsTriedOnce(t *testing.T) {
	w := newFakeWorker(t, "other", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusMisdirectedRequest, "", "X-Worker: other", "X-Not-Run: 1")
		return true
	})
	entry := w.entry("keyed")
	entry.ID = "gone"
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	for range 4 {
		response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	}
	assert.Equal(t, w.receivedCount(), 1)
}

func TestKeyedRequestWaitsForOwner(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	go func() {
		time.Sleep(30 * time.Millisecond)
		f.assignAllKeys(entry)
	}()
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}

func TestKeyWithoutOwnerIsRefusedQuickly(t *testing.T) {
	f := newTestProxy(t)
	began := time.Now()
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestDrainingOwnerStopsReceivingRequests(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	entry.State = workers.StateDraining
	f.directory.Update([]workers.Worker{entry}, nil, nil)
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusOK, "the worker still owns the key")
	time.Sleep(testDrain - testDrain/2)
	response, _ = f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

// A newly started router gets the owners of keys from the leader or the store. They may include a
// worker that left earlier, whose removal the router never observes. Requests were sent to such a
// worker until its keys had moved; in one case they reached it 12 s after it had left.
func TestUnannouncedOwnerReceivesRequestsOnlyBriefly(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	other := newFakeWorker(t, "w2", alwaysAnswer("x"))
	f := newTestProxy(t, other.entry("keyed"))
	f.assignAllKeys(w.entry("keyed"))
	response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusOK, "its announcement may not have arrived yet")
	time.Sleep(testDrain - testDrain/2)
	response, _ = f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	f.directory.Update([]workers.Worker{w.entry("keyed")}, nil, nil)
	response, _ = f.get(t, "GET", "/keyed/", "", "X-Key", "7")
	assert.Equal(t, response.StatusCode, http.StatusOK, "the worker is announced")
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	f := newTestProxy(t)
	assert.Assert(t, f.proxy.Use(testConfig(t, 5)))
	assert.Assert(t, !f.proxy.Use(testConfig(t, 4)))
	assert.Equal(t, f.proxy.Config().Version, testConfig(t, 5).Version)
}

func TestMissingConfigurationReturns503(t *testing.T) {
	f := newTestProxy(t)
	response, _ := f.get(t, "GET", "/unknown/", "")
	assert.Equal(t, response.StatusCode, http.StatusNotFound)
	f.proxy.current.Store(nil)
	response, _ = f.get(t, "GET", "/unknown/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

func TestLongBodyIsStreamedOnce(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	long := strings.Repeat("0123456789", maxBufferedBody*3/2/10)
	response, _ := f.get(t, "POST", "/unsafe/", long)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, w.bodies[0], long)
}

// Guards against overloading the owner of a hot key: one reset 5,000 connections that exceeded its
// limit, and 850 requests that reached no worker were answered with status 502.
func TestRejectingOwnerIsThrottled(t *testing.T) {
	for name, script := range map[string]script{"resets": reset, "refuses all requests": reject} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", script)
			entry := w.entry("keyed")
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			refused := 0
			const requests = 60
			for range requests {
				response, _ := f.get(t, "GET", "/keyed/", "", "X-Key", "7")
				if response.StatusCode == http.StatusServiceUnavailable {
					refused++
					assert.Assert(t, response.Header.Get("Retry-After") != "")
				}
			}
			assert.Assert(t, refused > requests/2, "%d", refused)
			assert.Assert(t, w.receivedCount() < requests/2, "%d", w.receivedCount())
		})
	}
}

// On shutdown all requests in flight are answered. Those that no worker has received are refused with
// status 503, which guarantees that they did not run.
func TestInFlightRequestsAreAnsweredOnShutdown(t *testing.T) {
	for name, c := range map[string]struct {
		method, path string
		status       int
	}{
		"at a worker, repeatable":     {method: "GET", path: "/safe/", status: http.StatusServiceUnavailable},
		"at a worker, not repeatable": {method: "POST", path: "/unsafe/", status: http.StatusBadGateway},
		"waits for an owner":          {method: "POST", path: "/keyed-once/", status: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan struct{}, 2)
			w := newFakeWorker(t, "w1", func(connection net.Conn, _ *http.Request) bool {
				received <- struct{}{}
				_, _ = connection.Read(make([]byte, 1)) // until the connection ends
				return false
			})
			f := newTestProxy(t, w.entry("pool"))
			moving := owner.Owner{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: "k", Moving: true}
			f.proxy.Table.Replace(1, "keyed", []owner.Owner{moving})
			go func() {
				if c.path != "/keyed-once/" {
					<-received
				} else {
					time.Sleep(50 * time.Millisecond)
				}
				f.proxy.CancelRequests()
			}()
			response, _ := f.get(t, c.method, c.path, "x", "X-Key", "7")
			assert.Equal(t, response.StatusCode, c.status)
		})
	}
}
