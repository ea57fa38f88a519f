package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Message is a client's request, ready to be sent.
type Message struct {
	Method, URI, Host string
	// ID names this try of the client.
	ID     string
	Header http.Header
	Body   []byte
	// Rest is what follows Body and can be sent once; nil if there is nothing.
	Rest io.Reader
	// Length of Body and Rest in bytes; -1 if unknown.
	Length int64
	// Once says that the request must not be sent again after it may have run.
	Once bool
}

// head writes the request's first lines.
func (m *Message) head(headers Headers, target string, left time.Duration) []byte {
	var head bytes.Buffer
	head.Grow(512 + len(m.Body))
	head.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	headers.Pass(m.Header, func(name string, values []string) {
		if name == headers.DeadlineMillis || name == headers.Target {
			return
		}
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	})
	head.WriteString(headers.DeadlineMillis + ": " + strconv.FormatInt(max(1, left.Milliseconds()), 10) + "\r\n")
	head.WriteString(headers.Target + ": " + target + "\r\n")
	switch {
	case m.Rest != nil && m.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case m.Length > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.FormatInt(m.Length, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// chunkWriter writes each piece as one chunk.
type chunkWriter struct {
	to io.Writer
}

func (w *chunkWriter) Write(piece []byte) (int, error) {
	if len(piece) == 0 {
		return 0, nil
	}
	chunk := append([]byte(strconv.FormatInt(int64(len(piece)), 16)+"\r\n"), piece...)
	if _, err := w.to.Write(append(chunk, "\r\n"...)); err != nil {
		return 0, err
	}
	return len(piece), nil
}
