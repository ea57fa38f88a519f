package proxy

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
	"github.com/shalefork/shalefork/internal/routing"
)

// Parameters of buffering bodies.
const (
	// maxBufferedBody is the maximum length in bytes of the part of a request's body that is read
	// before the request is sent to a worker, enough for a photo or a report. A longer body is
	// streamed: it is sent once, and occupies the worker while its caller sends.
	maxBufferedBody = 512 << 10
	// maxBufferedAnswer is the maximum length in bytes of an answer that is read completely before
	// it is forwarded, on routes with small answers. If a buffered answer is truncated, the request
	// can be sent again.
	maxBufferedAnswer = 256 << 10
	// maxBufferedDownload is the same for routes with large answers. It is also the maximum length
	// that is buffered of an answer whose caller reads slowly.
	maxBufferedDownload = 1 << 20
	// downloadBufferShare is the fraction of the target latency for which a large answer is held
	// back until it is complete. The end of the answer may be delayed by that much.
	downloadBufferShare = 0.125
	// bodyMemoryWaitShare is the fraction of the target latency for which a large body waits for
	// memory. It is small, so that a refusal leaves the caller time to retry.
	bodyMemoryWaitShare = 0.1
	// unreadBodyTimeout is for how long the rest of a caller's body is read after the answer. The
	// caller can read the answer during that time; if the connection is closed with unread bytes,
	// the answer may be lost.
	unreadBodyTimeout = time.Second
)

// cleanupList holds the functions that release a request's body memory and other resources. A second
// copy of the request may end after the request itself.
type cleanupList struct {
	mu      sync.Mutex
	pending []func()
	ended   bool
	// inline is the initial storage of pending, which saves an allocation for small requests.
	inline [3]func()
}

// add registers a function to be called at the end; it is called immediately if the request has
// already ended.
func (l *cleanupList) add(cleanup func()) {
	l.mu.Lock()
	ended := l.ended
	if !ended {
		if l.pending == nil {
			l.pending = l.inline[:0]
		}
		l.pending = append(l.pending, cleanup)
	}
	l.mu.Unlock()
	if ended {
		cleanup()
	}
}

// run calls all registered functions.
func (l *cleanupList) run() {
	l.mu.Lock()
	pending := l.pending
	l.pending, l.ended = nil, true
	l.mu.Unlock()
	for _, cleanup := range pending {
		cleanup()
	}
}

// answerBuffering returns the maximum length in bytes of an answer that is held back until it is
// complete, and for how long it is held back; zero means until the end of the send.
func (c *call) answerBuffering() (maxBytes int64, maxDelay time.Duration) {
	if c.route.Class == routing.BulkDownload {
		return maxBufferedDownload, time.Duration(downloadBufferShare * float64(c.route.Target))
	}
	return maxBufferedAnswer, 0
}

// readBody reads the body, or the beginning of a long one, before the request is sent to a worker.
// It returns false if it has already answered the request.
func (c *call) readBody() bool {
	body, length := c.request.Body, c.request.ContentLength
	if body == nil || body == http.NoBody {
		c.bodyUnread = false
		return true
	}
	c.bodyUnread = true
	if limit := c.bodyLimit(); limit > 0 && length > limit {
		c.refuse(http.StatusRequestEntityTooLarge, reasonBody, 0)
		return false
	}
	small := length <= bodies.MaxSmall // or unknown
	spool := bodies.NewSpool(c.proxy.MemoryBudget, small)
	c.cleanups.add(spool.Free)
	if !small && !c.awaitBodyMemory(spool) {
		return false
	}
	controller := http.NewResponseController(c.writer)
	limited := c.limitReading(controller)
	reader := c.limitBody(bodies.NewReader(limited, c.deadline.Add(-answerMargin), controller), length)
	whole, err := spool.Fill(reader, length, bodies.MaxSmall)
	if err == nil && !whole {
		if small && !c.awaitBodyMemory(spool) {
			return false
		}
		whole, err = spool.Fill(reader, length, maxBufferedBody)
	}
	limited.release()
	switch {
	case small && errors.Is(err, bodies.ErrNoMemory):
		c.giveUp(reasonBodiesFull, c.jitteredRetryAfter())
		return false
	case err != nil && !errors.Is(err, bodies.ErrNoMemory):
		c.refuseBodyError(err)
		return false
	}
	c.message.Body, c.message.Length = spool, spool.Length()
	if !whole {
		c.message.Rest, c.message.Length = reader, length
		c.message.Interrupt = func() {
			c.bodyInterrupted.Store(true)
			_ = controller.SetReadDeadline(time.Now())
		}
		return true
	}
	c.bodyUnread = false
	_ = controller.SetReadDeadline(time.Time{})
	return true
}

// awaitBodyMemory reserves memory for a large body. It returns false if it has already answered the
// request.
func (c *call) awaitBodyMemory(spool *bodies.Spool) bool {
	if spool.ReserveNext(c.request.Context(), time.Duration(bodyMemoryWaitShare*float64(c.route.Target))) {
		c.proxy.uploads.Add(1)
		c.cleanups.add(func() { c.proxy.uploads.Add(-1) })
		return true
	}
	c.giveUp(reasonBodiesFull, c.jitteredRetryAfter())
	return false
}

// refuseBodyError answers a request whose body could not be read. The request has not been sent to
// a worker.
func (c *call) refuseBodyError(err error) {
	switch {
	case c.refuseLate():
	case errors.Is(err, errTooLong):
		c.refuse(http.StatusRequestEntityTooLarge, reasonBody, 0)
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.refuse(http.StatusBadRequest, reasonBody, 0)
	case c.timeLeft() <= answerMargin:
		c.giveUpWithoutRetry(reasonDeadline)
	default:
		c.refuse(http.StatusRequestTimeout, reasonCallerSlow, 0)
	}
}

// checkBodyLength refuses a body that was read before the request's service was known, if it exceeds the
// service's limit. It returns false if it has answered the request.
func (c *call) checkBodyLength() bool {
	if limit := c.bodyLimit(); limit > 0 && c.message.Length > limit {
		c.refuse(http.StatusRequestEntityTooLarge, reasonBody, 0)
		return false
	}
	return true
}

// bodyLimit returns the maximum length of the request's body in bytes; zero means unlimited.
func (c *call) bodyLimit() int64 {
	if c.service != nil && c.service.BodyBytes > 0 {
		return c.service.BodyBytes
	}
	return c.config.Limits.BodyBytes
}

var (
	errTooLong  = errors.New("request body exceeds the size limit")
	errStopping = errors.New("the process stops before the request could end")
)

// limitBody limits a body whose length is unknown before it is read.
func (c *call) limitBody(body io.Reader, length int64) io.Reader {
	if limit := c.bodyLimit(); length < 0 && limit > 0 {
		return &limitedReader{reader: body, left: limit}
	}
	return body
}

// limitedReader returns an error beyond its limit, so that a truncated body never counts as
// complete.
type limitedReader struct {
	reader io.Reader
	// left is the number of bytes that may still be read.
	left int64
}

// Read implements io.Reader.
func (r *limitedReader) Read(into []byte) (int, error) {
	count, err := r.reader.Read(into)
	r.left -= int64(count)
	if r.left < 0 {
		return 0, errTooLong
	}
	return count, err
}

// answerBeforeBodyEnd allows the answer to be sent before the rest of the caller's body has been
// read. By default net/http reads the body first.
func (c *call) answerBeforeBodyEnd() {
	controller := http.NewResponseController(c.writer)
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	c.writer.Header().Set("Connection", "close")
}
