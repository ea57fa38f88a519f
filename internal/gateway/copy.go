package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"
)

// copyBytes is the size of the buffer of one transfer: all that is ever held
// of an answer's body.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBytes)
	return &buffer
}}

// idleWatch cancels a transfer in which no byte moves for limit; zero: never.
type idleWatch struct {
	limit  time.Duration
	cancel context.CancelFunc
}

// copyBody streams the answer's body under back-pressure. It returns an error
// if the body was short or the caller stopped reading.
func copyBody(writer http.ResponseWriter, response *http.Response, idle idleWatch) error {
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	controller := http.NewResponseController(writer)
	streamed := response.ContentLength < 0
	timer := idle.start()
	defer timer.stop()
	for {
		count, err := response.Body.Read(*buffer)
		timer.moved()
		if count > 0 {
			if failed := write(writer, controller, (*buffer)[:count], streamed, idle.limit); failed != nil {
				return failed
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return Error.Wrap(err)
		}
	}
}

// write passes a piece on. Pieces of a body without a length are flushed, since
// the caller may wait for each.
func write(writer http.ResponseWriter, controller *http.ResponseController, piece []byte, flush bool, idle time.Duration) error {
	if idle > 0 {
		_ = controller.SetWriteDeadline(time.Now().Add(idle))
	}
	if _, err := writer.Write(piece); err != nil {
		return Error.Wrap(err)
	}
	if flush {
		return Error.Wrap(controller.Flush())
	}
	return nil
}

// idleTimer is a running idleWatch.
type idleTimer struct {
	limit time.Duration
	timer *time.Timer // nil without a limit
}

func (w idleWatch) start() idleTimer {
	if w.limit == 0 {
		return idleTimer{}
	}
	return idleTimer{limit: w.limit, timer: time.AfterFunc(w.limit, w.cancel)}
}

func (t idleTimer) moved() {
	if t.timer != nil {
		t.timer.Reset(t.limit)
	}
}

func (t idleTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}
