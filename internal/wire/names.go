// Package wire holds the messages and headers that the system's processes
// exchange, and the JSON-lines codec for streams of them.
//
// docs/PROTOCOLS.md describes each with examples. Every message names its
// cell. All durations are in nanoseconds, all sizes in bytes.
package wire

import (
	"strconv"

	"github.com/shalefork/shalefork/internal/keyspace"
)

// Incarnation names one run of a process. It is drawn at random at start, so a
// process that lost its memory is never taken for its former self.
type Incarnation string

// RequestID names one request of one caller; the server echoes it.
type RequestID string

// Generation counts the control groups that a cell has had.
type Generation uint32

// generationShift leaves 40 bits of a fence for the log index.
const generationShift = 40

// Fence orders the grants of a slice: a later grant has a higher fence. The
// generation is its high part, the log index of the assignment its low part.
type Fence uint64

// NewFence returns the fence of the assignment committed at index.
func NewFence(generation Generation, index uint64) Fence {
	return Fence(uint64(generation)<<generationShift | index)
}

// Generation returns the control group's generation that issued the fence.
func (f Fence) Generation() Generation {
	return Generation(f >> generationShift)
}

// Index returns the log index of the assignment that the fence was made from.
func (f Fence) Index() uint64 {
	return uint64(f) & (1<<generationShift - 1)
}

// String returns the fence in decimal, as in headers.
func (f Fence) String() string {
	return strconv.FormatUint(uint64(f), 10)
}

// Headers between gateway and server. A gateway removes each of them from what
// a caller sends, save HeaderIdempotencyKey.
const (
	HeaderCell           = "Shalefork-Cell"
	HeaderService        = "Shalefork-Service"
	HeaderSlice          = "Shalefork-Slice"
	HeaderFence          = "Shalefork-Fence"
	HeaderBundle         = "Shalefork-Bundle"
	HeaderRequestID      = "Shalefork-Request-Id"
	HeaderDeadline       = "Shalefork-Deadline-Ms" // time left, whole milliseconds
	HeaderKey            = "Shalefork-Key"
	HeaderOutcome        = "Shalefork-Outcome"
	HeaderReason         = "Shalefork-Reason"
	HeaderServer         = "Shalefork-Server"
	HeaderDraining       = "Shalefork-Draining" // "true" on a server's answer
	HeaderLoad           = "Shalefork-Load"     // on a server's answer: its other requests in flight
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Outcome is what HeaderOutcome says about a request without an answer.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeNotRun says that no server ran the request, which is proved.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown says that a server may have run the request once.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was refused; it is sent in HeaderReason and
// counted by name.
type Reason string

// Reasons that a server gives with OutcomeNotRun.
const (
	ReasonNoGrant     Reason = "no-grant"     // the server holds no grant for the slice
	ReasonExpired     Reason = "expired"      // its grant has run out
	ReasonWrongFence  Reason = "wrong-fence"  // the fence is not the one it holds
	ReasonWrongBundle Reason = "wrong-bundle" // the bundle version is not the one it holds
	ReasonReleasing   Reason = "releasing"    // the slice is about to move
	ReasonOverloaded  Reason = "overloaded"   // its slots and queue are full
	ReasonDraining    Reason = "draining"     // it takes no new work
	ReasonDeadline    Reason = "deadline"     // too little time is left
	ReasonMalformed   Reason = "malformed"    // a routing header is missing or wrong
)

// Reasons that a gateway adds.
const (
	ReasonNoRoute         Reason = "no-route"          // no service matches host and path
	ReasonNoKey           Reason = "no-key"            // the request lacks the service's key
	ReasonNoOwner         Reason = "no-owner"          // no server owns the slice now
	ReasonNoBackend       Reason = "no-backend"        // no back end can take it or be reached
	ReasonNoPlace         Reason = "no-place"          // no server is left in an allowed place
	ReasonQueueFull       Reason = "queue-full"        // the bounded queue is full
	ReasonRetriesSpent    Reason = "retries-spent"     // the retry budget is empty
	ReasonStaleTable      Reason = "stale-table"       // no controller was heard for too long
	ReasonTooLarge        Reason = "too-large"         // the request body is over the limit
	ReasonAnswerLost      Reason = "answer-lost"       // the connection broke after sending
	ReasonKeyReused       Reason = "key-reused"        // Idempotency-Key with another request
	ReasonInProgress      Reason = "in-progress"       // the same Idempotency-Key still runs
	ReasonLedgerUnready   Reason = "ledger-unready"    // the idempotency record can't be kept now
	ReasonMismatchedReply Reason = "mismatched-answer" // the server echoed another request id
)

// SliceFence names a slice under one grant.
type SliceFence struct {
	Slice keyspace.Slice `json:"slice"`
	Fence Fence          `json:"fence"`
}
