package peerlink

import (
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// With many processes, the leader is linked with one relay in each zone, and the relay with the
// other processes there. What the leader sends, and the traffic between zones, then grow with the
// number of zones and not with the number of processes. A relay with more followers than a leader
// may have directly appoints sub-relays among them and redirects the others there, so that what one
// process sends is bounded whatever the size of its zone. A relay forwards everything that it
// receives except what is for standbys only, and adds up the reports of its followers.

// maxHops is the largest number of processes that forward the leader's state: the relay of a zone
// and a sub-relay. With more of them, the state would grow too old, and a cycle of relays would not
// end.
const maxHops = 2

const (
	// relayChoiceDelay is how long the first processes of a zone are linked before one on a weaker
	// machine may become its relay, so that there is a choice of machines.
	relayChoiceDelay = 300 * time.Millisecond
	// lostReportsToReplaceRelay is how many processes must have lost a relay for it to be replaced
	// while it is linked itself.
	lostReportsToReplaceRelay = 3
	// nodeCountHold is how long processes are still counted while they change their link.
	nodeCountHold = 3 * time.Second
)

// upstream is a relay's knowledge of the leader whose state it forwards.
type upstream struct {
	// lastUpdate is the part of the last update that is the same for all links.
	lastUpdate Update
	// currentAsOf is the time at which this process last knew everything that the leader knew.
	currentAsOf time.Time
	// leaderLost is set once the link to the leader broke.
	leaderLost bool
	// redirectTo is the address that all followers are redirected to, or empty if they may stay.
	redirectTo string
}

// fillHeader sets the fields that are part of each update of a relay.
func (u *upstream) fillHeader(update *Update, ownState ReadState, now time.Time) {
	update.Relayed, update.Leaderless, update.Redirect = true, u.leaderLost, u.redirectTo
	update.Nodes, update.Hops = u.lastUpdate.Nodes, u.hops()
	update.AgeMillis = max(0, now.Sub(u.currentAsOf)).Milliseconds()
	update.ReadState = ReadState{
		Config: max(ownState.Config, u.lastUpdate.ReadState.Config), Workers: max(ownState.Workers, u.lastUpdate.ReadState.Workers),
		SettleMillis: ownState.SettleMillis,
		Settled:      !u.leaderLost && u.lastUpdate.ReadState.Settled,
	}
	if update.ReadState.Settled { // only the relay was cut off
		update.ReadState.SettleMillis = 0
	}
	update.Strongest = max(update.Strongest, u.lastUpdate.Strongest)
}

// hops returns how many processes have forwarded the state once this one has.
func (u *upstream) hops() int { return u.lastUpdate.Hops + 1 }

// OnFollowerReport sets the function that is called with the reports of processes that follow this
// relay.
func (h *Hub) OnFollowerReport(call func(Report)) { h.onFollowerReport = call }

// RelayUpdate records an update of the leader or of another relay. From then on, other processes
// may follow this one, unless the update was already forwarded by maxHops processes.
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

// markCurrent records that everything was known at a time.
func (u *upstream) markCurrent(at time.Time) {
	if at.After(u.currentAsOf) {
		u.currentAsOf = at
	}
}

// MarkStoreRead records that this process has itself read everything from the key-value service
// that was there at a time.
func (h *Hub) MarkStoreRead(at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.markCurrent(at)
	}
}

// RelayOwners sets the owners of a service as received from the leader of a term. While this
// process has received a version in part only, version is the preceding one; 0 means that no
// version was received completely yet.
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

// MarkLeaderLost records that this relay has lost its leader. Its followers stay for as long as it
// reads the key-value service itself.
func (h *Hub) MarkLeaderLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.leaderLost = true
		h.wakeAll()
	}
}

// acceptsFollowers reports whether this process is a relay that has not redirected its followers,
// and whose state was forwarded by at most maxHops processes. A relay that has redirected its
// followers may be about to lead, and would redirect new ones to the process that it followed
// itself. The caller holds mu.
func (h *Hub) acceptsFollowers() bool {
	return h.upstream != nil && h.upstream.redirectTo == "" && h.upstream.hops() <= maxHops
}

// RedirectFollowers redirects all followers of this relay to another process. New ones are rejected
// until this process follows a leader again.
func (h *Hub) RedirectFollowers(address string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.upstream != nil {
		h.upstream.redirectTo = address
		h.wakeAll()
	}
}

// Followers returns how many processes follow this relay, directly or through sub-relays. It
// returns zero for a leader.
func (h *Hub) Followers() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leading {
		return 0
	}
	return h.linkedNodes()
}

// linkedNodes returns how many processes are linked here or follow a linked process. The caller
// holds mu.
func (h *Hub) linkedNodes() int {
	count := len(h.links)
	for l := range h.links {
		count += l.followers
	}
	return count
}

// noteNodeCount records the number of processes that a new link reports. The caller holds mu.
func (h *Hub) noteNodeCount(count int, now time.Time) {
	if count > h.maxNodes {
		h.maxNodes, h.maxNodesAt = count, now
	}
}

// nodes returns the number of processes. Processes that change their link are still counted for
// nodeCountHold. The caller holds mu.
func (h *Hub) nodes(now time.Time) int {
	count := 1 + h.linkedNodes()
	if count >= h.maxNodes || now.Sub(h.maxNodesAt) > nodeCountHold {
		h.maxNodes, h.maxNodesAt = count, now
	}
	return h.maxNodes
}

// relayFor returns the address of the relay that a link's process is to follow, or empty if it
// stays with the leader. The caller holds mu.
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

// reportedLost reports whether enough linked processes have lost a relay for it to be replaced. The
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

// chooseRelay returns the link that becomes the next relay of a zone: one that others follow
// already, otherwise the one on the strongest machine. It returns nil if there is no candidate, or
// if it is too early to choose. The caller holds mu.
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

// isBetterRelayThan compares two links of a zone: by followers, then by strength, then by how long
// they have been linked.
func (l *link) isBetterRelayThan(other *link) bool {
	switch {
	case l.followers != other.followers:
		return l.followers > other.followers
	case l.hello.Strength != other.hello.Strength:
		return l.hello.Strength > other.hello.Strength
	}
	return l.since.Before(other.since)
}
