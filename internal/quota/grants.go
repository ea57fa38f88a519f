package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// asks returns the messages to routers that must tell all.
func (c *Coordinator) asks(now time.Time) []Grant {
	var grants []Grant
	for _, node := range slices.Sorted(maps.Keys(c.asked)) {
		a := c.asked[node]
		if !a.due && now.Sub(a.at) >= askEvery {
			delete(c.asked, node) // asked again if it tells anything
			continue
		}
		if a.due {
			a.due, a.at = false, now
			grants = append(grants, Grant{Node: node, Incarnation: a.life, Term: c.term, FullReport: true})
		}
	}
	return grants
}

// grants returns the messages to members.
func (c *Coordinator) grants(now time.Time) []Grant {
	var grants []Grant
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[node]; m.due(now) {
			grants = append(grants, c.grant(now, m))
		}
	}
	return grants
}

// due reports whether a member is to be sent a grant.
func (m *member) due(now time.Time) bool {
	unheard := m.granted > m.acked && now.Sub(m.grantedAt) >= resendAfter
	renewed := m.stamp > m.echoed && m.until.Sub(now) < Lease-renewEvery/2
	return m.changed || unheard || renewed || !m.greeted
}

// withheldUntil is until when units are withheld that leaders before may have given.
func (c *Coordinator) withheldUntil() time.Time {
	until := c.opened.Add(c.bound.TakeoverDelay())
	if known, is := c.allKnown(); is && known.Before(until) {
		return known
	}
	return until
}

// grant makes the next message to a member, and extends its lease by the newest stamp.
func (c *Coordinator) grant(now time.Time, m *member) Grant {
	if m.stamp > m.echoed {
		m.echoed = m.stamp
		m.until, m.floorUntil = m.stampAt.Add(Lease), m.stampAt.Add(FloorLease)
	}
	grant := Grant{Node: m.node, Incarnation: m.life, Term: c.term, Stamp: m.stamp}
	if left := c.withheldUntil().Sub(now); left > 0 && !c.first {
		grant.WithheldMillis = left.Milliseconds()
	}
	m.greeted = true
	for name, h := range m.holds {
		if h.number > m.acked {
			if grant.Credits == nil {
				grant.Credits = map[routing.TenantName]Credit{}
			}
			grant.Credits[name] = Credit{h.units, c.pools[name].limit, h.floor}
		}
	}
	if len(grant.Credits) > 0 {
		m.granted++
		m.grantedAt, m.changed = now, false
	}
	grant.Sequence = m.granted
	return grant
}
