package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/topology"
)

const (
	// standbyCount is the number of processes that may renew holds after the leader is lost.
	standbyCount = 2
	// appointInterval is the interval at which the choice of standbys is reviewed.
	appointInterval = time.Second
	appointTimeout  = time.Second
	// lostStandbysInterval is the interval at which it is checked whether lost standbys have ended, and
	// lostStandbysTimeout bounds one check.
	lostStandbysInterval = 300 * time.Millisecond
	lostStandbysTimeout  = 400 * time.Millisecond
)

// standbys tracks the processes that the leader permits to renew holds.
type standbys struct {
	next time.Time
	// stored are the processes in the stored list of renewers. storing is true while it is written.
	stored  []election.Renewer
	storing bool
	// appointed are the processes that get delegations.
	appointed []string
	// nextCheck is when lost standbys are checked next.
	nextCheck time.Time
}

// includes reports whether a renewer is stored, with its term or one that makes the next leader wait as
// long.
func (s *standbys) includes(renewer election.Renewer) bool {
	return slices.ContainsFunc(s.stored, func(stored election.Renewer) bool {
		return stored.Same(renewer) && (stored.Term == 0 || stored.Term >= renewer.Term)
	})
}

// storeRenewersResult is the result of storing the list of renewers.
type storeRenewersResult struct {
	list []election.Renewer
	err  error
}

// appointStandbys chooses standbys. A process gets a delegation only after it is stored in the list
// of renewers, so that the next leader knows of it.
func (t *tenureKeeper) appointStandbys(now time.Time) {
	if t.standbys.storing || now.Before(t.standbys.next) {
		return
	}
	t.standbys.next = now.Add(appointInterval)
	wanted := chooseStandbys(t.Hub.Peers(), t.Zone, t.Regions)
	term := t.tenure.Leader.Term
	since := t.firstTerm(now)
	list := []election.Renewer{{Address: t.tenure.Leader.Address, Process: t.tenure.Leader.Process, Term: term, Since: since}}
	missing := false
	processes := make([]string, 0, len(wanted))
	for _, peer := range wanted {
		renewer := election.Renewer{Address: peer.Address, Process: peer.Process, Term: term, Since: since}
		list = append(list, renewer)
		processes = append(processes, peer.Process)
		missing = missing || !t.standbys.includes(renewer)
	}
	if !missing {
		t.grantDelegations(processes)
	}
	list = election.UniqueRenewers(append(list, t.pastRenewers(now, list)...))
	if missing || len(list) < len(t.standbys.stored) {
		t.standbys.storing = true
		go t.storeRenewers(list)
	}
}

// firstTerm returns the first term whose holds the entries of this tenure's renewers stand for; zero while
// they stand for processes that the list lacks.
func (t *tenureKeeper) firstTerm(now time.Time) owner.Term {
	if !t.tenure.RenewersComplete && now.Before(t.holdsUntil) {
		return 0
	}
	return t.tenure.Leader.Term
}

// checkLostStandbys ends the delegations of standbys that have ended: another process answers at their
// addresses. Keys would wait for these delegations and one more hold, up to 11 s.
func (t *tenureKeeper) checkLostStandbys(now time.Time) {
	if now.Before(t.standbys.nextCheck) {
		return
	}
	t.standbys.nextCheck = now.Add(lostStandbysInterval)
	for _, peer := range t.Hub.LostStandbys(now) {
		go func() {
			bounded, cancel := context.WithTimeout(t.ctx, lostStandbysTimeout)
			defer cancel()
			status, ok := peerlink.QueryLeadership(bounded, peer.Address, 0)
			if ok && status.Process != "" && status.Process != peer.Process {
				t.Hub.EndDelegation(peer.Process, clock.Now())
			}
		}()
	}
}

// pastRenewers returns the processes that renew no holds any more, or soon won't, but whose holds may
// still last. They stay in the list, since a later leader asks all processes in it when they have last
// renewed the hold of a worker.
func (t *tenureKeeper) pastRenewers(now time.Time, current []election.Renewer) []election.Renewer {
	var list []election.Renewer
	if now.Before(t.holdsUntil) {
		list = slices.Clone(t.tenure.PreviousRenewers)
	}
	for _, renewer := range t.standbys.stored {
		if t.Hub.HadDelegation(renewer.Process, now.Add(-t.Times.MaxHold())) && !slices.ContainsFunc(current, renewer.Same) {
			list = append(list, renewer)
		}
	}
	return list
}

// grantDelegations appoints processes that are stored as renewers.
func (t *tenureKeeper) grantDelegations(processes []string) {
	if !slices.Equal(processes, t.standbys.appointed) {
		t.standbys.appointed = processes
		t.Hub.AppointStandbys(processes)
	}
}

func (t *tenureKeeper) storeRenewers(list []election.Renewer) {
	bounded, cancel := context.WithTimeout(t.ctx, appointTimeout)
	defer cancel()
	err := t.tenure.StoreRenewers(bounded, list)
	select {
	case t.renewers <- storeRenewersResult{list: list, err: err}:
	case <-t.ctx.Done():
	}
}

// handleRenewersStored handles the result of a write. A list that is not known to be stored is
// written again after appointInterval.
func (t *tenureKeeper) handleRenewersStored(done storeRenewersResult) {
	t.standbys.storing = false
	if done.err == nil {
		t.standbys.stored = done.list
		t.standbys.next = time.Time{}
	}
}

// chooseStandbys chooses the strongest processes, where possible in different zones, and those of
// the leader's region first: the leader was elected near the store, which the next leader needs too,
// and updates to standbys then need not cross between regions.
func chooseStandbys(peers []peerlink.Peer, ownZone string, regions topology.Map) []peerlink.Peer {
	var chosen []peerlink.Peer
	zones := map[string]bool{ownZone: true}
	taken := map[string]bool{}
	take := func(fits func(peer peerlink.Peer) bool) {
		for _, peer := range peers {
			if len(chosen) < standbyCount && !taken[peer.Process] && fits(peer) {
				zones[peer.Zone], taken[peer.Process] = true, true
				chosen = append(chosen, peer)
			}
		}
	}
	near := func(peer peerlink.Peer) bool {
		return regions.Distance(topology.Zone(ownZone), topology.Zone(peer.Zone)) < topology.OtherRegion
	}
	take(func(peer peerlink.Peer) bool { return near(peer) && !zones[peer.Zone] })
	take(near)
	take(func(peer peerlink.Peer) bool { return !zones[peer.Zone] })
	take(func(peerlink.Peer) bool { return true })
	return chosen
}
