package gateway

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"
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
	errBodyMemory   = errs.New("the bodies that are held take too much memory")
)

// bodyMemory bounds the bytes of callers' bodies that a gateway holds at once.
const bodyMemory = 256 << 20

// body is a caller's request body: a head that is kept, and for a long body
// the rest, which can be read once.
type body struct {
	head   []byte
	rest   io.Reader // nil if the head is all
	length int64     // -1 if unknown
	// held is what the head takes of memory, until end.
	held   int64
	memory *semaphore.Weighted
	// controller of the caller's connection, for the rest.
	controller *http.ResponseController
	mu         sync.Mutex
	taken      bool
	// ended says that the caller was answered: its connection is let alone.
	ended bool
}

// readBody reads at most keep bytes ahead. It returns errBodyTooLarge for one
// known to be over limit, errBodyBroken for one that the caller did not send, and
// errBodyMemory if there is no memory for it.
func readBody(writer http.ResponseWriter, request *http.Request, limit, keep int64, memory *semaphore.Weighted) (*body, error) {
	if request.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	if request.Body == nil || request.Body == http.NoBody {
		return &body{}, nil
	}
	controller := http.NewResponseController(writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyStall))
	limited := &limitedReader{source: request.Body, left: limit}
	counted := &countedReader{source: io.LimitReader(limited, keep+1), memory: memory}
	head, err := io.ReadAll(counted)
	_ = controller.SetReadDeadline(time.Time{})
	if err != nil {
		memory.Release(counted.held)
		return nil, callersError(err)
	}
	read := &body{head: head, length: int64(len(head)), held: counted.held, memory: memory}
	if int64(len(head)) > keep {
		read.rest, read.length, read.controller = limited, request.ContentLength, controller
	}
	return read, nil
}

// callersError returns the error of a body as one of this package.
func callersError(err error) error {
	if err == errBodyTooLarge || err == errBodyMemory {
		return err
	}
	return errBodyBroken
}

// countedReader takes memory for what it reads.
type countedReader struct {
	source io.Reader
	memory *semaphore.Weighted
	held   int64
}

func (r *countedReader) Read(buffer []byte) (int, error) {
	count, err := r.source.Read(buffer)
	if !r.memory.TryAcquire(int64(count)) {
		return 0, errBodyMemory
	}
	r.held += int64(count)
	return count, err
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
	if err != nil && err != io.EOF {
		err = callersError(err)
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

// end lets the caller's connection alone from now on, since a server that
// answered early may still be sent the rest, and gives the memory back.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended && b.memory != nil {
		b.memory.Release(b.held)
	}
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
