package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/keytable"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// testHeaders are the header names that the tests use.
var testHeaders = upstream.Headers{
	RequestID: "X-Id", DeadlineMillis: "X-Deadline", Signature: "X-Signature", Target: "X-Target",
	Worker: "X-Worker", NotRun: "X-Not-Run", Load: "X-Load", Key: "X-Key", Tenant: "X-Tenant",
}

// script handles one request that a fakeWorker has received, and may write any bytes to the connection.
// It returns false to close the connection.
type script func(connection net.Conn, request *http.Request) bool

// fakeWorker is a worker whose answers are written byte by byte by a script.
type fakeWorker struct {
	id          workers.ID
	listener    net.Listener
	mu          sync.Mutex
	received    []*http.Request
	bodies      []string
	openedCount int
	closedCount int
}

func newFakeWorker(t *testing.T, id workers.ID, handle script) *fakeWorker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	w := &fakeWorker{id: id, listener: listener}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.openedCount++
			w.mu.Unlock()
			go w.serve(connection, handle)
		}
	}()
	return w
}

func (w *fakeWorker) serve(connection net.Conn, handle script) {
	defer func() {
		_ = connection.Close()
		w.mu.Lock()
		w.closedCount++
		w.mu.Unlock()
	}()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		w.received = append(w.received, request)
		w.bodies = append(w.bodies, string(body))
		w.mu.Unlock()
		if !handle(connection, request) {
			return
		}
	}
}

func (w *fakeWorker) receivedCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.received)
}

func (w *fakeWorker) openedConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.openedCount
}

func (w *fakeWorker) closedConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closedCount
}

func (w *fakeWorker) entry(service string) workers.Worker {
	return workers.Worker{
		ID: w.id, Service: routing.ServiceName(service), Address: w.listener.Addr().String(),
		Zone: "z", Slots: 4, State: workers.StateReady,
	}
}

// answer writes a complete answer with a body and additional header lines.
func answer(connection net.Conn, request *http.Request, status int, body string, extra ...string) {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n",
		status, request.Header.Get("X-Id"), len(body))
	for _, line := range extra {
		head += line + "\r\n"
	}
	_, _ = io.WriteString(connection, head+"\r\n"+body)
}

// alwaysAnswer returns a script that answers each request with status 200 and the body.
func alwaysAnswer(body string) script {
	return func(connection net.Conn, request *http.Request) bool {
		answer(connection, request, http.StatusOK, body)
		return true
	}
}

// abort closes a connection with a reset.
func abort(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// reset is a script that resets the connection without an answer.
func reset(connection net.Conn, _ *http.Request) bool {
	abort(connection)
	return false
}

// reject is a script that answers that it did not run the request.
func reject(connection net.Conn, request *http.Request) bool {
	answer(connection, request, http.StatusServiceUnavailable, "", "X-Not-Run: 1")
	return true
}

// rejectOnce returns a script that rejects the first request over all workers that share it, and
// answers the others.
func rejectOnce() script {
	var first atomic.Bool
	return func(connection net.Conn, request *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			return reject(connection, request)
		}
		answer(connection, request, http.StatusOK, "done")
		return true
	}
}

// testProxy is a proxy under test with an HTTP server for its clients.
type testProxy struct {
	proxy     *Proxy
	directory *workers.Directory
	server    *httptest.Server
	calls     int
}

// testDrain is the drain period of the proxy under test.
const testDrain = 2 * time.Second

// newTestProxy starts a proxy with the given workers. It routes "/safe/", "/unsafe/", "/up/", "/down/"
// and "/single/", which may run on one worker only, to service "pool", and "/keyed/" and
// "/keyed-once/" to service "keyed".
func newTestProxy(t *testing.T, list ...workers.Worker) *testProxy {
	t.Helper()
	directory := workers.NewDirectory()
	directory.Replace(list, nil, time.Now())
	proxy := New("z", directory, BudgetLimits{Ratio: 0.2, Slack: 200, Window: 10 * time.Second})
	proxy.Headers, proxy.Table, proxy.Meter = testHeaders, keytable.New(), peerlink.NewMeter()
	proxy.DrainPeriod = testDrain
	proxy.Log, proxy.Metrics = decision.NewTo(io.Discard, "test"), NewMetrics(prometheus.NewRegistry())
	proxy.Use(testConfig(t, 1))
	f := &testProxy{proxy: proxy, directory: directory, server: httptest.NewServer(proxy)}
	t.Cleanup(f.server.Close)
	return f
}

// testConfig returns the configuration of newTestProxy with additional routes.
func testConfig(t testing.TB, version routing.Version, more ...*routing.Route) *routing.Config {
	t.Helper()
	route := func(prefix, service string, repeatable bool) *routing.Route {
		return &routing.Route{
			Name: prefix, Host: "app.example", Prefix: prefix, Repeatable: repeatable, Attempts: 2,
			Timeout: 2 * time.Second, Target: 400 * time.Millisecond,
			Services: []routing.WeightedService{{Service: routing.ServiceName(service), Weight: 1}},
		}
	}
	services := map[routing.ServiceName]*routing.Service{
		"pool": {Name: "pool"}, "keyed": {Name: "keyed", Keyed: true},
	}
	single := route("/single/", "pool", true)
	single.Attempts = 1
	up, down := route("/up/", "pool", false), route("/down/", "pool", true)
	up.Class, down.Class = routing.BulkUpload, routing.BulkDownload
	routes := append([]*routing.Route{
		route("/safe/", "pool", true), route("/unsafe/", "pool", false), route("/keyed/", "keyed", true),
		route("/keyed-once/", "keyed", false), single, up, down,
	}, more...)
	config, err := routing.Build(version, routes, services, routing.Limits{BodyBytes: 1 << 20})
	assert.NilError(t, err)
	return config
}

// assignAllKeys makes a worker the owner of all keys.
func (f *testProxy) assignAllKeys(w workers.Worker) {
	f.proxy.Table.Replace(1, "keyed", []owner.Owner{{
		Keys: owner.KeyRange{From: 0, To: owner.KeyCount - 1}, Worker: w.ID, Address: w.Address,
	}})
}

// request builds a client request. headers are pairs of names and values.
func (f *testProxy) request(t *testing.T, method, path, body string, headers ...string) *http.Request {
	t.Helper()
	f.calls++
	request, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Host = "app.example"
	request.Header.Set("X-Id", fmt.Sprintf("call-%d", f.calls))
	request.Header.Set("X-Deadline", "1500")
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	return request
}

// get sends a request and returns the response and its body.
func (f *testProxy) get(t *testing.T, method, path, body string, headers ...string) (*http.Response, string) {
	t.Helper()
	response, err := http.DefaultClient.Do(f.request(t, method, path, body, headers...))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(content)
}
