package proxy

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// resettingWorker starts a worker that resets all new connections, as an overloaded worker does.
func resettingWorker(t *testing.T, service string) workers.Worker {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			abort(connection)
		}
	}()
	return workers.Worker{
		ID: "crowded", Service: routing.ServiceName(service), Address: listener.Addr().String(),
		Zone: "z", Slots: 4, State: workers.StateReady,
	}
}

// A request whose connection was reset before anything was written certainly did not run. The client
// gets status 503 and may retry it, even if the request is not repeatable.
func TestConnectionResetBeforeWriteMeansNotRun(t *testing.T) {
	for name, path := range map[string]string{"keyed": "/keyed-once/", "pool": "/unsafe/"} {
		t.Run(name, func(t *testing.T) {
			service := "pool"
			if name == "keyed" {
				service = "keyed"
			}
			entry := resettingWorker(t, service)
			f := newTestProxy(t, entry)
			f.assignAllKeys(entry)
			response, _ := f.get(t, "POST", path, "x", "X-Key", "7")
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Header.Get("Retry-After") != "")
		})
	}
}

// Another worker of the pool may have capacity.
func TestConnectionResetBeforeWriteTriesAnotherWorker(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, resettingWorker(t, "pool"), w.entry("pool"))
	for range 5 {
		response, _ := f.get(t, "POST", "/unsafe/", "x")
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
}
