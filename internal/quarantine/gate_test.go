package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestGateRunsOneAttemptOfARequest(t *testing.T) {
	now, gate := time.Unix(1000, 0), NewGate()
	first, other := Request{URI: "/1"}.Fingerprint(), Request{URI: "/2"}.Fingerprint()
	acquire := func(request Fingerprint, holder string) bool {
		wait, granted := gate.Acquire(now, request, holder, time.Minute)
		assert.Equal(t, granted, wait == 0)
		assert.Assert(t, wait <= gateRetryInterval)
		return granted
	}
	assert.Assert(t, acquire(first, "a"))
	assert.Assert(t, acquire(first, "a"), "asking again")
	assert.Assert(t, acquire(other, "b"), "another request")
	assert.Assert(t, !acquire(first, "b"))
	gate.Release(now, first, "b", 0)
	assert.Assert(t, !acquire(first, "b"), "released by who doesn't hold it")
	gate.Release(now, first, "a", time.Second)
	assert.Assert(t, !acquire(first, "b"), "its worker may have crashed")
	now = now.Add(time.Second)
	assert.Assert(t, acquire(first, "b"))
	now = now.Add(maxRunTime)
	assert.Assert(t, acquire(first, "c"), "a holder that is never heard of again")
	gate.Release(now, first, "c", 0)
	assert.Equal(t, len(gate.running), 0)
}
