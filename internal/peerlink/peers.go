package peerlink

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// A process that the key-value service rejects, and whose leader is lost, asks other processes for
// the next leader, which the service would otherwise have named. It must know the addresses of some
// processes beforehand.

const (
	// sentPeers is how many addresses of other processes each process is sent. If the service
	// rejects a third of all processes and the leader is lost, one process in 81 knows none that is
	// not rejected.
	sentPeers = 4
	// sentPeersInterval is the pause between messages with addresses. An address of a process that
	// has ended costs one unanswered query.
	sentPeersInterval = 10 * time.Second
	// maxPeers is how many addresses a process keeps.
	maxPeers = 16
	// maxAddressBytes is more than an IP address with a port takes.
	maxAddressBytes = 256
)

// Peers contains the addresses of other processes that were received most recently. It is safe for
// concurrent use; the zero value is empty.
type Peers struct {
	mu sync.Mutex
	// known is in the order in which the addresses were received, with the newest at the end.
	known []string
}

// Add records addresses as the most recent ones.
func (p *Peers) Add(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if address == "" || len(address) > maxAddressBytes {
			continue
		}
		p.known = slices.DeleteFunc(p.known, func(known string) bool { return known == address })
		p.known = append(p.known, address)
	}
	if surplus := len(p.known) - maxPeers; surplus > 0 {
		p.known = slices.Delete(p.known, 0, surplus)
	}
}

// Sample returns up to limit addresses, chosen at random, excluding one of them.
func (p *Peers) Sample(limit int, exclude string) []string {
	p.mu.Lock()
	sample := slices.DeleteFunc(slices.Clone(p.known), func(known string) bool { return known == exclude })
	p.mu.Unlock()
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(limit, len(sample))]
}

// OnLinked sets the function that is called with the addresses of processes that follow this one.
func (h *Hub) OnLinked(call func(addresses ...string)) { h.onLinked = call }

// SetFollowedLeader sets the address of the leader that this process follows, or empty if there is
// none.
func (h *Hub) SetFollowedLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followedLeader = address
}

// peerAddressesFor returns addresses of other processes for a link, or nil if the link was sent
// some within sentPeersInterval. The caller holds mu.
func (h *Hub) peerAddressesFor(l *link, now time.Time) []string {
	if now.Sub(l.peersSentAt) < sentPeersInterval || len(h.links) < 2 {
		return nil
	}
	l.peersSentAt = now
	var addresses []string
	for other := range h.links { // map order is random
		if address := other.hello.Address; address != "" && other != l && len(addresses) < sentPeers {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
