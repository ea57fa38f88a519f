package keeper

import (
	"context"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/topology"
)

const (
	// standbyCount is how many processes may renew for a leader that is lost.
	standbyCount = 2
	// appointEvery is the pause between looks whether they are linked still.
	appointEvery   = time.Second
	appointTimeout = time.Second
)

// standbys are the processes that the leader lets renew.
type standbys struct {
	next time.Time
	// stored are the processes of the record; storing says that it is being written.
	stored  []election.Renewer
	storing bool
	// appointed are the processes that get leaves.
	appointed []string
}

// renewersStored is the end of storing the processes that may renew.
type renewersStored struct {
	list []election.Renewer
	err  error
}

// appoint chooses standbys. A process gets no leave before it is stored, so that the
// next leader knows of it.
func (t *tenancy) appoint(now time.Time) {
	if t.standbys.storing || now.Before(t.standbys.next) {
		return
	}
	t.standbys.next = now.Add(appointEvery)
	wanted := chooseStandbys(t.Hub.Peers(), t.Zone, t.Regions)
	list := []election.Renewer{{Address: t.tenure.Leader.Address, Process: t.tenure.Leader.Process}}
	if now.Before(t.until) {
		list = append(list, t.Unresolved...)
	}
	missing := false
	processes := make([]string, 0, len(wanted))
	for _, one := range wanted {
		renewer := election.Renewer{Address: one.Address, Process: one.Process}
		list = append(list, renewer)
		processes = append(processes, one.Process)
		missing = missing || !slices.Contains(t.standbys.stored, renewer)
	}
	if !missing {
		t.grantLeaves(processes)
		return
	}
	// Those that had a leave keep their place until it has ended.
	for _, one := range t.standbys.stored {
		if t.Hub.HasDelegation(one.Process, now) && !slices.Contains(list, one) {
			list = append(list, one)
		}
	}
	t.standbys.storing = true
	go t.storeRenewers(list)
}

// grantLeaves appoints processes that are stored.
func (t *tenancy) grantLeaves(processes []string) {
	if !slices.Equal(processes, t.standbys.appointed) {
		t.standbys.appointed = processes
		t.Hub.AppointStandbys(processes)
	}
}

func (t *tenancy) storeRenewers(list []election.Renewer) {
	bounded, cancel := context.WithTimeout(t.ctx, appointTimeout)
	defer cancel()
	err := t.tenure.StoreRenewers(bounded, list)
	select {
	case t.renewers <- renewersStored{list: list, err: err}:
	case <-t.ctx.Done():
	}
}

// renewersWritten takes the end of a write. What is not known to be stored is written
// again at the next look.
func (t *tenancy) renewersWritten(done renewersStored) {
	t.standbys.storing = false
	if done.err == nil {
		t.standbys.stored = done.list
		t.standbys.next = time.Time{}
	}
}

// chooseStandbys takes the strongest processes, of zones of their own where it can, and those of
// the leader's region first: it was won near the store, which the next leader needs, and what
// standbys are told need not cross between regions.
func chooseStandbys(peers []peerlink.Peer, ownZone string, regions topology.Map) []peerlink.Peer {
	var chosen []peerlink.Peer
	zones := map[string]bool{ownZone: true}
	taken := map[string]bool{}
	take := func(fits func(one peerlink.Peer) bool) {
		for _, one := range peers {
			if len(chosen) < standbyCount && !taken[one.Process] && fits(one) {
				zones[one.Zone], taken[one.Process] = true, true
				chosen = append(chosen, one)
			}
		}
	}
	near := func(one peerlink.Peer) bool {
		return regions.Distance(topology.Zone(ownZone), topology.Zone(one.Zone)) < topology.OtherRegion
	}
	take(func(one peerlink.Peer) bool { return near(one) && !zones[one.Zone] })
	take(near)
	take(func(one peerlink.Peer) bool { return !zones[one.Zone] })
	take(func(peerlink.Peer) bool { return true })
	return chosen
}
