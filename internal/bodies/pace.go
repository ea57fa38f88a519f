package bodies

import (
	"errors"
	"io"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// Floor is the slowest progress of a body in bytes a second: half of a mobile link of the
	// second generation (64 kbit/s). A body may be large and its link slow, so that its whole
	// time says nothing of a caller that has gone silent.
	MinRate = 4 << 10
	// Grace is how long a body may stand still: a radio that changes cells takes some seconds.
	MaxStall = 5 * time.Second
)

// pace judges a body by its progress while its caller is awaited: each byte adds time, and no more
// than Grace is saved up. Time between two waits is a worker's, or the link's, and does not count.
type pace struct {
	until time.Time
	// stopped is when the caller was awaited last.
	stopped time.Time
}

func newPace(now time.Time) pace { return pace{until: now.Add(MaxStall), stopped: now} }

// await begins a wait for the caller, and returns until when it must have moved.
func (p *pace) await(now time.Time) time.Time {
	p.until = p.until.Add(now.Sub(p.stopped))
	return p.until
}

// moved ends a wait in which some bytes have passed.
func (p *pace) moved(now time.Time, bytes int) {
	earned := time.Duration(float64(bytes) / MinRate * float64(time.Second))
	p.until = p.until.Add(earned)
	if most := now.Add(MaxStall); p.until.After(most) {
		p.until = most
	}
	p.stopped = now
}

// Connection is the one to a caller, or what controls it.
type DeadlineSetter interface {
	SetReadDeadline(at time.Time) error
	SetWriteDeadline(at time.Time) error
}

// supported reports whether a deadline was set, or the connection knows none.
func supported(err error) bool { return err == nil || errors.Is(err, errors.ErrUnsupported) }

// Reader reads a caller's body as long as it moves.
type Reader struct {
	from   io.Reader
	caller DeadlineSetter
	last   time.Time
	pace   pace
}

// NewReader returns a reader of a body that must be in by last, however it moves. It leaves a
// deadline at the caller's connection.
func NewReader(from io.Reader, last time.Time, caller DeadlineSetter) *Reader {
	return &Reader{from: from, caller: caller, last: last, pace: newPace(clock.Now())}
}

// Read implements io.Reader.
func (r *Reader) Read(into []byte) (int, error) {
	until := r.pace.await(clock.Now())
	if r.last.Before(until) {
		until = r.last
	}
	if err := r.caller.SetReadDeadline(time.Now().Add(clock.Until(until))); !supported(err) {
		return 0, err
	}
	count, err := r.from.Read(into)
	r.pace.moved(clock.Now(), count)
	return count, err
}

// Writer writes a body to a caller as long as the caller takes it.
type Writer struct {
	to     io.Writer
	caller DeadlineSetter
	pace   pace
}

// NewWriter returns a writer to a caller. It leaves a deadline at the caller's connection.
func NewWriter(to io.Writer, caller DeadlineSetter) *Writer {
	return &Writer{to: to, caller: caller, pace: newPace(clock.Now())}
}

// Write implements io.Writer.
func (w *Writer) Write(from []byte) (int, error) {
	until := w.pace.await(clock.Now())
	if err := w.caller.SetWriteDeadline(time.Now().Add(clock.Until(until))); !supported(err) {
		return 0, err
	}
	count, err := w.to.Write(from)
	w.pace.moved(clock.Now(), count)
	return count, err
}
