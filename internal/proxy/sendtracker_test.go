package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/upstream"
)

// In any order of sends and results, no more sends may run than the route permits, and no more than
// maxSends may be sent.
func TestSendLimitsHoldForAnyOrderOfResults(t *testing.T) {
	outcomes := []upstream.Outcome{
		upstream.Answered, upstream.NotSent, upstream.NotRun, upstream.Misdirected, upstream.Broken, upstream.TimedOut, upstream.ClientGone,
	}
	rapid.Check(t, func(t *rapid.T) {
		maxRuns := rapid.IntRange(1, 4).Draw(t, "attempts")
		tracker := sendTracker{maxRuns: maxRuns}
		inFlight, mayHaveRun, sent := 0, 0, 0
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			if inFlight == 0 || rapid.Bool().Draw(t, "send") {
				if tracker.begin() {
					inFlight++
					sent++
				}
			} else {
				outcome := rapid.SampledFrom(outcomes).Draw(t, "end")
				tracker.finish(outcome)
				inFlight--
				switch outcome {
				case upstream.NotRun, upstream.Misdirected:
				case upstream.NotSent:
					sent--
				default:
					mayHaveRun++
				}
			}
			assert.Assert(t, inFlight+mayHaveRun <= maxRuns)
			assert.Assert(t, sent <= maxSends)
			assert.Equal(t, tracker.mayHaveRun(), inFlight+mayHaveRun)
			assert.Equal(t, tracker.mayHaveArrived(), sent)
		}
	})
}

// A copy in flight counts towards the route's limit.
func TestNoHedgeBeyondMaxAttempts(t *testing.T) {
	slow := func(connection net.Conn, request *http.Request) bool {
		time.Sleep(700 * time.Millisecond) // a second copy would be sent within 520 ms
		answer(connection, request, http.StatusOK, "slow")
		return true
	}
	one, two := newFakeWorker(t, "w1", slow), newFakeWorker(t, "w2", slow)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"))
	response, _ := f.get(t, "GET", "/single/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, one.receivedCount()+two.receivedCount(), 1)
}

// A server error for one copy must neither cancel the other one, which is still running, nor cause a
// third copy to be sent.
func TestFailedCopyDoesNotCancelTheOther(t *testing.T) {
	hedged := make(chan struct{})
	var count atomic.Int32
	run := func(connection net.Conn, request *http.Request) bool {
		switch count.Add(1) {
		case 1:
			<-hedged
			time.Sleep(200 * time.Millisecond)
			answer(connection, request, http.StatusOK, "first")
		case 2:
			answer(connection, request, http.StatusInternalServerError, "failed")
			close(hedged)
		default:
			answer(connection, request, http.StatusOK, "third")
		}
		return true
	}
	one, two, three := newFakeWorker(t, "w1", run), newFakeWorker(t, "w2", run), newFakeWorker(t, "w3", run)
	f := newTestProxy(t, one.entry("pool"), two.entry("pool"), three.entry("pool"))
	response, body := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "first")
	assert.Equal(t, count.Load(), int32(2))
}
