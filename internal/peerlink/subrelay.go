package peerlink

import (
	"hash/fnv"
	"slices"
	"time"
)

// subRelayFor returns the address of the sub-relay that a link's process is to follow, or empty if
// the process stays. The caller holds mu.
func (h *Hub) subRelayFor(l *link, now time.Time) string {
	if h.linkedNodes() <= h.DirectNodes || l.subRelay || l.hello.Address == "" || h.upstream.hops() >= maxHops {
		return ""
	}
	h.appointSubRelays(now)
	if l.subRelay {
		return ""
	}
	best, highest := "", uint64(0)
	for other := range h.links {
		address := other.hello.Address
		if !other.subRelay || address == l.hello.Avoid || address == l.hello.Address {
			continue
		}
		if rank := rendezvous(address, l.hello.Address); best == "" || rank > highest {
			best, highest = address, rank
		}
	}
	return best
}

// appointSubRelays appoints as many sub-relays as this relay needs, on the strongest linked
// machines. The caller holds mu.
func (h *Hub) appointSubRelays(now time.Time) {
	wanted := h.wantedSubRelays()
	for l := range h.links {
		if l.subRelay {
			wanted--
		}
	}
	if wanted <= 0 {
		return
	}
	var candidates []*link
	earliest := now
	for l := range h.links {
		if !l.subRelay && l.hello.Address != "" {
			candidates = append(candidates, l)
		}
		if l.since.Before(earliest) {
			earliest = l.since
		}
	}
	slices.SortFunc(candidates, func(a, b *link) int {
		if a.isBetterRelayThan(b) {
			return -1
		}
		return 1
	})
	settled := now.Sub(earliest) >= relayChoiceDelay
	for _, l := range candidates[:min(wanted, len(candidates))] {
		l.subRelay = settled || l.hello.Strength >= 1 || l.followers > 0
	}
}

// wantedSubRelays returns how many sub-relays this relay needs, so that each has at most
// DirectNodes followers on average. The caller holds mu.
func (h *Hub) wantedSubRelays() int {
	perRelay := max(1, h.DirectNodes)
	return (h.linkedNodes() + perRelay - 1) / perRelay
}

// rendezvous ranks a relay for a process (rendezvous hashing): processes prefer different relays,
// and keep theirs when others come or go.
func rendezvous(relay, process string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(relay))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(process))
	return mixBits(hash.Sum64())
}

// mixBits spreads the bits of a hash, as hashes of inputs that differ only in their last bytes are
// similar.
func mixBits(bits uint64) uint64 {
	bits ^= bits >> 33
	bits *= 0xff51afd7ed558ccd
	bits ^= bits >> 33
	bits *= 0xc4ceb9fe1a85ec53
	return bits ^ bits>>33
}
