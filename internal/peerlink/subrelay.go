package peerlink

import (
	"hash/fnv"
	"slices"
	"time"
)

// subRelayFor returns the address of the relay of this relay's own that a link's process is to
// follow; empty if it stays. The caller holds mu.
func (h *Hub) subRelayFor(one *link, now time.Time) string {
	if h.linkedNodes() <= h.DirectNodes || one.subRelay || one.hello.Address == "" || h.upstream.hops() >= mostHops {
		return ""
	}
	h.appointSubRelays(now)
	if one.subRelay {
		return ""
	}
	best, highest := "", uint64(0)
	for other := range h.links {
		address := other.hello.Address
		if !other.subRelay || address == one.hello.Avoid || address == one.hello.Address {
			continue
		}
		if rank := rendezvous(address, one.hello.Address); best == "" || rank > highest {
			best, highest = address, rank
		}
	}
	return best
}

// appointSubRelays appoints as many relays as this one needs, on the strongest machines that are
// linked. The caller holds mu.
func (h *Hub) appointSubRelays(now time.Time) {
	wanted := h.subRelays()
	for one := range h.links {
		if one.subRelay {
			wanted--
		}
	}
	if wanted <= 0 {
		return
	}
	var others []*link
	first := now
	for one := range h.links {
		if !one.subRelay && one.hello.Address != "" {
			others = append(others, one)
		}
		if one.since.Before(first) {
			first = one.since
		}
	}
	slices.SortFunc(others, func(a, b *link) int {
		if a.betterRelay(b) {
			return -1
		}
		return 1
	})
	settled := now.Sub(first) >= relaySettle
	for _, one := range others[:min(wanted, len(others))] {
		one.subRelay = settled || one.hello.Strength >= 1 || one.followers > 0
	}
}

// subRelays is how many relays of its own a relay needs, so that none is followed by more than
// DirectNodes processes on average. The caller holds mu.
func (h *Hub) subRelays() int {
	most := max(1, h.DirectNodes)
	return (h.linkedNodes() + most - 1) / most
}

// rendezvous ranks a relay for a process: each prefers another one, and keeps it when others come
// or go.
func rendezvous(relay, process string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(relay))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(process))
	return mix(hash.Sum64())
}

// mix spreads the bits of a hash whose last bytes differ little.
func mix(bits uint64) uint64 {
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	bits *= 0xc4ceb9fe1a85ec53
	return bits ^ bits>>33
}
