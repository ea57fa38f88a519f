package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/shalefork/shalefork/internal/bodies"
)

// Outcome is how one send of a request ended.
type Outcome string

// Outcomes of a send.
const (
	// Answered: the worker's own answer is here.
	Answered Outcome = "answered"
	// NotSent: not one byte was written.
	NotSent Outcome = "not-sent"
	// ConnectionRejected: the worker closed a new connection before anything was written.
	ConnectionRejected Outcome = "turned-away"
	// Withheld: the worker may not get it any longer, and nothing was written.
	Withheld Outcome = "withheld"
	// NotRun: the worker said that it did not run the request.
	NotRun Outcome = "not-run"
	// Misdirected: the worker is not the one that was meant.
	Misdirected Outcome = "misdirected"
	// Broken: it was sent, and no valid answer came.
	Broken Outcome = "broken"
	// Late: the time for the send ran out.
	TimedOut Outcome = "late"
	// BodyTruncated: the client's body ended early or stood still, so that the worker can't have
	// the whole of it.
	BodyTruncated Outcome = "body-cut"
	// Gone: the client left.
	ClientGone Outcome = "client-gone"
)

// Result is the end of one send.
type Result struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	// Body is an answer that is whole.
	Body *bodies.Spool
	// Stream is an answer that is passed on as it comes; nil if it is in Body.
	Stream *bodies.Pipe
	// filled tells the end of Stream, settled is closed once its connection is kept or dropped,
	// and cancel gives it up.
	filled  <-chan error
	settled <-chan struct{}
	cancel  context.CancelFunc
	// Notice is what the worker's answer, or refusal, says of the worker.
	Notice
	// Sent is when the request began to leave.
	SentAt time.Time
	// closing says that the connection ends with this answer.
	closing bool
	// Took is the time from the send to the answer.
	Took time.Duration
	// Written says that bytes of the request have left.
	Written bool
	Err     error
}

// Streaming returns what is closed once the worker has sent all of an answer that is passed on
// as it comes, or was given up; nil if the answer is whole.
func (r *Result) StreamDone() <-chan struct{} { return r.settled }

// Free gives back what the answer holds, and gives up what of it is still to come.
func (r *Result) Free() {
	r.Body.Free()
	if r.Stream == nil {
		return
	}
	if r.Stream.Complete() {
		<-r.settled // it is about to be: giving it up now would end its connection
	}
	r.cancel()
	r.Stream.Close()
}

// slowFactor times the usual time of work shows that a worker has become slow,
// even where part of the time was spent waiting there.
const slowFactor = 2.5

// WorkTime estimates how long the worker worked on the request, and says whether
// that tells anything: where others wait, what waits at the end is only about
// what waited before, so only a long time does.
func (r *Result) WorkTime(slots int, usual time.Duration) (took time.Duration, telling bool) {
	if !r.HasLoad || r.Load.Waiting == 0 {
		return r.Took, true
	}
	took = time.Duration(float64(r.Took) / (1 + float64(r.Load.Waiting)/float64(max(slots, 1))))
	return took, float64(took) > slowFactor*float64(usual)
}
