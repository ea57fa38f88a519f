// Package owner decides which worker holds which keys of a keyed service, and moves keys between
// workers by orders: fenced, time-limited grants, and releases.
//
// Ledger is the pure core: it is given the time, the workers and the replies to orders, and returns
// the orders to send next. It opens no sockets and reads no clock. Package keeper drives a Ledger
// in the process that leads.
package owner

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// KeyCount is the number of keys of a service: 0 to KeyCount-1.
const KeyCount = 65536

// KeyRange is a range of keys that includes both ends.
type KeyRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Width returns the number of keys.
func (k KeyRange) Width() int { return k.To - k.From + 1 }

// Contains reports whether the key is in the range.
func (k KeyRange) Contains(key int) bool { return k.From <= key && key <= k.To }

// Fence is a fencing token: a worker rejects grants below the highest fence that it has seen on a
// key. The high bits are the leader's term.
type Fence int64

// termShift is the number of low bits that number the fences within a term.
const termShift = 24

// Term numbers the successive leaders.
type Term int64

// FirstFence returns the lowest fence of a term.
func (t Term) FirstFence() Fence { return Fence(t) << termShift }

// Handover is data that a worker passes on to the next holder of its keys.
type Handover string

// Target is the worker that an order is sent to.
type Target struct {
	ID      workers.ID
	Address string
	// StartTime identifies the incarnation of the worker that is meant; zero if it is not known. A
	// restarted worker holds no keys and has seen no fences.
	StartTime workers.StartTime
}

// Grant gives keys to a worker for a limited time.
type Grant struct {
	Keys     KeyRange
	Fence    Fence
	Hold     time.Duration
	Handover Handover
}

// Outcome is what the sender knows about an order once it has ended.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone: the worker carried out the order.
	OutcomeDone Outcome = "done"
	// OutcomeFenced: the worker has seen a higher fence and did nothing.
	OutcomeFenced Outcome = "fenced"
	// OutcomeOtherWorker: another worker has the address, so the target has ended.
	OutcomeOtherWorker Outcome = "other-worker"
	// OutcomeUnreachable: no connection was established, so nothing was sent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeUnanswered: no reply arrived; the order may have been carried out, or may be seconds
	// later.
	OutcomeUnanswered Outcome = "unanswered"
	// OutcomeInvalid: the order could not be encoded, or the worker rejected it as invalid.
	OutcomeInvalid Outcome = "invalid"
)

// Reply is the result of an order.
type Reply struct {
	Outcome  Outcome
	Handover Handover
	// Leaving means that the worker states in its reply that it is leaving.
	Leaving bool
}

// OrderSender sends orders to workers.
type OrderSender interface {
	Grant(ctx context.Context, to Target, grant Grant) Reply
	Release(ctx context.Context, from Target, keys KeyRange, fence Fence) Reply
}

// OutcomeFromError distinguishes an order that was never sent from one that may be carried out.
func OutcomeFromError(err error) Outcome {
	var operation *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &operation) && operation.Op == "dial") {
		return OutcomeUnreachable
	}
	return OutcomeUnanswered
}

// Config holds the timing parameters of ownership.
type Config struct {
	// Hold is how long a grant lasts at a worker.
	Hold time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// ClockSlack is the largest fraction by which a worker's clock may run slow.
	ClockSlack float64
	// MaxOrderDelay is the longest time until an unanswered order is carried out.
	MaxOrderDelay time.Duration
	// RenewalGrace is how long a leader that has lost the store continues to renew holds.
	RenewalGrace time.Duration
	// RetryDelay is the pause after a failed order.
	RetryDelay time.Duration
}

// DefaultConfig returns the default timing, given the longest hold that workers accept.
func DefaultConfig(maxHold time.Duration) Config {
	hold := min(3*time.Second, maxHold)
	return Config{
		Hold:          hold,
		RenewInterval: hold * 3 / 10,
		ClockSlack:    0.03,
		MaxOrderDelay: 12500 * time.Millisecond,
		RenewalGrace:  6 * time.Second,
		RetryDelay:    150 * time.Millisecond,
	}
}

// MaxHold returns the longest time for which a grant lasts after a worker accepts it.
func (c Config) MaxHold() time.Duration {
	return time.Duration(float64(c.Hold)*(1+c.ClockSlack)) + 100*time.Millisecond
}

// MaxGrantDuration is how long a grant may be in flight, except for grants that are carried out with
// a delay (see Config.MaxOrderDelay).
const MaxGrantDuration = 700 * time.Millisecond

// HoldEnd returns when the hold of a worker has ended that is sent no more grants from a time on.
func (c Config) HoldEnd(lastGrant time.Time) time.Time {
	return lastGrant.Add(MaxGrantDuration + c.MaxHold())
}

// Owner is a key range and the worker that requests for its keys are sent to.
type Owner struct {
	Keys    KeyRange   `json:"keys"`
	Worker  workers.ID `json:"worker"`
	Address string     `json:"address"`
	// Moving means that the worker does not hold the keys yet.
	Moving bool `json:"moving,omitempty"`
}

// Assignment lists the owners of a service's keys, in key order.
type Assignment struct {
	Service routing.ServiceName
	Owners  []Owner
}
