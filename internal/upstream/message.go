package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
)

// Message is a client's request, ready to be sent.
type Message struct {
	Method, URI, Host string
	// ID names this try of the client.
	ID     string
	Header http.Header
	// Guarded says that the caller's API key, and what it says of its tenant, stay behind.
	StripIdentity bool
	// Tenant was proved, and is named to the worker; empty: none. Guarded only.
	Tenant string
	// Body is the body, or the beginning of a long one.
	Body *bodies.Spool
	// Rest is what follows Body and can be sent once; nil if there is nothing.
	Rest io.Reader
	// Interrupt ends a read of Rest that is under way; for as long as Rest is set.
	Interrupt func()
	// Length of Body and Rest in bytes; -1 if unknown.
	Length int64
	// Once says that the request must not be sent again after it may have run.
	AtMostOnce bool
	// Room and Turns bound what large bodies take.
	Budget *bodies.MemoryBudget
	Shaper *bodies.LinkShaper
	// Kept is the most of an answer that is kept back until it is whole, in bytes, and Held
	// for how long that may take; zero: until the send's time is over.
	AnswerBufferSize int64
	AnswerBufferTime time.Duration
	// spent says that some of Rest has been read.
	spent atomic.Bool
}

// Spent reports whether the body can't be sent again, since a part of it was only passed on.
func (m *Message) BodyConsumed() bool { return m.spent.Load() }

// large reports whether the body is sent beside the wait for the answer: a worker may answer
// before it has read it.
func (m *Message) large() bool { return m.Rest != nil || m.Length > bodies.MaxSmall }

// head writes the request's first lines.
func (m *Message) head(headers Headers, target string, left time.Duration) []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(m.Method + " " + m.URI + " HTTP/1.1\r\nHost: " + m.Host + "\r\n")
	headers.ForEachForwarded(m.Header, func(name string, values []string) {
		if name == headers.DeadlineMillis || name == headers.Target || (m.StripIdentity && headers.IdentifiesCaller(name)) {
			return
		}
		for _, value := range values {
			head.WriteString(name + ": " + value + "\r\n")
		}
	})
	head.WriteString(headers.DeadlineMillis + ": " + strconv.FormatInt(max(1, left.Milliseconds()), 10) + "\r\n")
	head.WriteString(headers.Target + ": " + target + "\r\n")
	if m.Tenant != "" && headers.Tenant != "" {
		head.WriteString(headers.Tenant + ": " + m.Tenant + "\r\n")
	}
	switch {
	case m.Rest != nil && m.Length < 0:
		head.WriteString("Transfer-Encoding: chunked\r\n")
	case m.Length > 0 || m.Method == http.MethodPost || m.Method == http.MethodPut || m.Method == http.MethodPatch:
		head.WriteString("Content-Length: " + strconv.FormatInt(m.Length, 10) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}
