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
type Book struct {
	config  Config
	elected clock.Instant
	state   cellstate.State
	// leases by server name, those of removed servers among them, so that set
	// numbers keep rising if the name comes back; and the present names in order.
	leases map[bundle.ServerName]*lease
	names  []bundle.ServerName
	// lastCall is the instant (Upper) of the last event, to notice a pause of
	// the leader itself.
	lastCall time.Duration
}

// New returns the book of a leader elected at the given instant.
//
// The state must hold every command committed before the leader's own term: a
// former leader may have proposed to take a slice away, and the book must not
// extend the grant of that slice once the command can commit. A leader has its
// leadership lease only after it committed an entry of its own term, so it is
// enough to apply all committed entries, then Observe, before each Due.
func New(config Config, elected clock.Instant, state cellstate.State) *Book {
	book := &Book{
		config:   config,
		elected:  elected,
		leases:   map[bundle.ServerName]*lease{},
		lastCall: elected.Upper,
	}
	book.Observe(elected, state)
	return book
}

// Observe replaces the book's view of the committed state.
func (b *Book) Observe(now clock.Instant, state cellstate.State) {
	b.noticePause(now)
	b.state = state
	b.names = state.ServerNames()
	owned := groupByOwner(state.Assignments)
	for _, name := range b.names {
		b.leaseOf(name).observe(state, owned[name])
	}
}

// groupByOwner returns the owned assignments of each server, in order.
func groupByOwner(assignments []cellstate.Assignment) map[bundle.ServerName][]cellstate.Assignment {
	owned := map[bundle.ServerName][]cellstate.Assignment{}
	for _, assignment := range assignments {
		if assignment.Owned() {
			owned[assignment.Owner] = append(owned[assignment.Owner], assignment)
		}
	}
	return owned
}

func (b *Book) leaseOf(name bundle.ServerName) *lease {
	held, found := b.leases[name]
	if !found {
		held = newLease(name)
		b.leases[name] = held
	}
	return held
}

// noticePause starts the proof that a server is unreachable anew after a pause
// of the leader itself. During the pause answers may have piled up unread, so
// that nothing is known of the servers, and a leader that wakes must not take
// slices from servers that are alive.
func (b *Book) noticePause(now clock.Instant) {
	if now.Upper-b.lastCall > b.config.Duration/pauseFraction {
		for _, held := range b.leases {
			held.forgetFailures(now)
		}
	}
	b.lastCall = max(b.lastCall, now.Upper)
}

// Fractions of the grant's duration, and of the renewal period. The caller makes an event, at least Due,
// every tenth of Duration.
const (
	// pauseFraction: a longer time between events is a pause of the leader.
	pauseFraction = 4
	// poolContactFraction: a new leader waits this part of PoolRenewEvery with
	// its first contacts of servers of pools.
	poolContactFraction = 10
	// timeoutFraction: a renewal without an answer for longer is sent again.
	timeoutFraction = 4
)

// Times of contact beside the steady renewals.
const (
	// retryAfter is the time from a failed contact to the next.
	retryAfter = 50 * time.Millisecond
	// firstPoll is the time until the first question whether a releasing slice
	// is released. It doubles with each until the steady period.
	firstPoll = 20 * time.Millisecond
)

// times are the periods that hold for one server.
type times struct {
	duration   time.Duration
	renewEvery time.Duration
}

// timesOf returns the times of a keyed server or one of a pool.
func (b *Book) timesOf(held *lease) times {
	if held.pool {
		return times{duration: b.config.PoolDuration, renewEvery: b.config.PoolRenewEvery}
	}
	return times{duration: b.config.Duration, renewEvery: b.config.RenewEvery}
}

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
func (b *Book) Servers(now clock.Instant) []ServerView {
	views := make([]ServerView, 0, len(b.names))
	for _, name := range b.names {
		held := b.leases[name]
		views = append(views, ServerView{
			Name:        name,
			Incarnation: held.incarnation,
			Live:        b.live(held, now),
			ExpiresBy:   b.endOf(held, held.incarnation),
			Set:         held.set,
			Load:        held.load,
		})
	}
	return views
}

// live reports whether the server answered within one Duration.
func (b *Book) live(held *lease, now clock.Instant) bool {
	return held.incarnation != "" && now.Upper-held.answeredAt.Upper < b.timesOf(held).duration
}

// endOf returns the instant (Lower) from which grants of that run of the server
// have surely ended: those that this book extended, and those of any earlier
// leader, which all end within one Duration of this leader's election.
func (b *Book) endOf(held *lease, incarnation wire.Incarnation) time.Duration {
	fromElection := b.elected.Lower + b.timesOf(held).duration + b.config.DriftMargin
	return max(fromElection, held.ends[incarnation])
}
