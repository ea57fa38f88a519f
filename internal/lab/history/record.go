// Package history records what servers ran and what callers saw, and checks
// the one against the other. It is for tests only.
//
// Times are read from the machine's monotonic clock, which all processes of one
// machine share, so histories of processes on one machine can be compared.
package history

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// HeaderNonce carries a caller's own name of one request, from the caller
// through the gateway to the server. No two requests share one.
const HeaderNonce = "Lab-Nonce"

// Nonce is a caller's own name of one request.
type Nonce string

// Now reads the monotonic clock that the processes of a machine share.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		panic("the kernel has no monotonic clock: " + err.Error())
	}
	return time.Duration(now.Nano())
}

// Phase is a step of an execution.
type Phase string

// Phases of an execution, in order. Each is recorded when it is reached, so a
// process that was killed leaves what it had begun.
const (
	PhaseStarted Phase = "started"
	// PhaseIntent is recorded before the effect is kept.
	PhaseIntent Phase = "intent"
	// PhaseEnded is recorded before the answer is sent.
	PhaseEnded Phase = "ended"
)

// order counts the phases from 1; zero is none of them.
func (p Phase) order() int {
	return 1 + slices.Index([]Phase{PhaseStarted, PhaseIntent, PhaseEnded}, p)
}

// Execution is one run of one request at one server, as of Phase. Later lines
// of the same server, process and number replace earlier ones.
type Execution struct {
	Phase  Phase             `json:"phase"`
	Server bundle.ServerName `json:"server"`
	// Process tells the runs of one server's program apart.
	Process string      `json:"process"`
	Number  uint64      `json:"number"`
	Zone    bundle.Zone `json:"zone"`

	Nonce          Nonce                `json:"nonce,omitempty"`
	RequestID      wire.RequestID       `json:"request_id"`
	IdempotencyKey string               `json:"idempotency_key,omitempty"`
	Service        keyspace.ServiceName `json:"service"`
	Key            string               `json:"key,omitempty"`
	Slice          string               `json:"slice"`
	Fence          wire.Fence           `json:"fence"`
	Bundle         bundle.Version       `json:"bundle"`
	Repeatable     bool                 `json:"repeatable,omitempty"`

	// Arrived is read before the server decided to admit the request, Started
	// after it. A pause between the two widens the gap and proves nothing.
	Arrived time.Duration `json:"arrived"`
	Started time.Duration `json:"started"`
	// Effect is read just before the server checked that it may keep the
	// effect; zero if it never came to that.
	Effect time.Duration `json:"effect,omitempty"`
	Ended  time.Duration `json:"ended,omitempty"`
	// Kept says that the effect was kept. It is final in PhaseEnded only.
	Kept bool `json:"kept,omitempty"`
}

// identity names an execution among all processes.
type identity struct {
	server  bundle.ServerName
	process string
	number  uint64
}

func (e Execution) identity() identity {
	return identity{server: e.Server, process: e.Process, number: e.Number}
}

// mayHaveKept reports that the effect was kept or that nobody can tell.
func (e Execution) mayHaveKept() bool {
	return e.Kept || e.Phase == PhaseIntent
}

// Call is one request as its caller saw it.
type Call struct {
	Nonce          Nonce                `json:"nonce"`
	IdempotencyKey string               `json:"idempotency_key,omitempty"`
	Service        keyspace.ServiceName `json:"service"`
	Key            string               `json:"key,omitempty"`
	Repeatable     bool                 `json:"repeatable,omitempty"`
	Sent           time.Duration        `json:"sent"`
	// Answered is zero while there is no answer.
	Answered time.Duration `json:"answered,omitempty"`
	// Status is zero if no answer came.
	Status  int          `json:"status,omitempty"`
	Outcome wire.Outcome `json:"outcome,omitempty"`
	Reason  wire.Reason  `json:"reason,omitempty"`
	// Whole says that the body ended cleanly.
	Whole bool `json:"whole,omitempty"`
	// Body is what the body says of itself; nil if it could not be read.
	Body *Body `json:"body,omitempty"`
}

func (c Call) succeeded() bool {
	return c.Status >= 200 && c.Status < 300 && c.Whole
}

// Line is one line to a collector. Exactly one field is set.
type Line struct {
	Execution *Execution `json:"execution,omitempty"`
	Call      *Call      `json:"call,omitempty"`
}
