package owner

import (
	"fmt"
	"time"
)

// modelStandby renews holds on its own. The leader of a term knows its leave.
type modelStandby struct {
	pure    *Standby
	mandate Delegation
	term    Term
}

// fromStandby marks orders of the standby.
const fromStandby = -1

// standbyChoices are what the standby may do next.
func (m *model) standbyChoices() []string {
	var list []string
	if m.bounds.tellings > 0 {
		for index, one := range m.leaders {
			if !one.dead && !m.now.After(one.authority.Add(modelConfig.RenewalGrace)) {
				list = append(list, fmt.Sprintf("tell-standby %d", index))
			}
		}
	}
	if m.bounds.renewals > 0 && m.standbyMayRenew() {
		list = append(list, "standby-renews 0")
	}
	return list
}

func (m *model) standbyMayRenew() bool {
	holds := m.standby.pure.holds
	return len(holds) > 0 && !holds[0].busy && !m.now.After(m.standby.pure.until)
}

// tellStandby is what a leader does for a standby that it reaches.
func (m *model) tellStandby(from *modelLeader) {
	until := from.authority.Add(modelConfig.RenewalGrace)
	m.standby.pure.SetHolds(from.term, from.book.HoldsVersion(), from.book.Holds(), until)
	if m.standby.pure.term != from.term {
		return // it was asked to stop
	}
	renewed := m.standby.mandate.LastRenewal
	if m.standby.term != from.term {
		renewed = time.Time{}
	}
	m.standby.term = from.term
	m.standby.mandate = Delegation{KnownVersion: from.book.HoldsVersion(), Until: until, LastRenewal: renewed}
	from.book.SetDelegations([]Delegation{m.standby.mandate})
}

// renewByStandby sends a renewal whenever the standby may, lost leader or not.
func (m *model) renewByStandby() {
	one := m.standby.pure.holds[0]
	one.busy = true
	grant := Grant{Keys: one.Keys, Fence: one.Fence, Hold: modelConfig.Hold}
	renewal := Renewal{Target: one.Target, Grant: grant, sentAt: m.now, hold: one}
	order := Order{Target: one.Target, Keys: one.Keys, Fence: one.Fence, Grant: grant, sentAt: m.now}
	m.orders = append(m.orders, &modelOrder{order: order, renewal: renewal, leader: fromStandby, born: one.Target.Incarnation})
	m.standby.mandate.LastRenewal = m.now
	for _, leader := range m.leaders {
		if leader.term == m.standby.term {
			leader.book.SetDelegations([]Delegation{m.standby.mandate})
		}
	}
}

// stopAll is what the answers to a next leader's questions prove: the leader before
// and the standby have stopped, and nothing of theirs is under way but late orders.
func (m *model) stopAll() {
	for _, one := range m.leaders {
		one.dead = true
	}
	m.standby.pure.Revoke(Term(len(m.leaders) + 1))
}
