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

// Keys of the tenants in these tests; no output may have any of them.
const (
	keyOfA = "sk-a-6b1f0c93d7e24a58"
	keyOfB = "sk-b-90d2e6f1a4c73b85"
)

// tenantsConfig is testConfig with tenants, whose route "/safe/public/" needs no key.
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

// twoTenants are a and b with a key each.
var twoTenants = map[routing.TenantName][]string{"a": {keyOfA}, "b": {keyOfB}}

// logged are the lines that a proxy has written.
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

// awaits waits for lines with all of some texts.
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

// newTenantsProxy is newTestProxy under a configuration with two tenants, and what it logs.
func newTenantsProxy(t *testing.T, run script) (*testProxy, *fakeWorker, *logBuffer) {
	t.Helper()
	w := newFakeWorker(t, "w1", run)
	f := newTestProxy(t, w.entry("pool"))
	lines := &logBuffer{}
	f.proxy.Log = decision.NewTo(lines, "test")
	assert.Assert(t, f.proxy.Use(tenantsConfig(t, 2, twoTenants)))
	return f, w, lines
}

// sendRaw sends the bytes of one request, and returns the answer's status.
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
	const showsA = "Authorization: Bearer " + keyOfA + "\r\n"
	for name, raw := range map[string]string{
		"key alone":                   start + showsA + "\r\n",
		"header in odd case":          start + "aUTHORIZATION: bearer " + keyOfA + "\r\n\r\n",
		"another tenant's name":       start + showsA + "X-Tenant: b\r\n\r\n",
		"name in odd case":            start + showsA + "x-tEnAnT: b\r\n\r\n",
		"name twice":                  start + showsA + "X-Tenant: b\r\nX-Tenant: c\r\n\r\n",
		"name with an underscore":     start + showsA + "X_Tenant: b\r\n\r\n",
		"name listed in Connection":   start + showsA + "X-Tenant: b\r\nConnection: X-Tenant\r\n\r\n",
		"listed in odd case":          start + showsA + "Connection: keep-alive, x-TENANT\r\n\r\n",
		"key listed in Connection":    start + showsA + "Connection: Authorization\r\n\r\n",
		"id listed in Connection":     start + showsA + "Connection: X-Id, X-Key\r\nX-Key: 5\r\n\r\n",
		"target listed in Connection": start + showsA + "Connection: X-Target, X-Deadline\r\n\r\n",
		"name as a trailer": "POST /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + showsA +
			"Transfer-Encoding: chunked\r\nTrailer: X-Tenant, Authorization\r\n\r\n1\r\nx\r\n0\r\nX-Tenant: b\r\nAuthorization: Bearer " + keyOfB + "\r\n\r\n",
		"name as a trailer of a long body": "POST /unsafe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + showsA +
			"Transfer-Encoding: chunked\r\nTrailer: X-Tenant\r\n\r\n30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n0\r\nX-Tenant: b\r\n\r\n",
		"line folded": start + showsA + "X-Other: 1\r\n X-Tenant: b\r\n\r\n",
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
			assert.NilError(t, err, "the answer does not wait for a body")
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

// Who comes by a public route is nobody to the worker, whatever it shows or says.
func TestPublicRouteSendsNoTenant(t *testing.T) {
	for name, headers := range map[string][]string{
		"nothing":        {},
		"a tenant's key": {"Authorization", "Bearer " + keyOfA},
		"an unknown key": {"Authorization", "Bearer sk-c"},
		"a name":         {"X-Tenant", "a"},
		"a name listed":  {"X-Tenant", "a", "Connection", "X-Tenant"},
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

// Where nobody is a tenant, what callers send travels on as it is.
func TestHeadersAreForwardedWithoutTenants(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	response, _ := f.get(t, "GET", "/safe/", "", "Authorization", "Basic abc", "X-Tenant", "z")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, w.received[0].Header.Get("Authorization"), "Basic abc")
	assert.Equal(t, w.received[0].Header.Get("X-Tenant"), "z")
}

// One connection of a caller, as of a proxy before it, may bring requests of several tenants.
func TestEachRequestOnConnectionIsAuthenticated(t *testing.T) {
	f, w, _ := newTenantsProxy(t, alwaysAnswer("x"))
	connection, err := net.Dial("tcp", f.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	ask := func(lines string) int {
		_, err := connection.Write([]byte("GET /safe/ HTTP/1.1\r\nHost: app.example\r\nX-Id: i\r\nX-Deadline: 1500\r\n" + lines + "\r\n"))
		assert.NilError(t, err)
		response, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, _ = new(bytes.Buffer).ReadFrom(response.Body)
		return response.StatusCode
	}
	assert.Equal(t, ask("Authorization: Bearer "+keyOfA+"\r\n"), http.StatusOK)
	assert.Equal(t, ask("Authorization: Bearer "+keyOfB+"\r\n"), http.StatusOK)
	assert.Equal(t, ask(""), http.StatusUnauthorized)
	f.proxy.Use(tenantsConfig(t, 3, map[routing.TenantName][]string{"b": {keyOfB}}))
	assert.Equal(t, ask("Authorization: Bearer "+keyOfA+"\r\n"), http.StatusUnauthorized)
	assert.Equal(t, ask("Authorization: Bearer "+keyOfB+"\r\n"), http.StatusOK)
	assert.Equal(t, w.receivedCount(), 3)
	assert.Equal(t, w.received[1].Header.Get("X-Tenant"), "b")
}

func TestAPIKeysFollowConfiguration(t *testing.T) {
	f, _, logged := newTenantsProxy(t, alwaysAnswer("x"))
	status := func(key string) int {
		response, body := f.get(t, "GET", "/safe/", "", "Authorization", "Bearer "+key)
		assert.Assert(t, response.StatusCode == http.StatusOK || body == reasonKeyUnknown+"\n", "%s: what became of a key is not for who shows it", body)
		return response.StatusCode
	}
	assert.Equal(t, status(keyOfA), http.StatusOK)
	assert.Equal(t, status("sk-new"), http.StatusUnauthorized)
	assert.Assert(t, f.proxy.Use(tenantsConfig(t, 7, map[routing.TenantName][]string{"a": {"sk-new"}, "b": {keyOfB}})))
	assert.Equal(t, status(keyOfA), http.StatusUnauthorized)
	assert.Equal(t, status("sk-new"), http.StatusOK)
	assert.Assert(t, !f.proxy.Use(tenantsConfig(t, 6, twoTenants)), "an older one never comes back")
	assert.Equal(t, status(keyOfA), http.StatusUnauthorized)
	logged.awaitTexts(t, `"reason":"key-taken-away"`, `"gone_with":7`, `"tenant":"a"`)
}

// A request that is on its way when its key goes is finished, also where its first worker did
// not run it.
func TestInFlightRequestSurvivesKeyRemoval(t *testing.T) {
	asked, goOn := make(chan struct{}), make(chan struct{})
	var first atomic.Bool
	f, w, _ := newTenantsProxy(t, func(connection net.Conn, request *http.Request) bool {
		if first.CompareAndSwap(false, true) {
			close(asked)
			<-goOn
			return refuse(connection, request)
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
	<-asked
	f.proxy.Use(tenantsConfig(t, 3, nil))
	close(goOn)
	assert.Equal(t, <-status, http.StatusOK)
	assert.Equal(t, w.receivedCount(), 2)
	assert.Equal(t, w.received[1].Header.Get("X-Tenant"), "a")
}

// A configuration that is not known says nothing against a key.
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
	showsA := []string{"Authorization", "Bearer " + keyOfA}
	assert.Equal(t, status("/unsafe/", showsA...), http.StatusOK)
	outdated.Store(true)
	assert.Equal(t, status("/unsafe/", showsA...), http.StatusServiceUnavailable)
	assert.Equal(t, w.receivedCount(), 1, "it promises that it did not run")
	assert.Equal(t, status("/unsafe/"), http.StatusUnauthorized)
	assert.Equal(t, status("/safe/public/"), http.StatusOK)
	outdated.Store(false)
	assert.Equal(t, status("/unsafe/", showsA...), http.StatusOK)
}

// A refusal for which the body need not be read leaves the caller's connection open.
func TestRefusalsKeepConnectionsOpen(t *testing.T) {
	f, _, _ := newTenantsProxy(t, alwaysAnswer("x"))
	response, _ := f.get(t, "POST", "/unsafe/", "short")
	assert.Equal(t, response.StatusCode, http.StatusUnauthorized)
	assert.Assert(t, !response.Close)
}
