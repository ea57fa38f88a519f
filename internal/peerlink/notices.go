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

// WorkerNotices are what workers have announced about themselves in their responses, as known to
// the leader. The age of a notice is the time since its current value was first known.
type WorkerNotices struct {
	Limits   []workerlimit.Message
	Leaving  []departure.Message
	Backoffs []BackoffShare
}

// BackoffShare is the extent to which routers back off from a worker that owns keys.
type BackoffShare struct {
	Worker workers.ID `json:"w"`
	// Share is the share of the routers that back off, and RemainingMillis is when the last of them
	// stops, in milliseconds from now.
	Share           float64 `json:"h"`
	RemainingMillis int64   `json:"m"`
}

// OnLeaving sets the function that is called with the departures of workers that linked processes
// report. Leaders and relays use it.
func (h *Hub) OnLeaving(call func([]departure.Message)) { h.onLeaving = call }

// OnLimits sets the function that is called with the limits of workers that linked processes
// report. Leaders and relays use it.
func (h *Hub) OnLimits(call func([]workerlimit.Message)) { h.onLimits = call }

// SetBackoffs sets the backoffs that owners of keys have requested from routers, for operators.
func (h *Hub) SetBackoffs(backoffs []BackoffShare) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backoffs = backoffs
}

// QueryNotices returns what workers have announced about themselves, for operators. The process at
// the address must lead; otherwise the error is ErrNotLeading.
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

// addWorkerNotices adds what workers have announced about themselves to an answer, if the query
// requests it.
func (h *Hub) addWorkerNotices(hello Hello, answer *Update, now time.Time) {
	if !hello.WorkerNotices {
		return
	}
	if h.Limits != nil {
		answer.Limits = encodeFacts(now, h.Limits.Published(), workerlimit.NewMessage)
	}
	if h.Leaving != nil {
		answer.Leaving = encodeFacts(now, h.Leaving.Published(), departure.NewMessage)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	answer.Backoffs = h.backoffs
}
