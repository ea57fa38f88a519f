package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// With many processes the leader speaks with one relay in each zone, and the relay with
// the others there: what the leader sends, and the bytes between zones, then grow with
// zones and not with processes. A relay that is followed by more processes than a leader speaks
// with itself appoints relays of its own among them, and sends the others there, so that what
// one process sends is bounded whatever the size of its zone. A relay passes on what it is told,
// except what is for standbys only, and adds up the reports of those that follow it.

// mostHops is how many processes pass a leader's word on at the most: a relay of a zone and one of
// its own. More of them would let the word grow too old, and a circle of relays end nowhere.
const mostHops = 2

const (
	// relaySettle is how long the first processes of a zone are linked before one on a
	// weaker machine becomes its relay, so that there is a choice among machines.
	relaySettle = 300 * time.Millisecond
	// relayDoubts is how many processes must have lost a relay for it to be replaced
	// while it is linked itself.
	relayDoubts = 3
	// nodesMemory is for how long processes count that are just changing their link.
	nodesMemory = 3 * time.Second
)

// upstream is what a relay knows of the leader whose words it passes on.
type upstream struct {
	// heard is the last message's part that is the same for all links.
	heard Update
	// fresh is when all that the leader knew was known here.
	fresh time.Time
	// lost says that the link to the leader broke.
	lost bool
	// leaveTo is the address that all others are sent to; empty: they may stay.
	leaveTo string
}

// head describes what a relay says in each message.
func (u *upstream) head(update *Update, own ReadState, now time.Time) {
	update.Relayed, update.Leaderless, update.Redirect = true, u.lost, u.leaveTo
	update.Nodes, update.Hops = u.heard.Nodes, u.hops()
	update.AgeMillis = max(0, now.Sub(u.fresh)).Milliseconds()
	update.ReadState = ReadState{
		Config: max(own.Config, u.heard.ReadState.Config), Workers: max(own.Workers, u.heard.ReadState.Workers),
		SettleMillis: own.SettleMillis,
		Settled:      !u.lost && u.heard.ReadState.Settled,
	}
	if update.ReadState.Settled { // only the relay was cut off
		update.ReadState.SettleMillis = 0
	}
	update.Strongest = max(update.Strongest, u.heard.Strongest)
}

// hops is how many processes have passed the word on that this one tells.
func (u *upstream) hops() int { return u.heard.Hops + 1 }

// OnReported sets what is called with the reports of processes that follow this relay.
func (h *Hub) OnFollowerReport(call func(Report)) { h.reported = call }

// Relay takes what the leader says, or a relay of it: from now on other processes may follow this
// one, unless as many pass the word on already as may.
func (h *Hub) RelayUpdate(heard Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading {
		return
	}
	if h.upstream == nil {
		h.upstream = &upstream{}
	}
	h.upstream.lost, h.upstream.leaveTo = heard.Leaderless, ""
	h.upstream.heard = Update{Nodes: heard.Nodes, ReadState: heard.ReadState, Strongest: heard.Strongest, Hops: heard.Hops}
	if !heard.StoreUnreachable {
		h.upstream.refresh(clock.Now().Add(-heard.Age()))
	}
}

// refresh notes that all was known at a time.
func (u *upstream) refresh(at time.Time) {
	if at.After(u.fresh) {
		u.fresh = at
	}
}

// Refresh notes that this process has itself read from the key-value service all that was
// there at a time.
func (h *Hub) MarkStoreRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.refresh(at)
	}
}

// RelayOwners sets the owners of a service as a leader of a term has told them. Of a version that
// this process was told a part of only, it has the one before.
func (h *Hub) RelayOwners(service routing.ServiceName, owners []owner.Owner, term owner.Term, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading {
		return
	}
	if term != h.term {
		h.term = term
		clear(h.owners)
	}
	h.publish(service, published{owners: owners, version: version, part: version == 0})
}

// LeaderLost says that a relay has lost its leader. Those that follow it stay for as long
// as it reads the key-value service itself.
func (h *Hub) MarkLeaderLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.lost = true
		h.wakeAll()
	}
}

// takesFollowers reports whether this process is a relay, and not one that has sent its
// followers away: it may be about to lead, and would send the next ones to where it went
// itself. The caller holds mu.
func (h *Hub) takesFollowers() bool {
	return h.upstream != nil && h.upstream.leaveTo == "" && h.upstream.hops() <= mostHops
}

// LeaveTo sends all that follow this relay to another process, and takes no new ones until
// it follows a leader again.
func (h *Hub) RedirectFollowers(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.leaveTo = address
		h.wakeAll()
	}
}

// Followers returns how many processes follow this relay, themselves or through relays of its own;
// zero for a leader.
func (h *Hub) Followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading {
		return 0
	}
	return h.linkedNodes()
}

// linkedNodes is how many processes are linked here, or follow those that are. The caller holds mu.
func (h *Hub) linkedNodes() int {
	count := len(h.links)
	for one := range h.links {
		count += one.followers
	}
	return count
}

// expectNodes takes a process's word on how many there are. The caller holds mu.
func (h *Hub) expectNodes(count int, now time.Time) {
	if count > h.mostNodes {
		h.mostNodes, h.mostNodesAt = count, now
	}
}

// nodes returns how many processes there are. Those that change their link count on for
// a moment. The caller holds mu.
func (h *Hub) nodes(now time.Time) int {
	count := 1 + h.linkedNodes()
	if count >= h.mostNodes || now.Sub(h.mostNodesAt) > nodesMemory {
		h.mostNodes, h.mostNodesAt = count, now
	}
	return h.mostNodes
}

// relayFor returns the address of the relay that a link's process is to follow; empty if
// it stays with the leader. The caller holds mu.
func (h *Hub) relayFor(one *link, now time.Time) string {
	if h.nodes(now) <= h.DirectNodes || h.standbys.appointed[one.hello.Process] || one.hello.Address == "" {
		return ""
	}
	zone := one.hello.Zone
	relay := h.relays[zone]
	if relay == nil || h.doubted(relay) {
		relay = h.chooseRelay(zone, relay, now)
		h.relays[zone] = relay
	}
	if relay == nil {
		return ""
	}
	address := relay.hello.Address
	if address == one.hello.Address || address == one.hello.Avoid {
		return ""
	}
	return address
}

// doubted reports whether enough processes have come here because they lost a relay. The
// caller holds mu.
func (h *Hub) doubted(relay *link) bool {
	doubts := 0
	for one := range h.links {
		if one.hello.Avoid == relay.hello.Address {
			doubts++
		}
	}
	return doubts >= relayDoubts
}

// chooseRelay returns the link of a zone that is its next relay: one that others follow
// already, else the one on the strongest machine; nil if it is too early to choose. The
// caller holds mu.
func (h *Hub) chooseRelay(zone string, before *link, now time.Time) *link {
	var best *link
	first := now
	for one := range h.links {
		if one.hello.Zone != zone || one == before || one.hello.Address == "" {
			continue
		}
		if one.since.Before(first) {
			first = one.since
		}
		if best == nil || one.betterRelay(best) {
			best = one
		}
	}
	if best != nil && best.followers == 0 && best.hello.Strength < 1 && now.Sub(first) < relaySettle {
		return nil
	}
	return best
}

// betterRelay compares two links of a zone.
func (l *link) betterRelay(other *link) bool {
	switch {
	case l.followers != other.followers:
		return l.followers > other.followers
	case l.hello.Strength != other.hello.Strength:
		return l.hello.Strength > other.hello.Strength
	}
	return l.since.Before(other.since)
}
