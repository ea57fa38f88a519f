package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestUnresponsiveWorkerIsHedged(t *testing.T) {
	release := make(chan struct{})
	silent := func(connection net.Conn, request *http.Request) bool {
		<-release
		answer(connection, request, http.StatusOK, "late")
		return true
	}
	var first atomic.Bool
	once := func(connection net.Conn, request *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			return silent(connection, request)
		}
		answer(connection, request, http.StatusOK, "second")
		return true
	}
	one, two := newFakeWorker(t, "w1", once), newFakeWorker(t, "w2", once)
	defer close(release)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	response, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "second")
}

// The first copy is not canceled when the second one is sent: the first answer of either is forwarded.
func TestFirstCopyMayStillAnswer(t *testing.T) {
	hedged := make(chan struct{})
	var count atomic.Int32
	run := func(connection net.Conn, request *http.Request) bool {
		if count.Add(1) == 1 {
			<-hedged
			answer(connection, request, http.StatusOK, "first")
			return true
		}
		close(hedged)
		time.Sleep(time.Second)
		return false
	}
	one, two := newFakeWorker(t, "w1", run), newFakeWorker(t, "w2", run)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	_, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, body, "first")
}

func TestUnsafeRequestIsNeverHedged(t *testing.T) {
	run := func(connection net.Conn, request *http.Request) bool {
		time.Sleep(900 * time.Millisecond)
		answer(connection, request, http.StatusOK, "slow")
		return true
	}
	one, two := newFakeWorker(t, "w1", run), newFakeWorker(t, "w2", run)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, one.receivedCount()+two.receivedCount(), 1)
}
