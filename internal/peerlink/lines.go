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

func writeLine(conn net.Conn, message any) error {
	encoded, err := json.Marshal(message)
	if err != nil {
		return err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err = conn.Write(append(encoded, '\n'))
	return err
}
