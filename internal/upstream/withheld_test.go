package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNothingIsWrittenToAWorkerThatDoesNotAdmitIt(t *testing.T) {
	l := newLink(t)
	message := l.message(t, bodyOf(9), 9, 9)
	until := time.Now().Add(time.Second)
	target := Target{ID: "w", Admits: func() bool { return false }}
	l.pool.idle[0].used = false
	got := Send(context.Background(), Headers{RequestID: "X-Id"}, l.pool, message, target, until, until)
	assert.Equal(t, got.Outcome, Withheld)
	assert.Assert(t, !got.Written)
	assert.Assert(t, !message.BodyConsumed(), "another worker may get it")
	_ = l.worker.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := l.worker.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "timeout")
	assert.Assert(t, l.kept(), "the connection may carry the next request")
	assert.Assert(t, !l.pool.idle[0].used, "it has not carried one")
}
