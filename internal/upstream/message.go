package upstream

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
)

// Message is a client's request, ready to be sent.
type Message struct {
	Method, URI, Host string
	// ID identifies this attempt of the client.
	ID     string
	Header http.Header
	// StripIdentity is set if the caller's API key and tenant headers must not be forwarded.
	StripIdentity bool
	// Tenant is the authenticated tenant, which is passed to the worker; empty if there is none. It
	// is only set together with StripIdentity.
	Tenant string
	// Body is the body, or the beginning of a large one.
	Body *bodies.Spool
	// Rest reads what follows Body, and can be sent only once; nil if nothing follows.
	Rest io.Reader
	// Interrupt ends a read of Rest that is in progress. It is set together with Rest.
	Interrupt func()
	// Length is the length of Body and Rest together in bytes, or -1 if unknown.
	Length int64
	// AtMostOnce is set if the request must not be sent again once it may have run.
	AtMostOnce bool
	// Budget limits the memory, and Shaper the bandwidth, of large bodies.
	Budget *bodies.MemoryBudget
	Shaper *bodies.LinkShaper
	// AnswerBufferSize is the maximum number of bytes of an answer to buffer; smaller values than
	// bodies.MaxSmall count as bodies.MaxSmall. AnswerBufferTime is how long to wait for the complete answer before it is
	// streamed; zero means until the send's deadline.
	AnswerBufferSize int64
	AnswerBufferTime time.Duration
	// bodyConsumed is set once Rest may have been read.
	bodyConsumed atomic.Bool
	// sentOver are the connections over which the message was sent. Copies of a hedged request are
	// sent concurrently.
	sentOver   []*conn
	sentOverMu sync.Mutex
}

// isHead reports whether the answer to the message has no body.
func (m *Message) isHead() bool { return m.Method == http.MethodHead }

// recordSend records that the message is sent over a connection.
func (m *Message) recordSend(c *conn) {
	c.carriesHead = m.isHead()
	m.sentOverMu.Lock()
	defer m.sentOverMu.Unlock()
	m.sentOver = append(m.sentOver, c)
}

// wasSentOver reports whether the message was sent over a connection.
func (m *Message) wasSentOver(c *conn) bool {
	m.sentOverMu.Lock()
	defer m.sentOverMu.Unlock()
	return slices.Contains(m.sentOver, c)
}

// BodyConsumed reports whether the body can't be sent again, since part of it was streamed and not
// kept.
func (m *Message) BodyConsumed() bool { return m.bodyConsumed.Load() }

// isLarge reports whether the body is sent while waiting for the answer, since a worker may answer
// before it has read the body.
func (m *Message) isLarge() bool { return m.Rest != nil || m.Length > bodies.MaxSmall }

// encodeHead returns the request line and headers.
func (m *Message) encodeHead(headers Headers, target string, remaining time.Duration) []byte {
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
	head.WriteString(headers.DeadlineMillis + ": " + strconv.FormatInt(max(1, remaining.Milliseconds()), 10) + "\r\n")
	if target != "" {
		head.WriteString(headers.Target + ": " + target + "\r\n")
	}
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
