package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/workers"
)

// lateRequest is a request whose head a client has sent, and whose body it sends byte by byte.
type lateRequest struct {
	connection net.Conn
	reader     *bufio.Reader
}

// beginRequest sends the head of a request with a body of four bytes.
func (f *testProxy) beginRequest(t *testing.T, path, id string, deadline time.Duration) *lateRequest {
	t.Helper()
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: app.example\r\nX-Id: %s\r\nX-Key: 7\r\nX-Deadline: %d\r\nContent-Length: 4\r\n\r\n",
		path, id, deadline.Milliseconds())
	assert.NilError(t, err)
	return &lateRequest{connection: connection, reader: bufio.NewReader(connection)}
}

// send sends bytes of the body.
func (l *lateRequest) send(t *testing.T, bytes string) {
	t.Helper()
	_, err := io.WriteString(l.connection, bytes)
	assert.NilError(t, err)
}

// status reads the response, within a time, and returns its status.
func (l *lateRequest) status(t *testing.T, within time.Duration) (int, http.Header) {
	t.Helper()
	assert.NilError(t, l.connection.SetReadDeadline(time.Now().Add(within)))
	response, err := http.ReadResponse(l.reader, nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// Requests that came late in a planned stop were sent to workers, and broken off at the end of it.
func TestRequestThatMayOutlastStopIsRefused(t *testing.T) {
	const atOnce = 300 * time.Millisecond
	for name, test := range map[string]struct {
		path     string
		deadline time.Duration
		// begun is set if the head was read before the limit, and late if the body is complete after it.
		begun, late bool
		cancelled   bool
		status      int
	}{
		"head after the limit":                  {path: "/unsafe/", deadline: time.Second, status: 503},
		"repeatable, head after the limit":      {path: "/safe/", deadline: time.Second, status: 503},
		"body in progress at the limit":         {path: "/unsafe/", deadline: time.Second, begun: true, late: true, status: 503},
		"waits for an owner at the limit":       {path: "/keyed-once/", deadline: time.Second, begun: true, status: 503},
		"ends in time":                          {path: "/unsafe/", deadline: 300 * time.Millisecond, status: 200},
		"ends in time, body at the limit":       {path: "/unsafe/", deadline: 300 * time.Millisecond, begun: true, late: true, status: 200},
		"after the requests were cancelled":     {path: "/unsafe/", deadline: 300 * time.Millisecond, cancelled: true, status: 503},
		"body when the requests were cancelled": {path: "/unsafe/", deadline: 300 * time.Millisecond, begun: true, late: true, cancelled: true, status: 503},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("done"))
			f := newTestProxy(t, w.entry("pool"))
			moving := owner.Owner{Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: "k", Moving: true}
			f.proxy.Table.Replace(1, "keyed", []owner.Owner{moving})
			stop := func() {
				f.proxy.BeginShutdown()
				f.proxy.LimitRequests(time.Now().Add(500 * time.Millisecond))
				if test.cancelled {
					f.proxy.CancelRequests()
				}
			}
			if !test.begun {
				stop()
			}
			request := f.beginRequest(t, test.path, "late", test.deadline)
			if test.begun {
				if !test.late {
					request.send(t, "body")
				}
				time.Sleep(50 * time.Millisecond) // until the proxy handles it
				stop()
			}
			if test.status == http.StatusOK {
				request.send(t, "body")
			}
			status, header := request.status(t, atOnce)
			assert.Equal(t, status, test.status)
			assert.Equal(t, header.Get("X-Id"), "late")
			assert.Equal(t, header.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
			assert.Equal(t, w.receivedCount() == 1, status == http.StatusOK)
		})
	}
}

// A worker's server error is passed on if the request can't be sent again.
func TestServerErrorLateInStopReachesCaller(t *testing.T) {
	var f *testProxy
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		f.proxy.LimitRequests(time.Now())
		answer(connection, request, http.StatusInternalServerError, "failed")
		return true
	})
	f = newTestProxy(t, w.entry("pool"))
	response, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusInternalServerError)
	assert.Equal(t, body, "failed")
}

// The limit ends where a request is sent: its client may send the body as it likes.
func TestBodyInTransferIsNotInterruptedByLimit(t *testing.T) {
	begun := make(chan struct{}, 1)
	address := startRawListener(t, func(connection net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		begun <- struct{}{}
		if _, err := io.Copy(io.Discard, request.Body); err == nil {
			answer(connection, request, http.StatusOK, "done")
		}
	})
	f := newTestProxy(t, workers.Worker{ID: "w1", Service: "pool", Address: address, Zone: "z", Slots: 4, State: workers.StateReady})
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	half := make([]byte, maxBufferedBody)
	_, err = fmt.Fprintf(connection, "POST /up/ HTTP/1.1\r\nHost: app.example\r\nX-Id: long\r\nX-Deadline: 1500\r\nContent-Length: %d\r\n\r\n%s", 2*len(half)-1, half)
	assert.NilError(t, err)
	<-begun
	f.proxy.LimitRequests(time.Now().Add(500 * time.Millisecond))
	time.Sleep(50 * time.Millisecond)
	_, err = connection.Write(half[1:])
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Signature"), "s")
}

// A router that stops takes no request that others forward, so that they try the next one.
func TestForwardedRequestIsDeclinedLateInStop(t *testing.T) {
	stopping, first, handler := newHelper(t, alwaysAnswer("first"))
	_, second, other := newHelper(t, alwaysAnswer("second"))
	stopping.proxy.BeginShutdown()
	stopping.proxy.LimitRequests(time.Now())
	f := newCutOffProxy(t, handler, other)
	for range 4 {
		response, body := f.get(t, "POST", "/unsafe/", "x")
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, body, "second")
	}
	assert.Equal(t, first.receivedCount(), 0)
	assert.Equal(t, second.receivedCount(), 4)
	f.proxy.LimitRequests(time.Now())
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, second.receivedCount(), 4)
}

// stoppingLimits grants permits of limited workers, each after a planned stop has limited the requests.
type stoppingLimits struct {
	*fakeLimits
	stop func()
}

func (l stoppingLimits) AcquirePermit(worker workers.Incarnation, cost, wait time.Duration) (time.Duration, bool) {
	l.stop()
	return l.fakeLimits.AcquirePermit(worker, cost, wait)
}

// stoppingPermits grants permits of suspected requests, each after a planned stop has limited the requests.
type stoppingPermits struct {
	*testPermits
	stop func()
}

func (p stoppingPermits) Acquire(request quarantine.Fingerprint, holder string, run time.Duration) SuspectPermit {
	p.stop()
	return p.testPermits.Acquire(request, holder, run)
}

// Whoever waits for a permit while the limit comes is refused, although the permit is granted.
func TestPermitLateInStopIsNotUsed(t *testing.T) {
	for name, test := range map[string]struct {
		service, method, path string
		suspected             bool
	}{
		"permit of a limited worker":               {service: "pool", method: "POST", path: "/unsafe/"},
		"of a limited worker, repeatable":          {service: "pool", method: "GET", path: "/safe/"},
		"of a limited owner":                       {service: "keyed", method: "POST", path: "/keyed-once/"},
		"permit of a suspected request":            {service: "pool", method: "POST", path: "/unsafe/", suspected: true},
		"of a suspected request, sent to an owner": {service: "keyed", method: "POST", path: "/keyed-once/", suspected: true},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeWorker(t, "w1", alwaysAnswer("done"))
			f, limits := newLimitedProxy(t, []workers.ID{"w1"}, w.entry(test.service))
			f.assignAllKeys(w.entry(test.service))
			limits.permits = 9
			asked := 0
			stop := func() {
				asked++
				f.proxy.BeginShutdown()
				f.proxy.LimitRequests(time.Now())
			}
			f.proxy.Limits = stoppingLimits{limits, stop}
			if test.suspected {
				f.proxy.Limits = nil
				f.proxy.SuspectPermits = stoppingPermits{&testPermits{gate: quarantine.NewGate()}, stop}
				f.recordCrashes(expectedAttempt(test.method, test.path, "x"), "a")
			}
			began := time.Now()
			response, body := f.get(t, test.method, test.path, "x", "X-Key", "7", "X-Deadline", "1000")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, body, reasonEnding+"\n")
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Equal(t, w.receivedCount(), 0)
			assert.Equal(t, asked, 1)
			assert.Assert(t, time.Since(began) < 300*time.Millisecond, "it is refused at once")
		})
	}
}
