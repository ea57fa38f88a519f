package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/upstream"
)

// A router without descriptors for connections took its workers for unreachable, and itself for cut off from them.
func TestWorkersAreNotBlamedForWantOfDescriptors(t *testing.T) {
	w := newFakeWorker(t, "w1", alwaysAnswer("x"))
	f := newTestProxy(t, w.entry("pool"))
	var exhausted atomic.Bool
	var dialer net.Dialer
	f.proxy.SetWorkerDialer(func(ctx context.Context, network, address string) (net.Conn, error) {
		if exhausted.Load() {
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
		}
		return dialer.DialContext(ctx, network, address)
	})
	exhausted.Store(true)
	for range 10 {
		response, _ := f.get(t, "GET", "/safe/", "")
		assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, response.Header.Get("Retry-After") != "")
	}
	list, _ := f.directory.Usable("pool")
	assert.Equal(t, f.proxy.fleet.get(list[0]).failures, 0)
	lacking := upstream.Result{Outcome: upstream.NotSent, Err: syscall.EMFILE}
	assert.Assert(t, !connectionFailed(&lacking, false))
	exhausted.Store(false)
	response, _ := f.get(t, "GET", "/safe/", "")
	assert.Equal(t, response.StatusCode, http.StatusOK, "at once")
}
