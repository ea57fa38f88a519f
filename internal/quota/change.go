package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Change records that a tenant's demand began to exceed its limit, or no longer does.
type Change struct {
	Tenant routing.TenantName
	Over   bool
	// Limit is in units. Allocatable is how many of them may be granted to routers, Used how many
	// routers last reported as in use, and Outstanding how many may be in use. Withheld are those
	// that a new leader must not grant yet.
	Limit, Allocatable, Used, Outstanding, Withheld int
	// Missing is how many units routers needed and did not get.
	Missing int
	// Age is the time since the oldest report that Used includes was received.
	Age time.Duration
}

// withinLimitAfter is how long no unit must have been missing before a tenant counts as within its
// limit again.
const withinLimitAfter = 5 * time.Second

// Changes returns the changes since the last call.
func (c *Coordinator) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// updateOverLimit updates whether a tenant's demand exceeds its limit, given how many units are
// missing, and records a change.
func (c *Coordinator) updateOverLimit(now time.Time, name routing.TenantName, p *pool, missing int) {
	if missing > 0 {
		p.missingAt = now
	}
	over := missing > 0 || p.overLimit && now.Sub(p.missingAt) < withinLimitAfter
	if over == p.overLimit {
		return
	}
	p.overLimit = over
	change := Change{
		Tenant: name, Over: over, Limit: p.limit, Allocatable: p.allocatable, Outstanding: p.outstanding, Withheld: p.allocatable - c.maxOutstanding(now, p), Missing: missing,
	}
	for _, m := range c.members {
		if h := m.holdings[name]; h != nil {
			change.Used += h.used
			change.Age = max(change.Age, now.Sub(m.stampReceivedAt))
		}
	}
	c.changes = append(c.changes, change)
}
