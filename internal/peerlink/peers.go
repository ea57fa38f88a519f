package peerlink

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// A process that the key-value service refuses, and whose leader is lost, asks other processes for
// the next one: the service would have named it. It must know some of them before.

const (
	// sentPeers is how many others each process is told of. Where the service refuses a third of
	// all, and the leader is lost, one in 81 hears from none that is not refused.
	sentPeers = 4
	// sentPeersInterval is the pause between such words: a process that went is asked in vain once.
	sentPeersInterval = 10 * time.Second
	// maxPeers is how many addresses a process keeps.
	maxPeers = 16
)

// Peers are addresses of other processes that were heard of last. It is safe for concurrent use;
// the zero value knows none.
type Peers struct {
	mu sync.Mutex
	// known are in the order in which they were heard of, the newest at the end.
	known []string
}

// Add notes addresses that were heard of now.
func (p *Peers) Add(addresses ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, address := range addresses {
		if address == "" {
			continue
		}
		p.known = slices.DeleteFunc(p.known, func(one string) bool { return one == address })
		p.known = append(p.known, address)
	}
	if surplus := len(p.known) - maxPeers; surplus > 0 {
		p.known = slices.Delete(p.known, 0, surplus)
	}
}

// Some returns up to a number of the addresses, drawn at random, without one of them.
func (p *Peers) Sample(limit int, exclude string) []string {
	p.mu.Lock()
	sample := slices.DeleteFunc(slices.Clone(p.known), func(one string) bool { return one == exclude })
	p.mu.Unlock()
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(limit, len(sample))]
}

// OnLinked sets what is called with the addresses of processes that follow this one.
func (h *Hub) OnLinked(call func(addresses ...string)) { h.onLinked = call }

// SetFollowed sets the address of the leader that this process follows; empty: none.
func (h *Hub) SetFollowedLeader(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.followedLeader = address
}

// peersFor returns addresses of other processes that a link is to know; nil if it was told of some
// lately. The caller holds mu.
func (h *Hub) peerAddressesFor(l *link, now time.Time) []string {
	if now.Sub(l.peersSentAt) < sentPeersInterval || len(h.links) < 2 {
		return nil
	}
	l.peersSentAt = now
	var addresses []string
	for other := range h.links { // in no order
		if address := other.hello.Address; address != "" && other != l && len(addresses) < sentPeers {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
