// Package owner decides which worker holds which keys of a keyed service, and
// gives and takes them by fenced, timed orders.
//
// Ledger is the pure core: it is told the time, the workers and the answers of
// orders, and says which orders to send next. It opens no socket and reads no
// clock. Keeper drives a Ledger in the process that leads.
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

// Keys is a run of keys, both ends inside.
type KeyRange struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// Width is the number of keys.
func (k KeyRange) Width() int { return k.To - k.From + 1 }

// Contains reports whether the key is in the run.
func (k KeyRange) Contains(key int) bool { return k.From <= key && key <= k.To }

// Fence numbers orders: a worker refuses grants below the highest that it has
// seen on a key. The high bits are the leader's term.
type Fence int64

// termShift leaves room for a term's own numbers.
const termShift = 24

// Term numbers the leaders, one after the other.
type Term int64

// FirstFence returns the lowest fence of a term.
func (t Term) FirstFence() Fence { return Fence(t) << termShift }

// Handover is what a worker leaves for the next holder of its keys.
type Handover string

// Target is where an order goes.
type Target struct {
	ID      workers.ID
	Address string
	// Born tells which life of the worker is meant; zero if that is not known. A worker that
	// started again holds nothing, and has seen no fences.
	Incarnation workers.StartTime
}

// Grant gives keys for a time.
type Grant struct {
	Keys     KeyRange
	Fence    Fence
	Hold     time.Duration
	Handover Handover
}

// Outcome is what is known after an order.
type Outcome string

// Outcomes of orders.
const (
	// OutcomeDone: the worker has done it.
	OutcomeDone Outcome = "done"
	// OutcomeFenced: the worker has seen a higher fence and did nothing.
	OutcomeFenced Outcome = "fenced"
	// OutcomeOtherWorker: another worker has the address, so the target has ended.
	OutcomeOtherWorker Outcome = "other-worker"
	// OutcomeUnreachable: no connection came up, so nothing was sent.
	OutcomeUnreachable Outcome = "unreachable"
	// OutcomeUnanswered: it may be done now, or seconds later.
	OutcomeUnanswered Outcome = "unanswered"
	// OutcomeInvalid: the worker refused the order as such.
	OutcomeInvalid Outcome = "invalid"
)

// Reply is the end of an order.
type Reply struct {
	Outcome  Outcome
	Handover Handover
	// Leaving says that the worker says with it that it leaves.
	Leaving bool
}

// Orders sends orders to workers.
type OrderSender interface {
	Grant(ctx context.Context, to Target, grant Grant) Reply
	Release(ctx context.Context, from Target, keys KeyRange, fence Fence) Reply
}

// OutcomeFromError tells an order that was never sent from one that may be done.
func OutcomeFromError(err error) Outcome {
	var operation *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &operation) && operation.Op == "dial") {
		return OutcomeUnreachable
	}
	return OutcomeUnanswered
}

// Config holds the times of ownership.
type Config struct {
	// Hold is how long a grant lasts at a worker.
	Hold time.Duration
	// Renew is the pause between renewals.
	RenewInterval time.Duration
	// ClockSlack is the most by which a worker's clock runs slow, as a share.
	ClockSlack float64
	// LateOrder is the longest until an order without an answer is done.
	MaxOrderDelay time.Duration
	// StaleRenewals is how long a leader that lost the store goes on renewing.
	RenewalGrace time.Duration
	// RetryOrder is the pause after an order that failed.
	RetryDelay time.Duration
}

// DefaultConfig returns the times, given the longest hold that workers take.
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

// HoldBound is the longest that a grant lasts from when it is taken.
func (c Config) MaxHold() time.Duration {
	return time.Duration(float64(c.Hold)*(1+c.ClockSlack)) + 100*time.Millisecond
}

// Owner is one run of keys and the worker that requests on it go to.
type Owner struct {
	Keys   KeyRange   `json:"keys"`
	Worker workers.ID `json:"worker"`
	// Address of the worker.
	Address string `json:"address"`
	// Moving says that the worker does not hold the keys yet.
	Moving bool `json:"moving,omitempty"`
}

// Assignment names the owners of a service's keys, in the order of the keys.
type Assignment struct {
	Service routing.ServiceName
	Owners  []Owner
}
