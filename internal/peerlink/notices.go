package peerlink

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

// WorkerNotices are what a leader knows that workers say of themselves in their answers. Ages are as of
// when something was first known as it is.
type WorkerNotices struct {
	Limits   []workerlimit.Message
	Leaving  []departure.Message
	Backoffs []BackoffShare
}

// BackoffShare is an owner of keys that has asked routers for backoffs.
type BackoffShare struct {
	Worker workers.ID `json:"w"`
	// Share of the routers that back off, and for how long the last of them does, in milliseconds.
	Share           float64 `json:"h"`
	RemainingMillis int64   `json:"m"`
}

// OnLeaving sets what is called with what linked processes tell of workers that leave, by a leader and
// by a relay.
func (h *Hub) OnLeaving(call func([]departure.Message)) { h.leavingTold = call }

// OnLimits sets what is called with what linked processes tell of workers' limits, by a leader and
// by a relay.
func (h *Hub) OnLimits(call func([]workerlimit.Message)) { h.limitsTold = call }

// SetBackoffs sets which owners of keys have asked routers for backoffs, for operators.
func (h *Hub) SetBackoffs(backoffs []BackoffShare) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backoffs = backoffs
}

// QueryNotices asks the process at an address, which leads, what workers say of themselves, for operators.
func QueryNotices(ctx context.Context, address string) (WorkerNotices, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return WorkerNotices{}, Error.Wrap(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(dialTimeout))
	if err := writeLine(conn, Hello{QueryOnly: true, WorkerNotices: true}); err != nil {
		return WorkerNotices{}, Error.Wrap(err)
	}
	var update Update
	if err := readLine(bufio.NewReader(conn), &update); err != nil {
		return WorkerNotices{}, Error.Wrap(err)
	}
	if !update.Leading {
		return WorkerNotices{}, ErrNotLeading
	}
	return WorkerNotices{Limits: update.Limits, Leaving: update.Leaving, Backoffs: update.Backoffs}, nil
}

// addNotices adds to an answer what workers say of themselves, if the question asks for it.
func (h *Hub) addNotices(hello Hello, answer *Update, now time.Time) {
	if !hello.WorkerNotices {
		return
	}
	if h.Limits != nil {
		answer.Limits = tellAll(now, h.Limits.Published(), workerlimit.NewMessage)
	}
	if h.Leaving != nil {
		answer.Leaving = tellAll(now, h.Leaving.Published(), departure.NewMessage)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.Backoffs = h.backoffs
}
