package peerlink

import (
	"bufio"
	"encoding/json"
	"net"
	"time"
)

func readLine(reader *bufio.Reader, into any) error {
	line, err := reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), line...)
		for err == bufio.ErrBufferFull && len(long) < maxLine {
			line, err = reader.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// writeLine writes a message. It fails if the link accepts no bytes for writeTimeout, but not if
// the link is merely slow, however long the message is.
func writeLine(conn net.Conn, message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	left := append(encoded, '\n')
	for len(left) > 0 {
		count := min(len(left), writeChunk)
		_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := conn.Write(left[:count]); err != nil {
			return err
		}
		left = left[count:]
	}
	return nil
}

// idleTimeoutConn limits the time between reads that return bytes, not the time that it takes to
// read a whole message.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (c idleTimeoutConn) Read(into []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(c.timeout))
	return c.Conn.Read(into)
}
