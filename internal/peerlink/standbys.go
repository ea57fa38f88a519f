package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Peer is a linked process that may be chosen as a standby.
type Peer struct {
	Process  string
	Address  string
	Zone     string
	Strength float64
}

// standbys is the leader's view of the processes that may renew holds. It is guarded by the hub's
// lock.
type standbys struct {
	// limit is when all delegations end at the latest, as the leader's own renewals end then.
	limit time.Time
	holds map[routing.ServiceName]currentHolds
	// granted are the delegations by process. Only those of appointed processes are extended.
	granted   map[string]*standbyDelegation
	appointed map[string]bool
}

// currentHolds are the current holds of one service.
type currentHolds struct {
	version uint64
	holds   []owner.Hold
}

// standbyDelegation is the delegation of one process.
type standbyDelegation struct {
	link         *link
	until        time.Time
	holdVersions map[routing.ServiceName]uint64
	// lastReportAt is when the process's last report was received.
	lastReportAt time.Time
	// linkLost is set once the link is lost. mayHaveRenewedUntil is the time up to which renewals
	// by the standby alone may have been in progress.
	linkLost            bool
	mayHaveRenewedUntil time.Time
}

// standbySilenceLimit is the silence after which a standby may have lost the leader. It is shorter
// than the silence after which the standby itself considers the leader lost.
const standbySilenceLimit = SilenceLimit - 2*heartbeatInterval

// mayRenewAlone reports whether the standby may renew without the leader now.
func (d *standbyDelegation) mayRenewAlone(now time.Time) bool {
	return d.linkLost || now.Sub(d.lastReportAt) > standbySilenceLimit
}

// holdsInterval is the pause between messages that contain all holds. Fences change with each order
// that is not answered, and a standby does not renew what it does not know.
const holdsInterval = time.Second

// renewalTimeout is how long a renewal of a standby may be in progress.
const renewalTimeout = 700 * time.Millisecond

func (s *standbys) reset() {
	*s = standbys{
		holds: map[routing.ServiceName]currentHolds{}, granted: map[string]*standbyDelegation{}, appointed: map[string]bool{},
	}
}

// extend extends the delegation of a link's process. It returns nil if the limit has passed, or if
// the process is no longer a standby and has no delegation left. The delegation grants nothing
// until the process has sent a stamp.
func (s *standbys) extend(l *link, now time.Time) *Delegation {
	if !s.appointed[l.hello.Process] {
		return s.replacedDelegation(l, now)
	}
	remaining := s.limit.Sub(now)
	if remaining <= 0 {
		return nil
	}
	delegation := &Delegation{Stamp: l.stamp, RemainingMillis: remaining.Milliseconds()}
	if l.stamp == 0 {
		return delegation // requests a stamp; grants nothing
	}
	granted := s.granted[l.hello.Process]
	if granted == nil || granted.link != l {
		granted = s.moveToLink(granted, l, now)
	}
	granted.until = s.limit
	if now.Sub(l.holdsSentAt) >= holdsInterval {
		delegation.Services = s.changedHolds(l, now)
	}
	return delegation
}

// replacedDelegation returns the remaining delegation of a standby that is no longer appointed, or
// nil if it has none. It still contains changed holds, because the leader waits for a standby that
// does not know that a hold has ended. Without them, a standby kept the keys of a crashed worker
// from 34.3 s to 47.4 s of a run, for 13 s after its appointment had ended.
func (s *standbys) replacedDelegation(l *link, now time.Time) *Delegation {
	granted := s.granted[l.hello.Process]
	if granted == nil || granted.link != l || !now.Before(granted.until) {
		return nil
	}
	delegation := &Delegation{Stamp: l.stamp, RemainingMillis: granted.until.Sub(now).Milliseconds()}
	if now.Sub(l.holdsSentAt) >= holdsInterval {
		delegation.Services = s.changedHolds(l, now)
	}
	return delegation
}

// changedHolds returns the holds that a link was not sent yet.
func (s *standbys) changedHolds(l *link, now time.Time) []ServiceHolds {
	var changed []ServiceHolds
	for service, current := range s.holds {
		if l.holdVersions[service] != current.version {
			l.holdVersions[service], l.holdsSentAt = current.version, now
			changed = append(changed, EncodeHolds(service, current.version, current.holds))
		}
	}
	return changed
}

// moveToLink moves a delegation to a new link. Renewals that the process may have made alone before
// are taken into account.
func (s *standbys) moveToLink(previous *standbyDelegation, l *link, now time.Time) *standbyDelegation {
	granted := &standbyDelegation{link: l, holdVersions: map[routing.ServiceName]uint64{}, lastReportAt: now}
	if previous != nil {
		granted.until, granted.holdVersions, granted.mayHaveRenewedUntil = previous.until, previous.holdVersions, previous.mayHaveRenewedUntil
		if previous.mayRenewAlone(now) {
			granted.mayHaveRenewedUntil = now.Add(renewalTimeout)
		}
	}
	s.granted[l.hello.Process] = granted
	return granted
}

// markLinkLost records that a link is lost.
func (s *standbys) markLinkLost(l *link) {
	if granted := s.granted[l.hello.Process]; granted != nil && granted.link == l {
		granted.linkLost = true
	}
}

// end ends the delegation of a process that has ended by now: at most a last renewal is still in progress.
func (s *standbys) end(process string, now time.Time) {
	granted := s.granted[process]
	if granted == nil {
		return
	}
	if granted.mayRenewAlone(now) {
		granted.mayHaveRenewedUntil = earlier(now, granted.until).Add(renewalTimeout)
	}
	granted.linkLost, granted.until = true, earlier(granted.until, now.Add(renewalTimeout))
}

// lost returns the standbys whose link is lost and whose delegation lasts.
func (s *standbys) lost(now time.Time) []Peer {
	var list []Peer
	for process, granted := range s.granted {
		if granted.linkLost && now.Add(renewalTimeout).Before(granted.until) {
			list = append(list, Peer{Process: process, Address: granted.link.hello.Address})
		}
	}
	return list
}

// ownerDelegations returns the delegations of the standbys for a service's holds.
func (s *standbys) ownerDelegations(service routing.ServiceName, now time.Time) []owner.Delegation {
	list := make([]owner.Delegation, 0, len(s.granted))
	for _, granted := range s.granted {
		if granted.mayRenewAlone(now) {
			granted.mayHaveRenewedUntil = earlier(now, granted.until).Add(renewalTimeout)
		}
		list = append(list, owner.Delegation{KnownVersion: granted.holdVersions[service], Until: granted.until, LastRenewal: granted.mayHaveRenewedUntil})
	}
	return list
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// recordStandbyReport records the stamp and the hold versions of a report.
func (h *Hub) recordStandbyReport(l *link, report Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.stamp = report.Stamp
	granted := h.standbys.granted[l.hello.Process]
	if granted == nil || granted.link != l {
		return
	}
	granted.lastReportAt = clock.Now()
	for service, version := range report.HoldVersions {
		granted.holdVersions[service] = max(granted.holdVersions[service], version)
	}
}

// Peers returns the linked processes, the strongest first.
func (h *Hub) Peers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clock.Now()
	peers := make([]Peer, 0, len(h.links))
	for l := range h.links {
		if l.hello.Process != "" && l.contact.current(now) != CutOff {
			peers = append(peers, Peer{
				Process: l.hello.Process, Address: l.hello.Address, Zone: l.hello.Zone, Strength: l.hello.Strength,
			})
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int {
		switch {
		case a.Strength > b.Strength, a.Strength == b.Strength && a.Address < b.Address:
			return -1
		case a == b:
			return 0
		}
		return 1
	})
	return peers
}

// LostStandbys returns the standbys whose link is lost and which may still renew holds.
func (h *Hub) LostStandbys(now time.Time) []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standbys.lost(now)
}

// EndDelegation ends the delegation of a process that is known to have ended.
func (h *Hub) EndDelegation(process string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.end(process, now)
}

// AppointStandbys replaces the set of standbys. Delegations of other processes are no longer
// extended.
func (h *Hub) AppointStandbys(processes []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.appointed = map[string]bool{}
	for _, process := range processes {
		h.standbys.appointed[process] = true
	}
	h.wakeAll()
}

// SetDelegationLimit sets when all delegations end at the latest.
func (h *Hub) SetDelegationLimit(limit time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.limit = limit
}

// PublishHolds sets the holds of a service and sends them to the standbys.
func (h *Hub) PublishHolds(service routing.ServiceName, version uint64, holds []owner.Hold) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.holds[service] = currentHolds{version: version, holds: holds}
	for l := range h.links {
		granted := h.standbys.granted[l.hello.Process]
		if h.standbys.appointed[l.hello.Process] || (granted != nil && granted.link == l) {
			l.signal()
		}
	}
}

// Delegations returns the delegations of the standbys for a service's holds.
func (h *Hub) Delegations(service routing.ServiceName) []owner.Delegation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standbys.ownerDelegations(service, clock.Now())
}

// HadDelegation reports whether a process may have renewed holds at a time or later.
func (h *Hub) HadDelegation(process string, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	granted := h.standbys.granted[process]
	return granted != nil && !since.After(granted.until.Add(renewalTimeout))
}
