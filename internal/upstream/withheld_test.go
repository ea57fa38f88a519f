package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNothingIsWrittenIfTargetNoLongerAdmitsRequest(t *testing.T) {
	w := newScriptedWorker(t)
	message := w.newMessage(t, bodyOf(9), 9, 9)
	until := time.Now().Add(time.Second)
	target := Target{ID: "w", Admits: func() bool { return false }}
	w.pool.idle[0].used = false
	got := Send(context.Background(), Headers{RequestID: "X-Id"}, w.pool, message, target, until, until)
	assert.Equal(t, got.Outcome, Withheld)
	assert.Assert(t, !got.Written)
	assert.Assert(t, !message.BodyConsumed(), "the message can still be sent to another worker")
	_ = w.worker.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := w.worker.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.Assert(t, w.hasIdleConn(), "the connection is returned to the pool")
	assert.Assert(t, !w.pool.idle[0].used, "no request was answered on it")
}
