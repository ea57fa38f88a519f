package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// HandleReport handles a router's report.
func (c *Coordinator) HandleReport(now time.Time, report Report) {
	if report.Term > c.term {
		return
	}
	m := c.members[report.Node]
	if m != nil && m.startTime != report.StartTime {
		if report.StartTime < m.startTime {
			return
		}
		c.memberRestarted(report.startedBy(now), m)
		m = nil
	}
	neverGranted := report.Term == 0 && report.Full // no leader has granted it anything in this incarnation
	switch {
	case report.Term < c.term && !neverGranted, m == nil && !report.Full:
		c.requestFullReport(report.Node, report.StartTime)
		return
	case m == nil:
		m = c.join(now, report)
	case report.Sequence <= m.lastReport:
		return
	case report.Sequence != m.lastReport+1 && !report.Full:
		c.requestFullReport(report.Node, report.StartTime)
		return
	}
	if report.Full {
		delete(c.fullReportRequests, report.Node)
		c.addReported(now, m, report)
	}
	m.lastReport, m.stamp, m.stampReceivedAt = report.Sequence, report.Stamp, now
	c.updateUse(now, m, report)
}

// requestFullReport asks a router for a full report with the next grants.
func (c *Coordinator) requestFullReport(node string, startTime int64) {
	if request := c.fullReportRequests[node]; request != nil && request.startTime >= startTime {
		return
	}
	c.fullReportRequests[node] = &fullReportRequest{startTime: startTime, due: true}
}

// join adds a router as a member. What it holds was granted by a previous leader.
func (c *Coordinator) join(now time.Time, report Report) *member {
	m := &member{
		node: report.Node, startTime: report.StartTime, leaseEnd: now.Add(Lease), floorLeaseEnd: now.Add(FloorLease),
		holdings: map[routing.TenantName]*holding{},
	}
	c.members[m.node] = m
	c.recordJoined(now, report)
	for _, p := range c.pools {
		p.dirty = true
	}
	return m
}

// addReported adds units that a router reports, and that this leader has not granted, to the
// outstanding ones.
func (c *Coordinator) addReported(now time.Time, m *member, report Report) {
	for name, use := range report.Tenants {
		p := c.pools[name]
		if p == nil || m.holdings[name] != nil {
			continue
		}
		h := &holding{units: use.credit(), outstanding: use.credit(), floor: use.floor()}
		m.holdings[name] = h
		c.setUnits(m, h, use.creditUnder(p.limit))
		p.addOutstanding(use.credit(), use.floor())
		if !p.countedReporters[m.node] { // a repeated report was counted before
			p.countedReporters[m.node] = true
			p.reportedUnits += max(use.credit(), use.used())
			p.reportedFloorUnits += use.floor()
		}
		c.addExpiring(now.Add(c.bound.reuseDelay()), name, use.used()-use.credit(), 0)
	}
}

// addOutstanding adds to the outstanding units and floors.
func (p *pool) addOutstanding(units, floors int) {
	p.outstanding += units
	p.floorUnits += floors
}

// addExpiring adds outstanding units that are released at a time.
func (c *Coordinator) addExpiring(at time.Time, name routing.TenantName, units, floors int) {
	if p := c.pools[name]; p != nil && units > 0 {
		p.addOutstanding(units, floors)
		c.expiring = append(c.expiring, expiringUnits{at: at, tenant: name, units: units, floorUnits: floors})
	}
}

// updateUse takes over the use that a member reports, and what it has acknowledged.
func (c *Coordinator) updateUse(now time.Time, m *member, report Report) {
	for name, h := range m.holdings {
		use, listed := report.Tenants[name]
		if !listed && !report.Full {
			continue
		}
		h.used, h.shortfall = use.used(), use.shortfall()
		if h.grantSequence > report.Ack {
			continue
		}
		if report.Full && report.Ack == m.lastGrant { // it has lost units, and no grant that restores them is on its way
			h.floor = min(h.floor, use.floor())
			h.units = min(h.units, use.credit())
			c.setUnits(m, h, min(h.units, use.creditUnder(c.pools[name].limit)))
		}
		c.releaseExcess(now, name, h)
	}
	for name, use := range report.Tenants {
		p := c.pools[name]
		if p == nil {
			continue
		}
		h := m.holding(name)
		h.used, h.shortfall = use.used(), use.shortfall()
		p.dirty = true
	}
	m.ackedGrant = max(m.ackedGrant, report.Ack)
}

// holding returns a member's holding of a tenant, which it creates if needed.
func (m *member) holding(name routing.TenantName) *holding {
	h := m.holdings[name]
	if h == nil {
		h = &holding{}
		m.holdings[name] = h
	}
	return h
}

// releaseExcess lowers the outstanding units of a router that has reported its use since it applied
// the last grant to what it holds. Units in use beyond that are released once the reuse delay has
// passed.
func (c *Coordinator) releaseExcess(now time.Time, name routing.TenantName, h *holding) {
	p := c.pools[name]
	excess := h.outstanding - h.units
	if excess <= 0 {
		return
	}
	p.addOutstanding(-excess, 0)
	h.outstanding = h.units
	c.addExpiring(now.Add(c.bound.reuseDelay()), name, h.used-h.units, 0)
}
