package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// Change says that a tenant asks for more than there is, or does so no longer.
type Change struct {
	Tenant routing.TenantName
	Over   bool
	// Limit is in units, of which Dealt are given to routers at most; Used of them are in use as routers told last, Booked may be in use
	// at most. Withheld are those that a new leader must not give yet.
	Limit, Allocatable, Used, Outstanding, Withheld int
	// Missing is how many units routers asked for and did not get.
	Missing int
	// Age is that of the oldest message that Used counts.
	Age time.Duration
}

// calmFor is for how long no unit must be missing until a tenant is within its limit again.
const calmFor = 5 * time.Second

// Changes returns what has changed since it was called last.
func (c *Coordinator) Changes() []Change {
	changes := c.changes
	c.changes = nil
	return changes
}

// judge notes whether a tenant asks for more than there is.
func (c *Coordinator) judge(now time.Time, name routing.TenantName, p *pool, missing int) {
	if missing > 0 {
		p.missed = now
	}
	over := missing > 0 || p.over && now.Sub(p.missed) < calmFor
	if over == p.over {
		return
	}
	p.over = over
	change := Change{
		Tenant: name, Over: over, Limit: p.limit, Allocatable: p.dealt, Outstanding: p.booked, Withheld: p.dealt - c.most(now, p), Missing: missing,
	}
	for _, m := range c.members {
		if h := m.holds[name]; h != nil {
			change.Used += h.used
			change.Age = max(change.Age, now.Sub(m.stampAt))
		}
	}
	c.changes = append(c.changes, change)
}
