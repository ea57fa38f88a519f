package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// asks returns the messages to routers that must tell all.
func (c *Coordinator) fullReportGrants(now time.Time) []Grant {
	var grants []Grant
	for _, node := range slices.Sorted(maps.Keys(c.fullReportRequests)) {
		a := c.fullReportRequests[node]
		if !a.due && now.Sub(a.sentAt) >= fullReportInterval {
			delete(c.fullReportRequests, node) // asked again if it tells anything
			continue
		}
		if a.due {
			a.due, a.sentAt = false, now
			grants = append(grants, Grant{Node: node, Incarnation: a.incarnation, Term: c.term, FullReport: true})
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
	unacknowledged := m.lastGrant > m.ackedGrant && now.Sub(m.grantedAt) >= resendAfter
	renewalDue := m.stamp > m.echoedStamp && m.leaseEnd.Sub(now) < Lease-renewInterval/2
	return m.changed || unacknowledged || renewalDue || !m.firstGrantSent
}

// withheldUntil is until when units are withheld that leaders before may have given.
func (c *Coordinator) withheldUntil() time.Time {
	until := c.startedAt.Add(c.bound.TakeoverDelay())
	if known, ok := c.priorGrantsKnown(); ok && known.Before(until) {
		return known
	}
	return until
}

// grant makes the next message to a member, and extends its lease by the newest stamp.
func (c *Coordinator) grant(now time.Time, m *member) Grant {
	if m.stamp > m.echoedStamp {
		m.echoedStamp = m.stamp
		m.leaseEnd, m.floorLeaseEnd = m.stampReceivedAt.Add(Lease), m.stampReceivedAt.Add(FloorLease)
	}
	grant := Grant{Node: m.node, Incarnation: m.incarnation, Term: c.term, Stamp: m.stamp}
	if left := c.withheldUntil().Sub(now); left > 0 && !c.firstLeader {
		grant.WithheldMillis = left.Milliseconds()
	}
	m.firstGrantSent = true
	for name, h := range m.holdings {
		if h.grantSequence > m.ackedGrant {
			if grant.Credits == nil {
				grant.Credits = map[routing.TenantName]Credit{}
			}
			grant.Credits[name] = Credit{h.units, c.pools[name].limit, h.floor}
		}
	}
	if len(grant.Credits) > 0 {
		m.lastGrant++
		m.grantedAt, m.changed = now, false
	}
	grant.Sequence = m.lastGrant
	return grant
}
