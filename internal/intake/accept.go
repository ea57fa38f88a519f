package intake

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pauses after errors of accept, doubled with each error in a row.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// persistentListener is a listener whose Accept fails only once the listener is closed.
type persistentListener struct {
	net.Listener
	closing sync.Once
	closed  chan struct{}
}

// Persistent wraps a listener so that Accept returns an error only once the listener is closed. A process
// that has no descriptor left, or whose peer resets a connection that was not accepted yet, goes on
// accepting.
func Persistent(inner net.Listener) net.Listener {
	return &persistentListener{Listener: inner, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *persistentListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		accepted, err := l.Listener.Accept()
		if err == nil || !isPassing(err) {
			return accepted, err
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// isPassing reports whether Accept may succeed later.
func isPassing(err error) bool {
	for _, passing := range []error{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET,
		syscall.EPROTO, syscall.EPERM, syscall.EINTR, syscall.EAGAIN,
	} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// Close implements net.Listener.
func (l *persistentListener) Close() error {
	l.closing.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
