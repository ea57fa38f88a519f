package bodies

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// linkShare is the share of the link's bandwidth that large bodies, together with the small
	// ones sent at the same time, may use. At most one slice queues in front of a link that is not
	// saturated.
	linkShare = 0.9
	// sliceSize is the number of bytes that a large body sends at a time. It takes 13 ms on a link
	// of 10 Mbit/s, which a small answer may have to wait.
	sliceSize = 16 << 10
	// maxBacklog is the maximum time for which small bodies occupy the link in advance: as much as
	// the buffers of the sender and of a slow link hold. Data beyond it is dropped or delayed
	// there.
	maxBacklog = 500 * time.Millisecond
	// bitsInMegabit and bitsInByte convert megabits per second to bytes per second.
	bitsInMegabit = 1e6
	bitsInByte    = 8
)

// LinkShaper schedules the large bodies of a process on the machine's link, one slice at a time, so
// that small answers do not wait in a long queue. It is safe for concurrent use.
type LinkShaper struct {
	rate float64 // bytes per second; zero means no limit

	mu sync.Mutex
	// idleAt is when the link will have sent everything scheduled so far.
	idleAt time.Time
}

// NewLinkShaper returns a shaper for a link of the given bandwidth in megabits per second. Zero
// means that the bandwidth is unknown; then no body waits.
func NewLinkShaper(mbps float64) *LinkShaper {
	return &LinkShaper{rate: linkShare * mbps * bitsInMegabit / bitsInByte}
}

// RecordSent counts bytes of small bodies, which are sent without waiting.
func (s *LinkShaper) RecordSent(bytes int) {
	if s.rate == 0 {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idleAt.Sub(now) < maxBacklog {
		s.occupy(now, bytes)
		s.idleAt = earlier(s.idleAt, now.Add(maxBacklog))
	}
}

// Await waits until the given number of bytes may be sent. It returns false if the context ended
// first.
func (s *LinkShaper) Await(ctx context.Context, bytes int) bool {
	if s.rate == 0 {
		return true
	}
	wait := s.reserve(bytes)
	return wait <= 0 || clock.Sleep(ctx, wait)
}

// reserve schedules bytes on the link, and returns the time until they may be sent.
func (s *LinkShaper) reserve(bytes int) time.Duration {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := s.idleAt.Sub(now)
	s.occupy(now, bytes)
	return max(0, wait)
}

// occupy schedules bytes behind those already scheduled. The caller holds mu.
func (s *LinkShaper) occupy(now time.Time, bytes int) {
	if s.idleAt.Before(now) {
		s.idleAt = now
	}
	s.idleAt = s.idleAt.Add(time.Duration(float64(bytes) / s.rate * float64(time.Second)))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// ShapedWriter writes a large body in slices, each when the link shaper allows it.
type ShapedWriter struct {
	ctx    context.Context
	shaper *LinkShaper
	to     io.Writer
}

// NewWriter returns a writer that waits for the shaper before each slice. ctx ends the wait.
func (s *LinkShaper) NewWriter(ctx context.Context, to io.Writer) *ShapedWriter {
	return &ShapedWriter{ctx: ctx, shaper: s, to: to}
}

// Write implements io.Writer.
func (w *ShapedWriter) Write(from []byte) (written int, err error) {
	for len(from) > 0 {
		slice := from[:min(len(from), sliceSize)]
		if !w.shaper.Await(w.ctx, len(slice)) {
			return written, context.Cause(w.ctx)
		}
		count, err := w.to.Write(slice)
		written += count
		if err != nil {
			return written, err
		}
		from = from[count:]
	}
	return written, nil
}
