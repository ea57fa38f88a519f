package proxy

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/forward"
	"github.com/shalefork/shalefork/internal/reachability"
	"github.com/shalefork/shalefork/internal/routing"
)

// cutOff makes a tracker take its process for cut off from all workers.
func cutOff(tracker *reachability.Tracker) {
	tracker.EndSend(clock.Now(), "w", false, true)
	for !tracker.Unreachable() {
		if size := tracker.NextSurvey(clock.Now().Add(time.Second)); size > 0 {
			tracker.RecordSurvey(clock.Now(), size, 0)
		}
	}
}

// newCutOffProxy returns a proxy that is cut off from its workers, and knows the given routers.
func newCutOffProxy(t *testing.T, routers ...http.HandlerFunc) *testProxy {
	t.Helper()
	var addresses []string
	for _, router := range routers {
		server := httptest.NewServer(router)
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	f := newTestProxy(t)
	f.proxy.Helpers = forward.NewSet(nil, func() []string { return addresses })
	cutOff(f.proxy.Reachability)
	return f
}

// newHelper returns a proxy that reaches a worker, and the handler of requests that others forward to it.
func newHelper(t *testing.T, run script) (*testProxy, *fakeWorker, http.HandlerFunc) {
	t.Helper()
	w := newFakeWorker(t, "w1", run)
	helper := newTestProxy(t, w.entry("pool"))
	return helper, w, helper.proxy.ServeForwarded
}

func decline(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set(declinedHeader, "1")
	writer.Header().Set("X-Id", request.Header.Get("X-Id"))
	writer.WriteHeader(http.StatusServiceUnavailable)
}

func TestForwardedRequestReachesWorkerUnchanged(t *testing.T) {
	_, w, handler := newHelper(t, alwaysAnswer("done"))
	f := newCutOffProxy(t, handler)
	response, body := f.get(t, "POST", "/unsafe/a?b=c", "sent", "X-Deadline", "700")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, body, "done")
	assert.Equal(t, response.Header.Get("X-Signature"), "s")
	arrived := w.received[0]
	assert.Equal(t, arrived.RequestURI, "/unsafe/a?b=c")
	assert.Equal(t, arrived.Host, "app.example")
	assert.Equal(t, arrived.Header.Get("X-Target"), "w1")
	assert.Equal(t, arrived.Header.Get(callerHeader), "")
	assert.Equal(t, w.bodies[0], "sent")
	left, err := strconv.Atoi(arrived.Header.Get("X-Deadline"))
	assert.NilError(t, err)
	assert.Assert(t, left < 700 && left > 300, "%d", left)
}

// A request counts against its tenant's limit once, and its API key ends at the router that checks it.
func TestForwardedRequestIsIdentifiedOnce(t *testing.T) {
	helper, w, quota := newQuotaProxy(t, 5, alwaysAnswer("x"))
	var keys atomic.Int32
	f := newCutOffProxy(t, func(writer http.ResponseWriter, request *http.Request) {
		keys.Add(int32(len(request.Header["Authorization"])))
		helper.proxy.ServeForwarded(writer, request)
	})
	own := &fakeQuota{units: 5}
	f.proxy.Quota = own
	config := tenantsConfig(t, 2, twoTenants)
	config.Tenants["a"].Rate = 1
	assert.Assert(t, f.proxy.Use(config))
	assert.Equal(t, f.sendRaw(t, requestOfA), http.StatusOK)
	assert.Equal(t, keys.Load(), int32(0))
	assert.Equal(t, w.received[0].Header.Get("Authorization"), "")
	assert.Equal(t, w.received[0].Header.Get(tenantHeader), "")
	assert.DeepEqual(t, w.received[0].Header["X-Tenant"], []string{"a"})
	assert.Equal(t, quota.counts(), [3]int{1, 0, 0})
	assert.Equal(t, own.counts(), [3]int{})
	claimed := strings.Replace(requestOfA, "Authorization: Bearer "+keyOfA, tenantHeader+": a", 1)
	assert.Equal(t, f.sendRaw(t, claimed), http.StatusUnauthorized, "a caller's own claim")
	assert.Assert(t, helper.proxy.Use(tenantsConfig(t, 3, map[routing.TenantName][]string{"b": {keyOfB}})))
	assert.Equal(t, f.sendRaw(t, requestOfA), http.StatusServiceUnavailable, "declined by an older configuration")
}

// Requests that a router may have passed to a worker must not be forwarded to another one.
func TestForwardedRequestIsForwardedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		first  http.HandlerFunc
		status int
		// takers is the number of routers that get the request.
		takers int
	}{
		"declined":         {decline, http.StatusOK, 2},
		"broken off":       {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, http.StatusBadGateway, 1},
		"answer to others": {func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }, http.StatusGatewayTimeout, 1},
		"refused": {func(writer http.ResponseWriter, request *http.Request) {
			writer.Header().Set("X-Id", request.Header.Get("X-Id"))
			writer.WriteHeader(http.StatusTooManyRequests)
		}, http.StatusTooManyRequests, 1},
	} {
		for _, path := range []string{"/safe/", "/unsafe/"} {
			t.Run(fmt.Sprint(name, path), func(t *testing.T) {
				_, w, handler := newHelper(t, alwaysAnswer("x"))
				var takers atomic.Int32
				router := func(writer http.ResponseWriter, request *http.Request) {
					if takers.Add(1) == 1 {
						c.first(writer, request)
						return
					}
					handler(writer, request)
				}
				f := newCutOffProxy(t, router, router)
				response, _ := f.get(t, "POST", path, "x")
				assert.Equal(t, response.StatusCode, c.status)
				assert.Equal(t, int(takers.Load()), c.takers)
				assert.Equal(t, w.receivedCount(), c.takers-1)
				assert.Equal(t, response.Header.Get(declinedHeader), "")
			})
		}
	}
}

// A worker's header must not make the router that forwards a request take it for declined.
func TestWorkerCannotDeclineForwardedRequest(t *testing.T) {
	_, w, handler := newHelper(t, func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, "done", declinedHeader+": 1")
		return true
	})
	f := newCutOffProxy(t, handler, handler)
	response, _ := f.get(t, "POST", "/unsafe/", "x")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, w.receivedCount(), 1)
}

// Routers that are all cut off must not forward requests in circles, and refuse them at once.
func TestRoutersThatAreAllCutOffRefuseAtOnce(t *testing.T) {
	helper, w, handler := newHelper(t, alwaysAnswer("x"))
	cutOff(helper.proxy.Reachability)
	helper.proxy.Helpers = forward.NewSet(nil, func() []string { t.Error("forwarded again"); return nil })
	f := newCutOffProxy(t, handler)
	began := time.Now()
	response, _ := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Assert(t, time.Since(began) < 300*time.Millisecond, "%s", time.Since(began))
	assert.Equal(t, w.receivedCount(), 0)
}

// The same request of different callers is judged by caller, also if one router forwards all of them.
func TestCallerOfForwardedRequestIsKnown(t *testing.T) {
	helper, _, _ := newHelper(t, reset)
	for name, c := range map[string]struct {
		forwarded bool
		caller    string
		expected  netip.Addr
	}{
		"forwarded":           {true, "10.1.2.3", netip.MustParseAddr("10.1.2.3")},
		"forwarded, unknown":  {true, "", netip.Addr{}},
		"a caller's own word": {false, "10.1.2.3", netip.MustParseAddr("192.0.2.1")},
	} {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, "/safe/", strings.NewReader(""))
			request.RemoteAddr = "192.0.2.1:5"
			from := origin{}
			if c.forwarded {
				from = origin{forwarded: true}
				from.caller, _ = netip.ParseAddr(c.caller)
			}
			handled := &call{proxy: helper.proxy, request: request, origin: from}
			assert.Equal(t, handled.callerAddress(), c.expected)
		})
	}
}

// A refused connection must not show a crash while connections to all workers are refused.
func TestRefusedConnectionShowsACrashOnlyInContact(t *testing.T) {
	for _, inContact := range []bool{true, false} {
		t.Run(fmt.Sprint("in contact ", inContact), func(t *testing.T) {
			var w *fakeWorker
			w = newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool { return crashWorker(&w)(connection, request) })
			entry := w.entry("keyed")
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			logged := &logCounter{}
			f.proxy.Log = decision.NewTo(logged, "test")
			answered := make(chan struct{}, 1)
			f.proxy.ConfirmContact = func(context.Context) bool {
				defer func() { answered <- struct{}{} }()
				return inContact
			}
			f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7")
			<-answered
			expected := 0
			if inContact {
				expected = 1
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if w.backend(f).isConfirming() || logged.count(decision.KindRequestSuspected) != expected {
					return poll.Continue("%d suspected", logged.count(decision.KindRequestSuspected))
				}
				return poll.Success()
			}, poll.WithTimeout(10*time.Second))
		})
	}
}

// backend returns a proxy's state of the worker.
func (w *fakeWorker) backend(f *testProxy) *backend { return f.proxy.fleet.get(w.entry("keyed")) }

func (b *backend) isConfirming() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirming
}

// Timeouts during a partition must not make workers look slow to the leader.
func TestTimeoutCountsOnlyIfOthersAnswer(t *testing.T) {
	for _, othersAnswer := range []bool{true, false} {
		t.Run(fmt.Sprint("others answer ", othersAnswer), func(t *testing.T) {
			var f *testProxy
			w := newFakeWorker(t, "w1", func(net.Conn, *http.Request) bool {
				if othersAnswer {
					f.proxy.Reachability.EndSend(clock.Now(), "other", true, false)
				}
				time.Sleep(400 * time.Millisecond)
				return false
			})
			entry := w.entry("keyed")
			f = newTestProxy(t, entry)
			f.assignAllKeys(entry)
			response, _ := f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7", "X-Deadline", "200")
			assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
			_, counted := f.proxy.Meter.TakeReport().ResponseTimes["w1"]
			assert.Equal(t, counted, othersAnswer)
		})
	}
}

// Guards against two owners: the leader waits for a worker that may accept a grant late while requests reach
// it. A worker whose hold has expired rejects them, so rejections must be reported too.
func TestRejectionsOfOwnersAreReported(t *testing.T) {
	w := newFakeWorker(t, "w1", func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusMisdirectedRequest, "", "X-Not-Run: 1")
		return true
	})
	entry := w.entry("keyed")
	f := newTestProxy(t, entry)
	f.assignAllKeys(entry)
	response, _ := f.get(t, "POST", "/keyed-once/", "x", "X-Key", "7", "X-Deadline", "300")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	sum, reported := f.proxy.Meter.TakeReport().ResponseTimes["w1"]
	assert.Assert(t, reported)
	assert.Equal(t, sum, [2]int{})
}
