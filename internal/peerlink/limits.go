package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/workerlimit"
)

const (
	// limitsPause is the pause between messages to a link that tell of workers' limits, and
	// mostLimits is how many one tells: 8 KB a second at most, of the 20 KB that a link may take.
	limitsPause = 500 * time.Millisecond
	mostLimits  = 64
	// mostFirstLimits is how many the first message to a link tells: a process that has just started
	// is to know them before it sends anything.
	mostFirstLimits = 1024
)

// OnLimits sets what is called with what linked processes tell of workers' limits, by a leader and
// by a relay.
func (h *Hub) OnLimits(call func([]workerlimit.Told)) { h.limitsTold = call }

// tellLimits adds to an update what the link has not been told of workers' limits. The caller holds
// mu.
func (h *Hub) tellLimits(one *link, update *Update, now time.Time) {
	if h.Limits == nil || now.Sub(one.limitsAt) < limitsPause {
		return
	}
	most := mostLimits
	if one.limits == 0 {
		most = mostFirstLimits
	}
	facts, upTo := h.Limits.Since(one.limits, most)
	one.limits = upTo
	if len(facts) > 0 {
		one.limitsAt = now
		update.Limits = tellAll(now, facts)
	}
}

// tellAll describes facts on limits.
func tellAll(now time.Time, facts []workerlimit.Fact) []workerlimit.Told {
	told := make([]workerlimit.Told, 0, len(facts))
	for _, fact := range facts {
		told = append(told, workerlimit.Tell(now, fact))
	}
	return told
}

// AskLimits asks the process at an address, which leads, which limits workers name, for operators.
// Their times are as of when they were first known as they are.
func AskLimits(ctx context.Context, address string) ([]workerlimit.Told, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := writeLine(conn, Hello{Ask: true, Limits: true}); err != nil {
		return nil, Error.Wrap(err)
	}
	var update Update
	if err := readLine(bufio.NewReader(conn), &update); err != nil {
		return nil, Error.Wrap(err)
	}
	if !update.Leading {
		return nil, ErrNotLeading
	}
	return update.Limits, nil
}

// limitsFor returns the limits that an answer to a question tells; none if it does not ask for them.
func (h *Hub) limitsFor(hello Hello, now time.Time) []workerlimit.Told {
	if !hello.Limits || h.Limits == nil {
		return nil
	}
	return tellAll(now, h.Limits.Told())
}
