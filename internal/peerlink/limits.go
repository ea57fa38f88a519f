package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/workerlimit"
)

// OnLeaving sets what is called with what linked processes tell of workers that leave, by a leader and
// by a relay.
func (h *Hub) OnLeaving(call func([]departure.Told)) { h.leavingTold = call }

// OnLimits sets what is called with what linked processes tell of workers' limits, by a leader and
// by a relay.
func (h *Hub) OnLimits(call func([]workerlimit.Told)) { h.limitsTold = call }

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
	return tellAll(now, h.Limits.Told(), workerlimit.Tell)
}
