package peerlink

import (
	"context"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// exhaustedListener fails to accept for want of descriptors until it has failed a number of times.
type exhaustedListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *exhaustedListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// A process that had once run out of descriptors accepted no links any more.
func TestLinksAreAcceptedAfterDescriptorsRanOut(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	listener := &exhaustedListener{Listener: inner}
	listener.failures.Store(3)
	hub := NewHub("process", make(chan Report, 1), func() ReadState { return ReadState{} })
	ended := make(chan struct{})
	go func() {
		hub.Serve(listener)
		close(ended)
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	status, answered := QueryLeadership(ctx, inner.Addr().String(), 0)
	assert.Assert(t, answered)
	assert.Equal(t, status.Process, "process")
	_ = inner.Close()
	<-ended
}
