package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/wire"
)

// Renew takes a leader's renewal at now and returns the answer to send. The
// caller fills in its load.
func (h *Holder) Renew(now clock.Instant, request wire.RenewRequest) wire.RenewResponse {
	h.observe(now)
	if request.Cell != h.cell {
		return h.identity(now, wire.RefusedOtherCell)
	}
	refusal := h.take(now, request)
	h.observe(now)
	response := h.identity(now, refusal)
	response.Generation = h.held.generation
	response.Term = h.held.term
	response.Set = h.held.set
	response.Released = h.release()
	if h.held != positionOf(request) || h.lapsed {
		response.Held = h.heldGrants()
	}
	return response
}

func (h *Holder) identity(now clock.Instant, refusal wire.RenewRefusal) wire.RenewResponse {
	return wire.RenewResponse{
		Server:   h.self,
		Reading:  now.Upper,
		Refused:  refusal,
		Draining: h.draining,
	}
}

// take applies the renewal, or returns why it was not applied.
func (h *Holder) take(now clock.Instant, request wire.RenewRequest) wire.RenewRefusal {
	if request.Server != "" && request.Server != h.self {
		return wire.RefusedOtherIncarnation
	}
	at := positionOf(request)
	if at.leader().compare(h.highest.leader()) < 0 {
		return wire.RefusedOlderLeader
	}
	if at.set != 0 && at.compare(h.highest) < 0 {
		return wire.RefusedOlderLeader
	}
	// From its first message on, a newer leader shuts out the older ones, so
	// what it was told of Held stays the most that this server can hold.
	h.remember(at)
	if request.Server == "" || at.set == 0 {
		return ""
	}
	if refusal := refuseTime(now, request); refusal != "" {
		return refusal
	}
	if at == h.held {
		h.extend(request)
		return ""
	}
	return h.replace(at, request)
}

// remember raises the highest leader seen. The set is raised only when it is
// taken, so that a renewal refused for its time can be sent again.
func (h *Holder) remember(at position) {
	if at.leader().compare(h.highest.leader()) > 0 {
		h.highest = at.leader()
	}
}

// refuseTime checks the echoed reading. A reading that this clock has not
// reached was never given out by this process.
func refuseTime(now clock.Instant, request wire.RenewRequest) wire.RenewRefusal {
	if request.Reading < 0 || request.Reading > now.Upper {
		return wire.RefusedOtherIncarnation
	}
	if request.Duration > math.MaxInt64-request.Reading {
		return wire.RefusedExpired
	}
	if now.HolderExpired(request.Reading + request.Duration) {
		return wire.RefusedExpired
	}
	return ""
}

// extend moves the end of the current set, never back: each renewal of the set
// was allowed on its own.
func (h *Holder) extend(request wire.RenewRequest) {
	h.expiry = max(h.expiry, request.Reading+request.Duration)
	h.lapsed = false
}

// replace takes a newer set. Its end counts from this renewal alone, because
// earlier ones were for other slices.
func (h *Holder) replace(at position, request wire.RenewRequest) wire.RenewRefusal {
	if request.Slices == nil {
		return wire.RefusedUnknownSet
	}
	if h.lowersVersion(*request.Slices) {
		return wire.RefusedOlderBundle
	}
	h.adopt(*request.Slices)
	h.held = at
	h.highest = at
	h.expiry = request.Reading + request.Duration
	h.lapsed = false
	return ""
}

// lowersVersion reports whether new work under the set could run under a lower
// bundle version than another slice of its service has, or had before. Slices
// that are being released run nothing new, so their version does not matter.
func (h *Holder) lowersVersion(grants []wire.SliceGrant) bool {
	newest := maps.Clone(h.versions)
	for _, grant := range grants {
		newest[grant.Slice.Service] = max(newest[grant.Slice.Service], grant.Bundle)
	}
	return slices.ContainsFunc(grants, func(grant wire.SliceGrant) bool {
		return grant.State == wire.SliceServing && grant.Bundle < newest[grant.Slice.Service]
	})
}

// adopt replaces the slices. A fence that is not in the present set is new only
// if it is above all that were seen: fences rise with the log, and a set holds
// every assignment of this server up to its index.
func (h *Holder) adopt(grants []wire.SliceGrant) {
	next := make(map[keyspace.Slice]heldSlice, len(grants))
	highest := h.highestFence
	for _, grant := range grants {
		present, found := h.slices[grant.Slice]
		same := found && present.grant.Fence == grant.Fence
		retired := grant.Fence <= h.highestFence
		if same {
			retired = present.retired
		}
		next[grant.Slice] = heldSlice{grant: grant, retired: retired}
		highest = max(highest, grant.Fence)
		h.raiseVersion(grant)
	}
	h.slices = next
	h.highestFence = highest
}

func (h *Holder) raiseVersion(grant wire.SliceGrant) {
	h.versions[grant.Slice.Service] = max(h.versions[grant.Slice.Service], grant.Bundle)
}

// release retires the slices in state releasing that have nothing in flight,
// and returns all of the set that are retired.
func (h *Holder) release() []wire.SliceFence {
	var released []wire.SliceFence
	for slice, held := range h.slices {
		key := wire.SliceFence{Slice: slice, Fence: held.grant.Fence}
		releasing := held.grant.State == wire.SliceReleasing
		if releasing && h.inFlight[key] == 0 {
			held.retired = true
			h.slices[slice] = held
		}
		if held.retired {
			released = append(released, key)
		}
	}
	slices.SortFunc(released, func(a, b wire.SliceFence) int { return compareSlices(a.Slice, b.Slice) })
	return released
}

func (h *Holder) heldGrants() []wire.SliceGrant {
	if h.lapsed {
		return nil
	}
	var grants []wire.SliceGrant
	for _, held := range h.slices {
		if !held.retired {
			grants = append(grants, held.grant)
		}
	}
	slices.SortFunc(grants, func(a, b wire.SliceGrant) int { return compareSlices(a.Slice, b.Slice) })
	return grants
}

// Version returns the highest bundle version seen for a service.
func (h *Holder) Version(service keyspace.ServiceName) bundle.Version {
	return h.versions[service]
}

func compareSlices(a, b keyspace.Slice) int {
	return cmp.Or(
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Partition, b.Partition),
		cmp.Compare(a.Range.First, b.Range.First),
		cmp.Compare(a.Range.Last, b.Range.Last),
	)
}
