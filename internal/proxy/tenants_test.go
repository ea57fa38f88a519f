package proxy

import (
	"bufio"
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/tenant"
)

// API keys of the tenants in these tests. They must not occur in any output.
const (
	keyOfA = "sk-a-6b1f0c93d7e24a58"
	keyOfB = "sk-b-90d2e6f1a4c73b85"
)

// tenantsConfig returns testConfig with tenants and a route "/safe/public/" that needs no key.
func tenantsConfig(t *testing.T, version routing.Version, keys map[routing.TenantName][]string) *routing.Config {
	t.Helper()
	public := &routing.Route{
		Name: "public", Host: "app.example", Prefix: "/safe/public/", Repeatable: true, Public: true, Attempts: 2,
		Timeout: 2 * time.Second, Target: 400 * time.Millisecond, Services: []routing.WeightedService{{Service: "pool", Weight: 1}},
	}
	config := testConfig(t, version, public)
	tenants := map[routing.TenantName]*routing.Tenant{}
	for name, list := range keys {
		one := &routing.Tenant{Name: name}
		for _, key := range list {
			one.Keys = append(one.Keys, tenant.Digest(key))
		}
		tenants[name] = one
	}
	config, err := config.WithTenants(tenants)
	assert.NilError(t, err)
	return config
}

// twoTenants are a and b with one key each.
var twoTenants = map[routing.TenantName][]string{"a": {keyOfA}, "b": {keyOfB}}

// logBuffer stores the log lines that a proxy has written. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	all bytes.Buffer
}

func (l *logBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.Write(line)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all.String()
}

// awaitTexts waits until the log contains all of the texts.
func (l *logBuffer) awaitTexts(t *testing.T, texts ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, text := range texts {
			if !strings.Contains(l.String(), text) {
				return poll.Continue("no %s in %s", text, l)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
}

// newTenantsProxy returns newTestProxy with a configuration of two tenants, its worker, and its
// log.
func newTenantsProxy(t *testing.T, run script) (*testProxy, *fakeWorker, *logBuffer) {
	t.Helper()
	w := newFakeWorker(t, "w1", run)
	f := newTestProxy(t, w.entry("pool"))
	lines := &logBuffer{}
	f.proxy.Log = decision.NewTo(lines, "test")
	assert.Assert(t, f.proxy.Use(tenantsConfig(t, 2, twoTenants)))
	return f, w, lines
}

// sendRaw sends the bytes of one request and returns the status of the answer.
func (f *testProxy) sendRaw(t *testing.T, raw string) int {
	t.Helper()
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, err = connection.Write([]byte(raw))
	assert.NilError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	_ = response.Body.Close()
	return response.StatusCode
}

func TestWorkerReceivesTenantButNotKey(t *testing.T) {
	const start = "GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n"
	const keyHeaderOfA = "Authorization: Bearer " + keyOfA + "\r\n"
	for name, raw := range map[string]string{
		"key alone":                   start + keyHeaderOfA + "\r\n",
		"header in unusual case":      start + "aUTHORIZATION: bearer " + keyOfA + "\r\n\r\n",
		"another tenant's name":       start + keyHeaderOfA + "X-Tenant: b\r\n\r\n",
		"name in unusual case":        start + keyHeaderOfA + "x-tEnAnT: b\r\n\r\n",
		"name twice":                  start + keyHeaderOfA + "X-Tenant: b\r\nX-Tenant: c\r\n\r\n",
		"name with an underscore":     start + keyHeaderOfA + "X_Tenant: b\r\n\r\n",
		"name listed in Connection":   start + keyHeaderOfA + "X-Tenant: b\r\nConnection: X-Tenant\r\n\r\n",
		"listed in unusual case":      start + keyHeaderOfA + "Connection: keep-alive, x-TENANT\r\n\r\n",
		"key listed in Connection":    start + keyHeaderOfA + "Connection: Authorization\r\n\r\n",
		"id listed in Connection":     start + keyHeaderOfA + "Connection: X-Id, X-Key\r\nX-Key: 5\r\n\r\n",
		"target listed in Connection": start + keyHeaderOfA + "Connection: X-Target, X-Deadline\r\n\r\n",
		"name as a trailer": "POST /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + keyHeaderOfA +
			"Transfer-Encoding: chunked\r\nTrailer: X-Tenant, Authorization\r\n\r\n1\r\nx\r\n0\r\nX-Tenant: b\r\nAuthorization: Bearer " + keyOfB + "\r\n\r\n",
		"name as a trailer of a long body": "POST /unsafe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + keyHeaderOfA +
			"Transfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n0\r\nX-Tenant: b\r\n\r\n",
		"line folded": start + keyHeaderOfA + "X-Other: 1\r\n X-Tenant: b\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f, w, logged := newTenantsProxy(t, alwaysAnswer("x"))
			assert.Equal(t, f.sendRaw(t, raw), http.StatusOK)
			assert.Equal(t, w.receivedCount(), 1)
			arrived := w.received[0]
			assert.DeepEqual(t, arrived.Header["X-Tenant"], []string{"a"})
			assert.Equal(t, arrived.Header.Get("X-Id"), "i")
			assert.Equal(t, arrived.Header.Get("X-Target"), "w1")
			assert.Assert(t, len(arrived.Trailer) == 0)
			for header, values := range arrived.Header {
				assert.Assert(t, header == "X-Tenant" || !strings.EqualFold(strings.ReplaceAll(header, "_", "-"), "X-Tenant"), header)
				assert.Assert(t, header != tenant.Header)
				assert.Assert(t, !strings.Contains(strings.Join(values, " "), keyOfA), header)
			}
			f.proxy.Log.Flush()
			assert.Assert(t, !strings.Contains(logged.String(), keyOfA) && !strings.Contains(logged.String(), keyOfB))
		})
	}
}

func TestCallersWithoutTenantAreRefusedImmediately(t *testing.T) {
	for name, test := range map[string]struct {
		lines  string
		reason string
	}{
		"no key":            {reason: reasonKeyMissing},
		"unknown key":       {lines: "Authorization: Bearer sk-c\r\n", reason: reasonKeyUnknown},
		"tenant's name":     {lines: "X-Tenant: a\r\n", reason: reasonKeyMissing},
		"two keys":          {lines: "Authorization: Bearer " + keyOfA + "\r\nAuthorization: Bearer " + keyOfB + "\r\n", reason: reasonKeyMalformed},
		"another scheme":    {lines: "Authorization: Basic " + keyOfA + "\r\n", reason: reasonKeyMalformed},
		"key as a trailer":  {lines: "Transfer-Encoding: chunked\r\nTrailer: Authorization\r\n", reason: reasonKeyMissing},
		"listed Connection": {lines: "Connection: Authorization\r\n", reason: reasonKeyMissing},
	} {
		t.Run(name, func(t *testing.T) {
			f, w, logged := newTenantsProxy(t, alwaysAnswer("x"))
			connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = connection.Close() }()
			assert.NilError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = connection.Write([]byte("POST /unsafe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i-7\r\n" + test.lines + "\r\n"))
			assert.NilError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(connection), nil)
			assert.NilError(t, err, "the answer must not wait for the body")
			_ = response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
			assert.Equal(t, response.Header.Get("WWW-Authenticate"), "Bearer")
			assert.Equal(t, response.Header.Get("X-Id"), "i-7")
			assert.Equal(t, response.Header.Get("Retry-After"), "", "it would be refused again")
			assert.Equal(t, w.receivedCount(), 0)
			logged.awaitTexts(t, test.reason, `"id":"i-7"`)
			assert.Assert(t, !strings.Contains(logged.String(), keyOfA) && !strings.Contains(logged.String(), "sk-c"))
		})
	}
}

// On a public route the worker gets no tenant, whatever key or tenant name the caller sends.
func TestPublicRouteSendsNoTenant(t *testing.T) {
	for name, headers := range map[string][]string{
		"nothing":         {},
		"a tenant's key":  {"Authorization", "Bearer " + keyOfA},
		"an unknown key":  {"Authorization", "Bearer sk-c"},
		"a tenant's name": {"X-Tenant", "a"},
		"a listed name":   {"X-Tenant", "a", "Connection", "X-Tenant"},
	} {
		t.Run(name, func(t *testing.T) {
			f, w, _ := newTenantsProxy(t, alwaysAnswer("x"))
			response, _ := f.get(t, "GET", "/safe/public/", "", headers...)
			assert.Equal(t, response.StatusCode, http.StatusOK)
			assert.Equal(t, len(w.received[0].Header["X-Tenant"]), 0)
			assert.Equal(t, len(w.received[0].Header[tenant.Header]), 0)
		})
	}
}

// In a configuration without tenants the caller's headers are forwarded unchanged.
func TestHeadersAreForwardedWithoutTenants(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	response, _ := f.get(t, "GET", "/safe/", "", "Authorization", "Basic abc", "X-Tenant", "z")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, w.received[0].Header.Get("Authorization"), "Basic abc")
	assert.Equal(t, w.received[0].Header.Get("X-Tenant"), "z")
}

// One client connection, for example that of another proxy, may carry requests of several tenants.
func TestEachRequestOnConnectionIsAuthenticated(t *testing.T) {
	f, w, _ := newTenantsProxy(t, alwaysAnswer("x"))
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	send := func(lines string) int {
		_, err := connection.Write([]byte("GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + lines + "\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, _ = new(bytes.Buffer).ReadFrom(response.Body)
		return response.StatusCode
	}
	assert.Equal(t, send("Authorization: Bearer "+keyOfA+"\r\n"), http.StatusOK)
	assert.Equal(t, send("Authorization: Bearer "+keyOfB+"\r\n"), http.StatusOK)
	assert.Equal(t, send(""), http.StatusUnauthorized)
	f.proxy.Use(tenantsConfig(t, 3, map[routing.TenantName][]string{"b": {keyOfB}}))
	assert.Equal(t, send("Authorization: Bearer "+keyOfA+"\r\n"), http.StatusUnauthorized)
	assert.Equal(t, send("Authorization: Bearer "+keyOfB+"\r\n"), http.StatusOK)
	assert.Equal(t, w.receivedCount(), 3)
	assert.Equal(t, w.received[1].Header.Get("X-Tenant"), "b")
}

func TestAPIKeysFollowConfiguration(t *testing.T) {
	f, _, logged := newTenantsProxy(t, alwaysAnswer("x"))
	status := func(key string) int {
		response, body := f.get(t, "GET", "/safe/", "", "Authorization", "Bearer "+key)
		assert.Assert(t, response.StatusCode == http.StatusOK || body == reasonKeyUnknown+"\n", "%s: the answer must not reveal that the key was removed", body)
		return response.StatusCode
	}
	assert.Equal(t, status(keyOfA), http.StatusOK)
	assert.Equal(t, status("sk-new"), http.StatusUnauthorized)
	assert.Assert(t, f.proxy.Use(tenantsConfig(t, 7, map[routing.TenantName][]string{"a": {"sk-new"}, "b": {keyOfB}})))
	assert.Equal(t, status(keyOfA), http.StatusUnauthorized)
	assert.Equal(t, status("sk-new"), http.StatusOK)
	assert.Assert(t, !f.proxy.Use(tenantsConfig(t, 6, twoTenants)), "an older configuration must not be put into force")
	assert.Equal(t, status(keyOfA), http.StatusUnauthorized)
	logged.awaitTexts(t, `"reason":"key-taken-away"`, `"gone_with":7`, `"tenant":"a"`)
}

// A request that is in progress when its key is removed is completed, even if its first worker did
// not run it.
func TestInFlightRequestSurvivesKeyRemoval(t *testing.T) {
	received, proceed := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	f, w, _ := newTenantsProxy(t, func(connection net.Conn, request *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			close(received)
			<-proceed
			return reject(connection, request)
		}
		answer(connection, request, http.StatusOK, "done")
		return true
	})
	status := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(f.request(t, "POST", "/unsafe/", "x", "Authorization", "Bearer "+keyOfA))
		if err == nil {
			status <- response.StatusCode
			_ = response.Body.Close()
		}
	}()
	<-received
	f.proxy.Use(tenantsConfig(t, 3, nil))
	close(proceed)
	assert.Equal(t, <-status, http.StatusOK)
	assert.Equal(t, w.receivedCount(), 2)
	assert.Equal(t, w.received[1].Header.Get("X-Tenant"), "a")
}

// A process without a configuration can't determine whether a key is unknown.
func TestMissingConfigurationRejectsNoKey(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	f.proxy.current.Store(nil)
	response, _ := f.get(t, "GET", "/safe/", "", "Authorization", "Bearer "+keyOfA)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
}

func TestCallersWithKeysAreRefusedIfConfigurationIsOutdated(t *testing.T) {
	f, w, _ := newTenantsProxy(t, alwaysAnswer("x"))
	var outdated atomic.Bool
	f.proxy.Outdated = outdated.Load
	status := func(path string, headers ...string) int {
		response, _ := f.get(t, "POST", path, "", headers...)
		return response.StatusCode
	}
	keyHeaderOfA := []string{"Authorization", "Bearer " + keyOfA}
	assert.Equal(t, status("/unsafe/", keyHeaderOfA...), http.StatusOK)
	outdated.Store(true)
	assert.Equal(t, status("/unsafe/", keyHeaderOfA...), http.StatusServiceUnavailable)
	assert.Equal(t, w.receivedCount(), 1, "the request must not be sent")
	assert.Equal(t, status("/unsafe/"), http.StatusUnauthorized)
	assert.Equal(t, status("/safe/public/"), http.StatusOK)
	outdated.Store(false)
	assert.Equal(t, status("/unsafe/", keyHeaderOfA...), http.StatusOK)
}

// A refusal for which the body need not be read leaves the caller's connection open.
func TestRefusalsKeepConnectionsOpen(t *testing.T) {
	f, _, _ := newTenantsProxy(t, alwaysAnswer("x"))
	response, _ := f.get(t, "POST", "/unsafe/", "short")
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	assert.Assert(t, !response.Close)
}
