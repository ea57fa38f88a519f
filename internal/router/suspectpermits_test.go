package router

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/lab/loopback"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/quarantine"
	"github.com/shalefork/shalefork/internal/workers"
)

// leadingRouter returns a router that leads, and its address.
func leadingRouter(t *testing.T) (*Router, string) {
	t.Helper()
	r := newTestRouter(t)
	r.hub.Open(1)
	listener, err := net.Listen("tcp", loopback.Address().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go r.hub.Serve(listener)
	return r, listener.Addr().String()
}

// following returns the permits of a router that follows the leader at an address.
func following(t *testing.T, leader string) *suspectPermits {
	t.Helper()
	r := newTestRouter(t)
	r.hub.SetFollowedLeader(leader)
	return newSuspectPermits(r)
}

func TestOneSuspectRunsOverAllRouters(t *testing.T) {
	leader, address := leadingRouter(t)
	one, two := following(t, address), following(t, address)
	request := quarantine.Request{URI: "/x"}.Fingerprint()
	assert.Assert(t, one.Acquire(request, "a", time.Second).Granted)
	assert.Assert(t, !two.Acquire(request, "b", time.Second).Granted, "it runs at another router")
	assert.Assert(t, !one.Acquire(request, "c", time.Second).Granted, "it runs at the same router")
	one.Release(request, "a", 0)
	deadline := time.Now().Add(2 * time.Second)
	for !two.Acquire(request, "b", time.Minute).Granted {
		assert.Assert(t, time.Now().Before(deadline))
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	for index, worker := range []workers.ID{"w1", "w2", "w3"} {
		crash := quarantine.Crash{Worker: worker, At: now.Add(time.Duration(3*index-9) * time.Second)}
		leader.proxy.Suspects.RecordCrash(now, quarantine.Attempt{Request: request}, crash)
	}
	assert.Assert(t, one.Acquire(request, "d", time.Second).Quarantined, "this router does not know yet")
}

// While no leader answers, or one of an earlier version does, each router lets one attempt run.
func TestSuspectRunsAtEachRouterWithoutLeader(t *testing.T) {
	hub := peerlink.NewHub("p", nil, func() peerlink.ReadState { return peerlink.ReadState{} })
	listener, err := net.Listen("tcp", loopback.Address().String())
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go hub.Serve(listener)
	request := quarantine.Request{URI: "/x"}.Fingerprint()
	for name, leader := range map[string]string{
		"none":            "",
		"nobody listens":  loopback.Address().String(),
		"does not answer": listener.Addr().String(),
	} {
		t.Run(name, func(t *testing.T) {
			permits := following(t, leader)
			assert.Assert(t, permits.Acquire(request, "a", time.Second).Granted)
			assert.Assert(t, !permits.Acquire(request, "b", time.Second).Granted)
		})
	}
}
