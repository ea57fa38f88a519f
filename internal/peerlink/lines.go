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

// writeLine writes a message. A link that takes nothing for writeTimeout is broken; one that is
// slow is not, however long the message.
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

// moving reads from a connection for as long as bytes come: silence ends it, not the length of
// what is read.
type idleTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Read implements io.Reader.
func (m idleTimeoutConn) Read(into []byte) (int, error) {
	_ = m.SetReadDeadline(time.Now().Add(m.timeout))
	return m.Conn.Read(into)
}
