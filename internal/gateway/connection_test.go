package gateway

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A try's account is its own: the next try may have the connection before the
// one before has looked, as when an answer without a body meets the deadline.
func TestAccountOutlivesTheConnection(t *testing.T) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	var first, second account
	conn.begin(&first)
	_, err := conn.Write([]byte("request"))
	assert.NilError(t, err)
	conn.begin(&second)
	conn.seal(&first)
	assert.Assert(t, first.begun.Load(), "the first try's bytes are not forgotten")
	_, err = conn.Write([]byte("request"))
	assert.NilError(t, err, "the second try keeps its connection")
	conn.seal(&second)
	_, err = conn.Write([]byte("more"))
	assert.ErrorIs(t, err, errSealed)
}

// What is sealed before its first write never sends a byte.
func TestSealedConnectionSendsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	conn := &trackedConn{Conn: near}
	var unsent account
	conn.begin(&unsent)
	conn.seal(&unsent)
	_, err := conn.Write([]byte("request"))
	assert.ErrorIs(t, err, errSealed)
	assert.Assert(t, !unsent.begun.Load())
}
