package peerlink

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Peer is a linked process, as a standby is chosen by.
type Peer struct {
	Process  string
	Address  string
	Zone     string
	Strength float64
}

// standbys are the leader's view of the processes that may renew what is held. The
// hub's lock guards it.
type standbys struct {
	// limit is when any leave ends at the latest: the leader's own renewals end then.
	limit time.Time
	holds map[routing.ServiceName]currentHolds
	// given are the leaves by process; appointed those that get more.
	granted   map[string]*standbyMandate
	appointed map[string]bool
}

// currentHolds is what is held of one service.
type currentHolds struct {
	version uint64
	holds   []owner.Hold
}

// given is the leave of one process.
type standbyMandate struct {
	link         *link
	until        time.Time
	holdVersions map[routing.ServiceName]uint64
	// heardAt is when it was last heard.
	lastReportAt time.Time
	// down says that the link is lost. renewed is until when it was lost before.
	linkLost            bool
	mayHaveRenewedUntil time.Time
}

// standbySilenceLimit is how long a standby is silent until it may have lost the leader: less
// than its own patience.
const standbySilenceLimit = SilenceLimit - 2*heartbeatInterval

// alone reports whether the standby may renew by itself now.
func (g *standbyMandate) mayRenewAlone(now time.Time) bool {
	return g.linkLost || now.Sub(g.lastReportAt) > standbySilenceLimit
}

// holdsInterval is the pause between descriptions of all that is held: fences change with
// each order that has no answer, and what a standby does not know it does not renew.
const holdsInterval = time.Second

// renewalTimeout is how long a renewal of a standby may be under way.
const renewalTimeout = 700 * time.Millisecond

func (s *standbys) reset() {
	*s = standbys{
		holds: map[routing.ServiceName]currentHolds{}, granted: map[string]*standbyMandate{}, appointed: map[string]bool{},
	}
}

// mandate extends the leave of a link's process; nil if it is no standby, or has not
// sent a stamp yet.
func (s *standbys) extend(l *link, now time.Time) *Mandate {
	if !s.appointed[l.hello.Process] {
		return s.replacedMandate(l, now)
	}
	remaining := s.limit.Sub(now)
	if remaining <= 0 {
		return nil
	}
	mandate := &Mandate{Stamp: l.stamp, RemainingMillis: remaining.Milliseconds()}
	if l.stamp == 0 {
		return mandate // asks for a stamp; gives nothing
	}
	granted := s.granted[l.hello.Process]
	if granted == nil || granted.link != l {
		granted = s.moveToLink(granted, l, now)
	}
	granted.until = s.limit
	if now.Sub(l.holdsSentAt) >= holdsInterval {
		mandate.Services = s.changedHolds(l, now)
	}
	return mandate
}

// replaced tells a standby whose leave runs out what is held, nil if it has none: the leader
// waits for a standby that has not heard of a hold's end. Told nothing more, it kept the keys of
// a worker that crashed from 34.3 s to 47.4 s of a run of processes, 13 s after the end of its
// appointment.
func (s *standbys) replacedMandate(l *link, now time.Time) *Mandate {
	granted := s.granted[l.hello.Process]
	if granted == nil || granted.link != l || !now.Before(granted.until) {
		return nil
	}
	mandate := &Mandate{Stamp: l.stamp, RemainingMillis: granted.until.Sub(now).Milliseconds()}
	if now.Sub(l.holdsSentAt) >= holdsInterval {
		mandate.Services = s.changedHolds(l, now)
	}
	return mandate
}

// news describes the holds that a link has not heard.
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

// relink begins a leave over a new link. What the process did alone before is kept in
// mind.
func (s *standbys) moveToLink(previous *standbyMandate, l *link, now time.Time) *standbyMandate {
	granted := &standbyMandate{link: l, holdVersions: map[routing.ServiceName]uint64{}, lastReportAt: now}
	if previous != nil {
		granted.until, granted.holdVersions, granted.mayHaveRenewedUntil = previous.until, previous.holdVersions, previous.mayHaveRenewedUntil
		if previous.mayRenewAlone(now) {
			granted.mayHaveRenewedUntil = now.Add(renewalTimeout)
		}
	}
	s.granted[l.hello.Process] = granted
	return granted
}

// lost notes that a link is down.
func (s *standbys) markLinkLost(l *link) {
	if granted := s.granted[l.hello.Process]; granted != nil && granted.link == l {
		granted.linkLost = true
	}
}

// mandates returns what the standbys may do with a service's holds.
func (s *standbys) ownerMandates(service routing.ServiceName, now time.Time) []owner.Mandate {
	list := make([]owner.Mandate, 0, len(s.granted))
	for _, granted := range s.granted {
		if granted.mayRenewAlone(now) {
			granted.mayHaveRenewedUntil = earlier(now, granted.until).Add(renewalTimeout)
		}
		list = append(list, owner.Mandate{Heard: granted.holdVersions[service], Until: granted.until, Renewed: granted.mayHaveRenewedUntil})
	}
	return list
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// stamped takes a standby's report.
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

// Peers lists the linked processes, the strongest first.
func (h *Hub) Peers() []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	peers := make([]Peer, 0, len(h.links))
	for l := range h.links {
		if l.hello.Process != "" {
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

// Appoint names the processes that are standbys from now on. Leaves that were given to
// others run out.
func (h *Hub) AppointStandbys(processes []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.appointed = map[string]bool{}
	for _, process := range processes {
		h.standbys.appointed[process] = true
	}
	h.wakeAll()
}

// SetLimit sets when leaves end at the latest.
func (h *Hub) SetMandateLimit(limit time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.standbys.limit = limit
}

// PublishHolds tells the standbys what is held of a service.
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

// Mandates returns what the standbys may do with a service's holds.
func (h *Hub) Mandates(service routing.ServiceName) []owner.Mandate {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.standbys.ownerMandates(service, clock.Now())
}

// HasLeave reports whether a process may still renew, or have a renewal under way.
func (h *Hub) HasMandate(process string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	granted := h.standbys.granted[process]
	return granted != nil && !now.After(granted.until.Add(renewalTimeout))
}
