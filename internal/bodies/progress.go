package bodies

import (
	"errors"
	"io"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// MinRate is the minimum transfer rate of a body in bytes per second: half of a
	// second-generation mobile link (64 kbit/s). A limit on the total time would not detect a
	// caller that has stopped sending, since a body may be large and its link slow.
	MinRate = 4 << 10
	// MaxStall is how long a body may make no progress: a mobile device takes some seconds to
	// change cells.
	MaxStall = 5 * time.Second
)

// progress checks that a body keeps moving while the router waits for the caller. Each byte extends
// the deadline, to at most MaxStall from now. Time between two waits does not count, since it is
// spent on a worker or on the link.
type progress struct {
	deadline time.Time
	// lastWaitEnd is when the last wait for the caller ended.
	lastWaitEnd time.Time
}

func newProgress(now time.Time) progress {
	return progress{deadline: now.Add(MaxStall), lastWaitEnd: now}
}

// beginWait begins a wait for the caller and returns the deadline for its progress.
func (p *progress) beginWait(now time.Time) time.Time {
	p.deadline = p.deadline.Add(now.Sub(p.lastWaitEnd))
	return p.deadline
}

// endWait ends a wait in which the given number of bytes was transferred.
func (p *progress) endWait(now time.Time, bytes int) {
	earned := time.Duration(float64(bytes) / MinRate * float64(time.Second))
	p.deadline = p.deadline.Add(earned)
	if latest := now.Add(MaxStall); p.deadline.After(latest) {
		p.deadline = latest
	}
	p.lastWaitEnd = now
}

// DeadlineSetter sets the deadlines of the connection to a caller. It is the connection itself or
// its http.ResponseController.
type DeadlineSetter interface {
	SetReadDeadline(at time.Time) error
	SetWriteDeadline(at time.Time) error
}

// deadlineOK reports whether a deadline was set or the connection does not support deadlines.
func deadlineOK(err error) bool { return err == nil || errors.Is(err, errors.ErrUnsupported) }

// Reader reads a caller's body. It fails if the body makes too little progress.
type Reader struct {
	from     io.Reader
	caller   DeadlineSetter
	deadline time.Time
	progress progress
}

// NewReader returns a reader of a body that must end by the deadline, whatever its progress. It
// leaves a read deadline set on the caller's connection.
func NewReader(from io.Reader, deadline time.Time, caller DeadlineSetter) *Reader {
	return &Reader{from: from, caller: caller, deadline: deadline, progress: newProgress(clock.Now())}
}

// Read implements io.Reader.
func (r *Reader) Read(into []byte) (int, error) {
	deadline := r.progress.beginWait(clock.Now())
	if r.deadline.Before(deadline) {
		deadline = r.deadline
	}
	if err := r.caller.SetReadDeadline(time.Now().Add(clock.Until(deadline))); !deadlineOK(err) {
		return 0, err
	}
	count, err := r.from.Read(into)
	r.progress.endWait(clock.Now(), count)
	return count, err
}

// Writer writes a body to a caller. It fails if the caller reads too slowly.
type Writer struct {
	to       io.Writer
	caller   DeadlineSetter
	progress progress
}

// NewWriter returns a writer to a caller. It leaves a write deadline set on the caller's
// connection.
func NewWriter(to io.Writer, caller DeadlineSetter) *Writer {
	return &Writer{to: to, caller: caller, progress: newProgress(clock.Now())}
}

// Write implements io.Writer.
func (w *Writer) Write(from []byte) (int, error) {
	deadline := w.progress.beginWait(clock.Now())
	if err := w.caller.SetWriteDeadline(time.Now().Add(clock.Until(deadline))); !deadlineOK(err) {
		return 0, err
	}
	count, err := w.to.Write(from)
	w.progress.endWait(clock.Now(), count)
	return count, err
}
