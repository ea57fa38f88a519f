package bodies

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

const (
	// linkShare is the share of the machine's link that large bodies and what goes beside them
	// may fill: what waits in front of a link that is not full is one slice at most.
	linkShare = 0.9
	// sliceBytes go onto the link in one turn: 13 ms of a link of 10 Mbit/s, which is what a
	// small answer may wait behind.
	sliceBytes = 16 << 10
	// longestBacklog is the most of the link's time that small bodies take ahead: what a sender's
	// and a narrow link's buffers hold. What comes beyond it is dropped or held back there.
	longestBacklog = 500 * time.Millisecond
	// bitsInMegabit and bitsInByte turn megabits a second into bytes.
	bitsInMegabit = 1e6
	bitsInByte    = 8
)

// Turns give the large bodies of a process turns on the machine's link, a slice each, so that
// small answers find no long queue in front of it. They are safe for concurrent use.
type LinkShaper struct {
	rate float64 // bytes a second; zero: not bounded

	mu sync.Mutex
	// free is when the link has sent what was given to it.
	free time.Time
}

// NewLinkShaper returns the turns on a link of so many megabits a second; zero: not known, so that
// nobody waits.
func NewLinkShaper(megabits float64) *LinkShaper {
	return &LinkShaper{rate: linkShare * megabits * bitsInMegabit / bitsInByte}
}

// Sent notes bytes of small bodies, which wait for nobody.
func (t *LinkShaper) RecordSent(bytes int) {
	if t.rate == 0 {
		return
	}
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free.Sub(now) < longestBacklog {
		t.take(now, bytes)
		t.free = earlier(t.free, now.Add(longestBacklog))
	}
}

// Await waits for a turn of so many bytes; false if the context ended first.
func (t *LinkShaper) Await(ctx context.Context, bytes int) bool {
	if t.rate == 0 {
		return true
	}
	wait := t.reserve(bytes)
	return wait <= 0 || clock.Sleep(ctx, wait)
}

// reserve takes the link for some bytes, and returns how long it is not free for them.
func (t *LinkShaper) reserve(bytes int) time.Duration {
	now := clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := t.free.Sub(now)
	t.take(now, bytes)
	return max(0, wait)
}

// take takes the link once it is free. The caller holds mu.
func (t *LinkShaper) take(now time.Time, bytes int) {
	if t.free.Before(now) {
		t.free = now
	}
	t.free = t.free.Add(time.Duration(float64(bytes) / t.rate * float64(time.Second)))
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Paced writes a large body in turns.
type ShapedWriter struct {
	ctx   context.Context
	turns *LinkShaper
	to    io.Writer
}

// Pace returns a writer that waits for its turns; ctx ends the wait.
func (t *LinkShaper) NewWriter(ctx context.Context, to io.Writer) *ShapedWriter {
	return &ShapedWriter{ctx: ctx, turns: t, to: to}
}

// Write implements io.Writer.
func (p *ShapedWriter) Write(from []byte) (written int, err error) {
	for len(from) > 0 {
		slice := from[:min(len(from), sliceBytes)]
		if !p.turns.Await(p.ctx, len(slice)) {
			return written, context.Cause(p.ctx)
		}
		count, err := p.to.Write(slice)
		written += count
		if err != nil {
			return written, err
		}
		from = from[count:]
	}
	return written, nil
}
