package lease

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// heldSlice is one slice of the current grant set.
type heldSlice struct {
	grant wire.SliceGrant
	// retired slices run nothing ever again under their present fence.
	retired bool
}

// Holder is what one server process holds. Not safe for concurrent use.
type Holder struct {
	cell bundle.CellName
	self wire.Incarnation

	// highest is the newest position seen; older ones are refused for ever.
	highest position
	// held is the position of the current set.
	held   position
	slices map[keyspace.Slice]heldSlice
	// expiry is the end (Upper) of the current set.
	expiry time.Duration
	// lapses counts the times that the set ran out; a ticket of an earlier
	// count is void even if the set was renewed since.
	lapses uint64
	lapsed bool

	// highestFence of all sets seen. A fence at or below it that is not in the
	// current set was given up or taken away before, and is never run again.
	highestFence wire.Fence
	versions     map[keyspace.ServiceName]bundle.Version

	tickets    map[uint64]Ticket
	nextTicket uint64
	inFlight   map[wire.SliceFence]int

	draining bool
}

// NewHolder returns a holder without grants. The incarnation is drawn at random
// at the start of the process.
func NewHolder(cell bundle.CellName, self wire.Incarnation) *Holder {
	return &Holder{
		cell:     cell,
		self:     self,
		slices:   map[keyspace.Slice]heldSlice{},
		versions: map[keyspace.ServiceName]bundle.Version{},
		tickets:  map[uint64]Ticket{},
		inFlight: map[wire.SliceFence]int{},
		lapsed:   true,
	}
}

// Drain makes every later answer ask for relief of all that is held. What is
// held is served until the leader releases it, so that no slice goes dark.
func (h *Holder) Drain() {
	h.draining = true
}

// Idle reports that nothing is held at now and nothing is in flight. A slice
// that was released counts as held until the leader has taken it off the set,
// so that a process which stops when idle has told the leader of its releases.
func (h *Holder) Idle(now clock.Instant) bool {
	h.observe(now)
	if len(h.tickets) > 0 {
		return false
	}
	return h.lapsed || len(h.slices) == 0
}

// Expiry returns the end (Upper) of the current set, and false if it has ended.
func (h *Holder) Expiry(now clock.Instant) (time.Duration, bool) {
	h.observe(now)
	return h.expiry, !h.lapsed
}

// observe notes the end of the set. Every event calls it first, so a lapse is
// always seen before a renewal can hide it.
func (h *Holder) observe(now clock.Instant) {
	if h.lapsed || !now.HolderExpired(h.expiry) {
		return
	}
	h.lapsed = true
	h.lapses++
}
