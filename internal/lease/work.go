package lease

import (
	"cmp"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Ticket is one request that the holder has admitted.
type Ticket struct {
	// ID is unique in the life of the holder.
	ID     uint64
	Slice  keyspace.Slice
	Fence  wire.Fence
	Bundle bundle.Version

	lapses uint64
	// shared work is not exclusive: nobody else must wait for its end.
	shared bool
}

// Admit takes a request if the server holds exactly its fence and bundle
// version at now. Otherwise it returns the reason, and the request has not run.
// Each ticket must be given to Finish once.
func (h *Holder) Admit(now clock.Instant, cell bundle.CellName, slice keyspace.Slice, fence wire.Fence, version bundle.Version) (Ticket, wire.Reason) {
	h.observe(now)
	if reason := h.refusal(cell, slice, fence, version); reason != "" {
		return Ticket{}, reason
	}
	h.nextTicket++
	ticket := Ticket{
		ID:     h.nextTicket,
		Slice:  slice,
		Fence:  fence,
		Bundle: version,
		lapses: h.lapses,
		shared: h.slices[slice].grant.Shared,
	}
	h.tickets[ticket.ID] = ticket
	h.inFlight[ticket.sliceFence()]++
	return ticket, ""
}

func (h *Holder) refusal(cell bundle.CellName, slice keyspace.Slice, fence wire.Fence, version bundle.Version) wire.Reason {
	held, found := h.slices[slice]
	switch {
	case cell != h.cell || !found:
		return wire.ReasonNoGrant
	case h.lapsed:
		return wire.ReasonExpired
	case held.grant.Fence != fence:
		return wire.ReasonWrongFence
	case held.retired || held.grant.State != wire.SliceServing:
		return wire.ReasonReleasing
	case held.grant.Bundle != version:
		return wire.ReasonWrongBundle
	}
	return ""
}

// Check says whether the effect of an admitted request may still be kept: empty
// if so, otherwise the reason. Call it at the point where the effect would be
// kept, after everything that can wait.
//
// A newer bundle version or a release in progress does not void a ticket: what
// runs may finish. A lapse does, also if the set was renewed since. A shared
// ticket is never void: a pool's back end owns nothing that another could get,
// and the request itself was sent to one back end only.
func (h *Holder) Check(now clock.Instant, ticket Ticket) wire.Reason {
	h.observe(now)
	return h.void(ticket)
}

func (h *Holder) void(ticket Ticket) wire.Reason {
	if _, running := h.tickets[ticket.ID]; !running {
		return wire.ReasonNoGrant
	}
	if ticket.shared {
		return ""
	}
	if h.lapsed || ticket.lapses != h.lapses {
		return wire.ReasonExpired
	}
	held, found := h.slices[ticket.Slice]
	if !found {
		return wire.ReasonNoGrant
	}
	if held.retired || held.grant.Fence != ticket.Fence {
		return wire.ReasonWrongFence
	}
	return ""
}

// Finish ends an admitted request. A second call for a ticket has no effect.
func (h *Holder) Finish(ticket Ticket) {
	if _, running := h.tickets[ticket.ID]; !running {
		return
	}
	delete(h.tickets, ticket.ID)
	key := ticket.sliceFence()
	h.inFlight[key]--
	if h.inFlight[key] == 0 {
		delete(h.inFlight, key)
	}
}

// Void lists the admitted requests that may no longer keep an effect, in the
// order of their admission. The caller cancels them; each is listed until it
// is finished.
func (h *Holder) Void(now clock.Instant) []Ticket {
	h.observe(now)
	var void []Ticket
	for _, ticket := range h.tickets {
		if h.void(ticket) != "" {
			void = append(void, ticket)
		}
	}
	slices.SortFunc(void, func(a, b Ticket) int { return cmp.Compare(a.ID, b.ID) })
	return void
}

// InFlight is the number of admitted requests that are not finished.
func (h *Holder) InFlight() int {
	return len(h.tickets)
}

func (t Ticket) sliceFence() wire.SliceFence {
	return wire.SliceFence{Slice: t.Slice, Fence: t.Fence}
}
