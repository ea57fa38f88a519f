// Package grant is the leader's book of leases: which grant set each server
// holds, until when at the latest, and when one has surely run out.
//
// The book is a pure state machine. It opens no socket and reads no clock:
// every event carries its instant, and the book answers with renewals to send
// and commands to propose. A new leader starts with an empty book.
//
// Why it is safe. A grant set ends at Reading + Duration on the server's own
// clock, where Reading was taken by the server before the leader checked its
// leadership. So no grant of this leader ends later than one Duration after an
// instant at which it was the leader, and a later leader, which waits one
// Duration from its own election, takes nothing that is still held.
package grant

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/wire"
)

// Config holds the book's times.
type Config struct {
	Cell   bundle.CellName
	Leader wire.Incarnation
	Term   uint64
	// Duration of a grant set of a keyed server, from the reading.
	Duration time.Duration
	// PoolDuration is the same for a server of a pool.
	PoolDuration time.Duration
	// RenewEvery and PoolRenewEvery are the periods of renewals.
	RenewEvery     time.Duration
	PoolRenewEvery time.Duration
	// DriftMargin is added to every wait for another's grant to end. It covers
	// the difference of the clocks' rates over one Duration.
	DriftMargin time.Duration
}

// Book is the leader's view of all leases. Not safe for concurrent use.
type Book struct{}

// New returns the book of a leader elected at the given instant.
func New(config Config, elected clock.Instant, state cellstate.State) *Book {
	panic("not built yet")
}

// Observe replaces the book's view of the committed state.
func (b *Book) Observe(now clock.Instant, state cellstate.State) {}

// Renewal is a request that the leader should send to a server.
type Renewal struct {
	Server  bundle.ServerName
	Address string
	Request wire.RenewRequest
}

// Due returns the renewals to send at now. leaderUntil is the end (Upper) of
// the leadership lease, read by the caller at now, which is after every reading that
// the renewals echo; if it has passed, only first contacts that extend nothing are returned.
func (b *Book) Due(now clock.Instant, leaderUntil time.Duration) []Renewal { return nil }

// Answered takes a server's answer, received at now.
func (b *Book) Answered(now clock.Instant, server bundle.ServerName, answer wire.RenewResponse) {}

// Failed takes the failure to reach a server.
func (b *Book) Failed(now clock.Instant, server bundle.ServerName) {}

// Proposals returns the commands that the leases call for at now: Unassign for
// slices released or surely expired, RegisterServer for a new incarnation,
// DrainServer for a server that asked, MarkInForce. The same command is
// returned again until Observe shows its effect.
func (b *Book) Proposals(now clock.Instant) []cellstate.Command { return nil }

// ServerView is what the book knows of one server, for placement and status.
type ServerView struct {
	Name        bundle.ServerName `json:"name"`
	Incarnation wire.Incarnation  `json:"incarnation,omitempty"`
	// Live says that an answer came within one Duration.
	Live bool `json:"live"`
	// ExpiresBy is the latest instant (Lower) at which its grants can end.
	ExpiresBy time.Duration   `json:"expires_by"`
	Set       uint64          `json:"set"`
	Load      wire.LoadReport `json:"load"`
}

// Servers returns the view of all servers, ordered by name.
func (b *Book) Servers(now clock.Instant) []ServerView { return nil }
