package upstream

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
)

// Outcome is the way in which one send of a request ended.
type Outcome string

// Outcomes of a send.
const (
	// Answered means that the worker's answer was received.
	Answered Outcome = "answered"
	// NotSent means that no byte was written.
	NotSent Outcome = "not-sent"
	// ConnectionRejected means that the worker closed a new connection before anything was written.
	ConnectionRejected Outcome = "turned-away"
	// Withheld means that the worker may no longer get the request, and nothing was written.
	Withheld Outcome = "withheld"
	// NotRun means that the worker reported that it did not run the request.
	NotRun Outcome = "not-run"
	// Misdirected means that the request reached another worker than its target.
	Misdirected Outcome = "misdirected"
	// Broken means that the request was sent and no valid answer was received.
	Broken Outcome = "broken"
	// TimedOut means that the send's deadline passed.
	TimedOut Outcome = "late"
	// BodyTruncated means that the client's body ended early or stalled, so that the worker can't
	// have received all of it.
	BodyTruncated Outcome = "body-cut"
	// ClientGone means that the client disconnected.
	ClientGone Outcome = "client-gone"
)

// Result is the result of one send.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is a complete answer.
	Body *bodies.Spool
	// Stream is an answer that is forwarded as it arrives; nil if the answer is in Body.
	Stream *bodies.Pipe
	// streamEnd receives the result of filling Stream, released is closed once its connection was
	// returned to the pool or dropped, and cancel aborts it.
	streamEnd <-chan error
	released  <-chan struct{}
	cancel    context.CancelFunc
	// Notice is the information about the worker in its answer or rejection.
	Notice
	// SentAt is when the request began to be written, after a connection had been obtained. It is
	// zero if no answer to the request was received.
	SentAt time.Time
	// SurplusAnswers is the number of answers to other requests that came in the place of this one.
	SurplusAnswers int
	// headMemory is the number of bytes that are reserved for Header from budget.
	headMemory int64
	budget     *bodies.MemoryBudget
	// closesConn is set if the connection can't be reused after this answer.
	closesConn bool
	// Took is the time from the start of writing to the answer, or to the failure to receive one.
	Took time.Duration
	// Written is set if bytes of the request have been written.
	Written bool
	Err     error
}

// LacksDescriptors reports whether nothing was sent since this process has no descriptor left for a
// connection, which says nothing about the worker.
func (r *Result) LacksDescriptors() bool {
	return r.Outcome == NotSent && (errors.Is(r.Err, syscall.EMFILE) || errors.Is(r.Err, syscall.ENFILE))
}

// StreamDone returns a channel that is closed once the worker has sent all of a streamed answer, or
// the stream was canceled or failed. It is nil if the answer is not streamed.
func (r *Result) StreamDone() <-chan struct{} { return r.released }

// Free releases the memory of the answer, and cancels the rest of its stream.
func (r *Result) Free() {
	r.Body.Free()
	if r.headMemory > 0 {
		r.budget.Release(r.headMemory)
		r.headMemory = 0
	}
	if r.Stream == nil {
		return
	}
	if r.Stream.Complete() {
		<-r.released // happens soon; canceling before that would close the connection
	}
	r.cancel()
	r.Stream.Close()
}

// slowFactor is the multiple of the expected processing time from which a worker counts as slow,
// even if part of the time was spent in its queue.
const slowFactor = 2.5

// WorkTime estimates the worker's processing time of the request, and reports whether the estimate
// is significant. If requests are waiting at the worker, only a long time is: the queue length at
// the end of the request merely approximates that before it.
func (r *Result) WorkTime(slots int, expected time.Duration) (took time.Duration, significant bool) {
	if !r.HasLoad || r.Load.Waiting == 0 {
		return r.Took, true
	}
	took = time.Duration(float64(r.Took) / (1 + float64(r.Load.Waiting)/float64(max(slots, 1))))
	return took, float64(took) > slowFactor*float64(expected)
}
