package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

const (
	// defaultMaxBody bounds a request's body where the service sets no limit.
	defaultMaxBody = 1 << 20
	// replayBytes is the most of a body that is kept to send it again. A
	// longer one is streamed and goes out once.
	replayBytes = 64 << 10
	// bodyStall bounds the wait for the first part of a body.
	bodyStall = 30 * time.Second
)

// Errors of a caller's body.
var (
	errBodyTooLarge = errs.New("the request body is over the limit")
	errBodyBroken   = errs.New("the request body could not be read")
)

// body is a caller's request body: a head that is kept, and for a long body
// the rest, which can be read once.
type body struct {
	head   []byte
	rest   io.Reader // nil if the head is all
	length int64     // -1 if unknown
	// controller of the caller's connection, for the rest.
	controller *http.ResponseController
	mu         sync.Mutex
	taken      bool
	// ended says that the caller was answered: its connection is let alone.
	ended bool
}

// readBody reads at most keep bytes ahead. It returns errBodyTooLarge for one
// known to be over limit and errBodyBroken for one that the caller did not send.
func readBody(writer http.ResponseWriter, request *http.Request, limit, keep int64) (*body, error) {
	if request.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if request.Body == nil || request.Body == http.NoBody {
		return &body{}, nil
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyStall))
	limited := &limitedReader{source: request.Body, left: limit}
	head, err := io.ReadAll(io.LimitReader(limited, keep+1))
	_ = controller.SetReadDeadline(time.Time{})
	if err == errBodyTooLarge {
		return nil, err
	}
	if err != nil {
		return nil, errBodyBroken
	}
	if int64(len(head)) <= keep {
		return &body{head: head, length: int64(len(head))}, nil
	}
	return &body{head: head, rest: limited, length: request.ContentLength, controller: controller}, nil
}

// replayable reports whether the body can be sent now.
func (b *body) replayable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rest == nil || !b.taken
}

func (b *body) empty() bool {
	return len(b.head) == 0 && b.rest == nil
}

// open returns a reader of the whole body for one try. A long one can be sent
// again until something of its rest was read.
func (b *body) open() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.head)
	}
	return io.MultiReader(bytes.NewReader(b.head), &restReader{body: b})
}

// restReader reads the rest of a long body for one try. The first to read it
// has it for itself; another fails, so that a half body never passes for a
// whole one.
type restReader struct {
	body *body
	mine bool
}

func (r *restReader) Read(buffer []byte) (int, error) {
	if !r.mine && !r.body.take() {
		return 0, errBodyBroken
	}
	r.mine = true
	r.body.setReadDeadline(time.Now().Add(idleLimit))
	count, err := r.body.rest.Read(buffer)
	r.body.setReadDeadline(time.Time{})
	if err != nil && err != io.EOF && err != errBodyTooLarge {
		err = errBodyBroken // the caller's fault, whatever it was
	}
	return count, err
}

// setReadDeadline bounds the wait for the caller, so that one that stalls does
// not hold a server's slot for ever.
func (b *body) setReadDeadline(until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = b.controller.SetReadDeadline(until)
	}
}

// end lets the caller's connection alone from now on: a server that answered
// early may still be sent the rest.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

// take reserves the rest of the body; false if it is taken.
func (b *body) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.taken {
		return false
	}
	b.taken = true
	return true
}

// limitedReader fails once more than left bytes come.
type limitedReader struct {
	source io.Reader
	left   int64
}

func (r *limitedReader) Read(buffer []byte) (int, error) {
	if int64(len(buffer)) > r.left+1 {
		buffer = buffer[:r.left+1]
	}
	count, err := r.source.Read(buffer)
	r.left -= int64(count)
	if r.left < 0 {
		return 0, errBodyTooLarge
	}
	return count, err
}

// onceBody is a request body that net/http cannot rewind, so that it never
// sends the request a second time on its own, whatever the method and headers.
type onceBody struct {
	io.Reader
}

// Close does nothing: the caller's server owns the reader.
func (onceBody) Close() error { return nil }
