package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// fullReportGrants returns the grants that ask routers for a full report.
func (c *Coordinator) fullReportGrants(now time.Time) []Grant {
	var grants []Grant
	for _, node := range slices.Sorted(maps.Keys(c.fullReportRequests)) {
		request := c.fullReportRequests[node]
		if !request.due && now.Sub(request.sentAt) >= fullReportInterval {
			delete(c.fullReportRequests, node) // requested again if the router sends another report
			continue
		}
		if request.due {
			request.due, request.sentAt = false, now
			grants = append(grants, Grant{Node: node, StartTime: request.startTime, Term: c.term, FullReport: true})
		}
	}
	return grants
}

// grants returns the grants to members that are due.
func (c *Coordinator) grants(now time.Time) []Grant {
	var grants []Grant
	for _, node := range slices.Sorted(maps.Keys(c.members)) {
		if m := c.members[node]; m.due(now) {
			grants = append(grants, c.grant(now, m))
		}
	}
	return grants
}

// due reports whether a grant must be sent to a member.
func (m *member) due(now time.Time) bool {
	unacknowledged := m.lastGrant > m.ackedGrant && now.Sub(m.grantedAt) >= resendAfter
	renewalDue := m.stamp > m.echoedStamp && m.leaseEnd.Sub(now) < Lease-renewInterval/2
	return m.changed || unacknowledged || renewalDue || !m.firstGrantSent
}

// withheldUntil returns the time until which units are withheld that previous leaders may have
// granted.
func (c *Coordinator) withheldUntil() time.Time {
	until := c.startedAt.Add(c.bound.TakeoverDelay())
	if known, ok := c.priorGrantsKnown(); ok && known.Before(until) {
		return known
	}
	return until
}

// grant returns the next grant to a member, and extends its leases from the newest stamp.
func (c *Coordinator) grant(now time.Time, m *member) Grant {
	if m.stamp > m.echoedStamp {
		m.echoedStamp = m.stamp
		m.leaseEnd, m.floorLeaseEnd = m.stampReceivedAt.Add(Lease), m.stampReceivedAt.Add(FloorLease)
	}
	grant := Grant{Node: m.node, StartTime: m.startTime, Term: c.term, Stamp: m.stamp}
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
