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

// maxHops is how many processes pass a leader's word on at the most: a relay of a zone and one of
// its own. More of them would let the word grow too old, and a circle of relays end nowhere.
const maxHops = 2

const (
	// relayChoiceDelay is how long the first processes of a zone are linked before one on a
	// weaker machine becomes its relay, so that there is a choice among machines.
	relayChoiceDelay = 300 * time.Millisecond
	// lostReportsToReplaceRelay is how many processes must have lost a relay for it to be replaced
	// while it is linked itself.
	lostReportsToReplaceRelay = 3
	// nodeCountHold is for how long processes count that are just changing their link.
	nodeCountHold = 3 * time.Second
)

// upstream is what a relay knows of the leader whose words it passes on.
type upstream struct {
	// heard is the last message's part that is the same for all links.
	lastUpdate Update
	// fresh is when all that the leader knew was known here.
	currentAsOf time.Time
	// lost says that the link to the leader broke.
	leaderLost bool
	// leaveTo is the address that all others are sent to; empty: they may stay.
	redirectTo string
}

// head describes what a relay says in each message.
func (u *upstream) fillHeader(update *Update, own ReadState, now time.Time) {
	update.Relayed, update.Leaderless, update.Redirect = true, u.leaderLost, u.redirectTo
	update.Nodes, update.Hops = u.lastUpdate.Nodes, u.hops()
	update.AgeMillis = max(0, now.Sub(u.currentAsOf)).Milliseconds()
	update.ReadState = ReadState{
		Config: max(own.Config, u.lastUpdate.ReadState.Config), Workers: max(own.Workers, u.lastUpdate.ReadState.Workers),
		SettleMillis: own.SettleMillis,
		Settled:      !u.leaderLost && u.lastUpdate.ReadState.Settled,
	}
	if update.ReadState.Settled { // only the relay was cut off
		update.ReadState.SettleMillis = 0
	}
	update.Strongest = max(update.Strongest, u.lastUpdate.Strongest)
}

// hops is how many processes have passed the word on that this one tells.
func (u *upstream) hops() int { return u.lastUpdate.Hops + 1 }

// OnReported sets what is called with the reports of processes that follow this relay.
func (h *Hub) OnFollowerReport(call func(Report)) { h.onFollowerReport = call }

// Relay takes what the leader says, or a relay of it: from now on other processes may follow this
// one, unless as many pass the word on already as may.
func (h *Hub) RelayUpdate(update Update) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading {
		return
	}
	if h.upstream == nil {
		h.upstream = &upstream{}
	}
	h.upstream.leaderLost, h.upstream.redirectTo = update.Leaderless, ""
	h.upstream.lastUpdate = Update{Nodes: update.Nodes, ReadState: update.ReadState, Strongest: update.Strongest, Hops: update.Hops}
	if !update.StoreUnreachable {
		h.upstream.markCurrent(clock.Now().Add(-update.Age()))
	}
}

// refresh notes that all was known at a time.
func (u *upstream) markCurrent(at time.Time) {
	if at.After(u.currentAsOf) {
		u.currentAsOf = at
	}
}

// Refresh notes that this process has itself read from the key-value service all that was
// there at a time.
func (h *Hub) MarkStoreRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.markCurrent(at)
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
	h.publish(service, publishedOwners{owners: owners, version: version, partial: version == 0})
}

// LeaderLost says that a relay has lost its leader. Those that follow it stay for as long
// as it reads the key-value service itself.
func (h *Hub) MarkLeaderLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.leaderLost = true
		h.wakeAll()
	}
}

// takesFollowers reports whether this process is a relay, and not one that has sent its
// followers away: it may be about to lead, and would send the next ones to where it went
// itself. The caller holds mu.
func (h *Hub) acceptsFollowers() bool {
	return h.upstream != nil && h.upstream.redirectTo == "" && h.upstream.hops() <= maxHops
}

// LeaveTo sends all that follow this relay to another process, and takes no new ones until
// it follows a leader again.
func (h *Hub) RedirectFollowers(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.redirectTo = address
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
	for l := range h.links {
		count += l.followers
	}
	return count
}

// expectNodes takes a process's word on how many there are. The caller holds mu.
func (h *Hub) noteNodeCount(count int, now time.Time) {
	if count > h.maxNodes {
		h.maxNodes, h.maxNodesAt = count, now
	}
}

// nodes returns how many processes there are. Those that change their link count on for
// a moment. The caller holds mu.
func (h *Hub) nodes(now time.Time) int {
	count := 1 + h.linkedNodes()
	if count >= h.maxNodes || now.Sub(h.maxNodesAt) > nodeCountHold {
		h.maxNodes, h.maxNodesAt = count, now
	}
	return h.maxNodes
}

// relayFor returns the address of the relay that a link's process is to follow; empty if
// it stays with the leader. The caller holds mu.
func (h *Hub) relayFor(l *link, now time.Time) string {
	if h.nodes(now) <= h.DirectNodes || h.standbys.appointed[l.hello.Process] || l.hello.Address == "" {
		return ""
	}
	zone := l.hello.Zone
	relay := h.relays[zone]
	if relay == nil || h.reportedLost(relay) {
		relay = h.chooseRelay(zone, relay, now)
		h.relays[zone] = relay
	}
	if relay == nil {
		return ""
	}
	address := relay.hello.Address
	if address == l.hello.Address || address == l.hello.Avoid {
		return ""
	}
	return address
}

// doubted reports whether enough processes have come here because they lost a relay. The
// caller holds mu.
func (h *Hub) reportedLost(relay *link) bool {
	reports := 0
	for l := range h.links {
		if l.hello.Avoid == relay.hello.Address {
			reports++
		}
	}
	return reports >= lostReportsToReplaceRelay
}

// chooseRelay returns the link of a zone that is its next relay: one that others follow
// already, else the one on the strongest machine; nil if it is too early to choose. The
// caller holds mu.
func (h *Hub) chooseRelay(zone string, excluded *link, now time.Time) *link {
	var best *link
	earliest := now
	for l := range h.links {
		if l.hello.Zone != zone || l == excluded || l.hello.Address == "" {
			continue
		}
		if l.since.Before(earliest) {
			earliest = l.since
		}
		if best == nil || l.isBetterRelayThan(best) {
			best = l
		}
	}
	if best != nil && best.followers == 0 && best.hello.Strength < 1 && now.Sub(earliest) < relayChoiceDelay {
		return nil
	}
	return best
}

// betterRelay compares two links of a zone.
func (l *link) isBetterRelayThan(other *link) bool {
	switch {
	case l.followers != other.followers:
		return l.followers > other.followers
	case l.hello.Strength != other.hello.Strength:
		return l.hello.Strength > other.hello.Strength
	}
	return l.since.Before(other.since)
}
