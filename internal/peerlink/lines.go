package peerlink

import (
	"bufio"
	"encoding/json"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/intake"
)

// readLine reads a message of at most maxLine bytes.
func readLine(reader *bufio.Reader, into any) error {
	line, err := nextLine(reader, maxLine)
	if err != nil {
		return err
	}
	return json.Unmarshal(line, into)
}

// nextLine reads a line of about limit bytes at most. It is valid until the next read.
func nextLine(reader *bufio.Reader, limit int) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		long := append([]byte(nil), line...)
		for err == bufio.ErrBufferFull && len(long) < limit {
			line, err = reader.ReadSlice('\n')
			long = append(long, line...)
		}
		line = long
	}
	return line, err
}

// longLine is the length in bytes from which messages are decoded one at a time: decoded, a message may
// take many times its length.
const longLine = 16 << 10

// lineReader reads the messages of a process that has dialed this one.
type lineReader struct {
	hub    *Hub
	reader *bufio.Reader
	// limited is the connection, whose gate counts incomplete messages; nil if there is none.
	limited *intake.Conn
	limit   int
}

func (h *Hub) newLineReader(conn net.Conn) *lineReader {
	limit := h.MaxLine
	if limit <= 0 {
		limit = maxLine
	}
	return &lineReader{hub: h, reader: bufio.NewReader(conn), limited: intake.From(conn), limit: limit}
}

// read reads a message.
func (l *lineReader) read(into any) error {
	line, err := nextLine(l.reader, l.limit)
	if err != nil {
		return err
	}
	defer l.limited.EndHandling()
	if len(line) < longLine {
		return json.Unmarshal(line, into)
	}
	l.hub.decodingLong.Lock()
	defer l.hub.decodingLong.Unlock()
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
