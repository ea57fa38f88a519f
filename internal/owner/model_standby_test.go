package owner

import (
	"fmt"
	"time"
)

// modelStandby renews holds independently of the leader. The leader of the term knows its
// delegation.
type modelStandby struct {
	standby    *Standby
	delegation Delegation
	term       Term
}

// fromStandby is the leader index of orders that the standby sent.
const fromStandby = -1

// standbyChoices returns what the standby may do next.
func (m *model) standbyChoices() []string {
	var list []string
	if m.bounds.holdReports > 0 {
		for index, leader := range m.leaders {
			if !leader.dead && !m.now.After(leader.authority.Add(modelConfig.RenewalGrace)) {
				list = append(list, fmt.Sprintf("tell-standby %d", index))
			}
		}
	}
	if m.bounds.renewals > 0 && m.standbyCanRenew() {
		list = append(list, "standby-renews 0")
	}
	return list
}

func (m *model) standbyCanRenew() bool {
	holds := m.standby.standby.holds
	return len(holds) > 0 && !holds[0].inFlight && !m.now.After(m.standby.standby.until)
}

// sendHoldsToStandby does what a leader does for a standby that it can reach.
func (m *model) sendHoldsToStandby(from *modelLeader) {
	until := from.authority.Add(modelConfig.RenewalGrace)
	m.standby.standby.SetHolds(from.term, from.ledger.HoldsVersion(), from.ledger.Holds(), until)
	if m.standby.standby.term != from.term {
		return // its delegation was revoked
	}
	renewed := m.standby.delegation.LastRenewal
	if m.standby.term != from.term {
		renewed = time.Time{}
	}
	m.standby.term = from.term
	m.standby.delegation = Delegation{KnownVersion: from.ledger.HoldsVersion(), Until: until, LastRenewal: renewed}
	from.ledger.SetDelegations([]Delegation{m.standby.delegation})
}

// renewByStandby sends a renewal whenever the standby is allowed to, even if it has not lost the
// leader.
func (m *model) renewByStandby() {
	hold := m.standby.standby.holds[0]
	hold.inFlight = true
	grant := Grant{Keys: hold.Keys, Fence: hold.Fence, Hold: modelConfig.Hold}
	renewal := Renewal{Target: hold.Target, Grant: grant, sentAt: m.now, hold: hold}
	order := Order{Target: hold.Target, Keys: hold.Keys, Fence: hold.Fence, Grant: grant, sentAt: m.now}
	m.orders = append(m.orders, &modelOrder{order: order, renewal: renewal, leader: fromStandby, startTime: hold.Target.StartTime})
	m.standby.delegation.LastRenewal = m.now
	for _, leader := range m.leaders {
		if leader.term == m.standby.term {
			leader.ledger.SetDelegations([]Delegation{m.standby.delegation})
		}
	}
}

// revokeAll has the effect of the replies to a new leader's stop requests: they prove that the
// previous leaders and the standby have stopped, and that nothing they sent except delayed orders
// is still on its way.
func (m *model) revokeAll() {
	for _, leader := range m.leaders {
		leader.dead = true
	}
	m.standby.standby.Revoke(Term(len(m.leaders) + 1))
}

// limitInheritedHolds has the effect of replies that include when each worker was last sent a grant.
func (m *model) limitInheritedHolds() {
	ledger := m.leaders[len(m.leaders)-1].ledger
	for _, worker := range m.workers {
		ledger.LimitInheritedHolds(InheritedHold{Worker: worker.id, Term: ledger.term - 1}, modelConfig.HoldEnd(worker.lastGrantAt))
	}
}

// limitEarlierHolds has the effect of knowing when the holds have ended that leaders before earlier ones
// had granted.
func (m *model) limitEarlierHolds() {
	ledger := m.leaders[len(m.leaders)-1].ledger
	for _, leader := range m.leaders[1:] {
		for _, worker := range m.workers {
			ledger.LimitInheritedHolds(InheritedHold{Worker: worker.id, Term: leader.term - 1}, leader.inheritedUntil)
		}
	}
}

// renew renews the lease of the last leader if it can reach the store.
func (m *model) renew() {
	last := m.leaders[len(m.leaders)-1]
	if !last.storeUnreachable && !last.dead && m.now.Before(m.lease) {
		m.lease = m.now.Add(modelLease)
		last.authority = m.lease
	}
}
