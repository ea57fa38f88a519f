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

// Bounds of bodies.
const (
	// maxBufferedBody is the most of a request's body that is read before a worker is asked, in
	// bytes: a photo or a report. What is longer is passed on as it comes, sent once, and
	// takes the worker's time while its caller sends.
	maxBufferedBody = 512 << 10
	// maxBufferedAnswer is the largest answer, in bytes, that is read whole before it is passed on,
	// where answers are small: a broken one can be asked for again.
	maxBufferedAnswer = 256 << 10
	// maxBufferedDownload is the same where answers are large, and the most that is held of an answer
	// whose caller reads slowly.
	maxBufferedDownload = 1 << 20
	// downloadBufferShare of the target is the longest that a large answer is kept back until it is
	// whole: so much later may its end come.
	downloadBufferShare = 0.125
	// bodyMemoryWaitShare of the target is how long a large body waits for memory; a refusal should come
	// early in the time that its caller has.
	bodyMemoryWaitShare = 0.1
	// unreadBodyTimeout bounds the wait for what a caller still sends after its answer, in which it can
	// read the answer: a connection that is closed with unread bytes may lose it.
	unreadBodyTimeout = time.Second
)

// holding is what a request holds of the memory for bodies. A second copy of the request may
// end after it.
type cleanupList struct {
	mu      sync.Mutex
	pending []func()
	ended   bool
	// few is where the first of them stand, so that a small request allocates nothing more.
	inline [3]func()
}

// add notes what is to be freed at the end.
func (h *cleanupList) add(free func()) {
	h.mu.Lock()
	ended := h.ended
	if !ended {
		if h.pending == nil {
			h.pending = h.inline[:0]
		}
		h.pending = append(h.pending, free)
	}
	h.mu.Unlock()
	if ended {
		free()
	}
}

// end frees all.
func (h *cleanupList) run() {
	h.mu.Lock()
	free := h.pending
	h.pending, h.ended = nil, true
	h.mu.Unlock()
	for _, one := range free {
		one()
	}
}

// keepBack says how much of an answer is kept back until it is whole, and for how long.
func (c *call) answerBuffering() (most int64, hold time.Duration) {
	if c.route.Class == routing.BulkDownload {
		return maxBufferedDownload, time.Duration(downloadBufferShare * float64(c.route.Target))
	}
	return maxBufferedAnswer, 0
}

// readBody reads the body, or the beginning of a long one, before any worker is asked; false if
// the request was answered.
func (c *call) readBody() bool {
	body, length := c.request.Body, c.request.ContentLength
	if body == nil || body == http.NoBody {
		c.bodyUnread = false
		return true
	}
	c.bodyUnread = true
	if most := c.bodyLimit(); most > 0 && length > most {
		c.refuse(http.StatusRequestEntityTooLarge, reasonBody, 0)
		return false
	}
	small := length <= bodies.MaxSmall // or not known yet
	spool := bodies.NewSpool(c.proxy.Room, small)
	c.cleanups.add(spool.Free)
	if !small && !c.awaitBodyMemory(spool) {
		return false
	}
	controller := http.NewResponseController(c.writer)
	reader := c.limitBody(bodies.NewReader(body, c.deadline.Add(-answerMargin), controller), length)
	whole, err := spool.Fill(reader, length, bodies.MaxSmall)
	if err == nil && !whole {
		if small && !c.awaitBodyMemory(spool) {
			return false
		}
		whole, err = spool.Fill(reader, length, maxBufferedBody)
	}
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
		c.message.Interrupt = func() { _ = controller.SetReadDeadline(time.Now()) }
		return true
	}
	c.bodyUnread = false
	_ = controller.SetReadDeadline(time.Time{})
	return true
}

// awaitRoom takes memory for a large body; false if the request was answered.
func (c *call) awaitBodyMemory(spool *bodies.Spool) bool {
	if spool.ReserveNext(c.request.Context(), time.Duration(bodyMemoryWaitShare*float64(c.route.Target))) {
		c.proxy.uploads.Add(1)
		c.cleanups.add(func() { c.proxy.uploads.Add(-1) })
		return true
	}
	c.giveUp(reasonBodiesFull, c.jitteredRetryAfter())
	return false
}

// bodyBroke answers a request whose body could not be read. No worker has been asked.
func (c *call) refuseBodyError(err error) {
	switch {
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

// bodyLimit is the longest body that the request may have; zero: any.
func (c *call) bodyLimit() int64 {
	if c.service.BodyBytes > 0 {
		return c.service.BodyBytes
	}
	return c.config.Limits.BodyBytes
}

var errTooLong = errors.New("the body is longer than it may be")

// limited bounds a body whose length is not known before it is read.
func (c *call) limitBody(body io.Reader, length int64) io.Reader {
	if most := c.bodyLimit(); length < 0 && most > 0 {
		return &limitedReader{reader: body, left: most}
	}
	return body
}

// limitedReader fails beyond its limit, so that what was read is never taken for whole.
type limitedReader struct {
	reader io.Reader
	// left is how many bytes may still come.
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

// leaveUnread lets an answer go out before the rest of the caller's body is in, which would
// else be read first.
func (c *call) answerBeforeBodyEnd() {
	controller := http.NewResponseController(c.writer)
	_ = controller.EnableFullDuplex()
	_ = controller.SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	c.writer.Header().Set("Connection", "close")
}
