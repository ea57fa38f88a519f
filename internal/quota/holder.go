package quota

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Holder is the router's side. It is safe for concurrent use.
type Holder struct {
	node  string
	life  int64
	bound Bound
	// epoch is the zero of all times here.
	epoch time.Time
	// urgent gets a token when something is to be told soon.
	urgent chan struct{}

	mu       sync.Mutex
	accounts map[routing.TenantName]*account
	term     owner.Term
	// applied is the newest grant that was taken, and acked the newest that was told of.
	applied, acked uint64
	number         uint64
	tellAll        bool
	// lease and floorLease are when they end, and toldAt is when a stamp was sent last.
	lease, floorLease, toldAt time.Duration
	// withheld is until when a leader that began lately withholds units.
	withheld time.Duration
}

// account is what a router holds of one tenant.
type account struct {
	tenant *routing.Tenant
	// limit is how many units are allowed by the configuration in force here.
	limit int
	given Credit
	spent spent
	// told is the use that was told last. mustTell says that the use must be told with the
	// next message, since the credit was changed and the leader frees what it need not book.
	told     int
	toldAt   time.Duration
	mustTell bool
	// refused counts requests beyond the credit, and short those since the last message.
	refused, granted uint64
	short            int
	// knownShort says that the last message told of refused requests: the next report is soon
	// enough then.
	knownShort bool
	// raised is closed once there is more credit; nil if nobody waits for it. Until overUntil
	// nobody is to.
	raised    chan struct{}
	overUntil time.Duration
}

// NewHolder returns the side of a router that holds nothing yet.
func NewHolder(now time.Time, node string, life int64, bound Bound) *Holder {
	h := &Holder{
		node: node, life: life, bound: bound, epoch: now, urgent: make(chan struct{}, 1),
		accounts: map[routing.TenantName]*account{}, tellAll: true,
	}
	h.Linked()
	return h
}

// Linked lets the next message go at once: whoever hears it may not know of this router.
func (h *Holder) Linked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.toldAt = -renewEvery
	h.TriggerReport()
}

// Urgent gets a token when something is to be told before the next report is due.
func (h *Holder) ReportTriggered() <-chan struct{} { return h.urgent }

// Hurry asks for the next report soon.
func (h *Holder) TriggerReport() {
	select {
	case h.urgent <- struct{}{}:
	default:
	}
}

// Take spends a unit for a request of a tenant. If there is none, wait is until one is in use
// again here.
func (h *Holder) Take(now time.Time, tenant *routing.Tenant) (granted bool, wait time.Duration) {
	at := now.Sub(h.epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(tenant)
	a.spent.advance(at)
	credit := h.credit(a, at)
	if a.spent.used >= credit {
		if a.short++; !a.knownShort {
			h.TriggerReport()
		}
		return false, h.wait(a, at, credit)
	}
	a.spent.add()
	a.granted++
	if a.spent.used == credit && a.told != credit && !a.knownShort {
		h.TriggerReport()
	}
	return true, 0
}

// firstCredit is what a caller waits for where the router holds no credit: the way to the
// leader and back.
const firstCredit = 500 * time.Millisecond

// wait is until a unit of a tenant is likely to be free. Where there is none since a leader began
// lately, callers come back once it gives what it withholds, and not to be refused once more: all
// at once they would ask for more than a window has, so that they are spread over a quarter of one. The caller
// holds mu.
func (h *Holder) wait(a *account, at time.Duration, credit int) time.Duration {
	switch {
	case credit > 0:
		return a.spent.free(at)
	case at < h.withheld:
		spread := time.Duration(a.refused%spreadSteps) * h.bound.Window / spreadSteps / 4
		return h.withheld - at + firstCredit + spread
	}
	return firstCredit
}

// spreadSteps is among how many moments callers are spread.
const spreadSteps = 16

// Await returns what is closed once a tenant gets more units here; nil while its callers are not
// to wait for that, since units were missing lately.
func (h *Holder) Await(now time.Time, tenant *routing.Tenant) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(tenant)
	if now.Sub(h.epoch) < a.overUntil {
		return nil
	}
	if a.raised == nil {
		a.raised = make(chan struct{})
	}
	return a.raised
}

// Refused counts a request that was refused. Its tenant is taken to be over its limit for a
// while, in which its callers wait for nothing.
func (h *Holder) Refused(now time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(tenant)
	a.refused++
	a.overUntil = max(a.overUntil, now.Sub(h.epoch)+overFor)
}

// overFor is how long a tenant counts as over its limit at a router after a refusal. Callers
// wait for units in vain once in that time at most.
const overFor = time.Second

// Return gives back what was taken at a time for a request that no worker has run or will run.
func (h *Holder) Return(taken time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[tenant.Name]; a != nil && a.spent.giveBack(taken.Sub(h.epoch)) {
		a.granted--
	}
}

// Sent says that a request for which a unit was taken leaves for a worker only now: the unit
// rests from now on.
func (h *Holder) Sent(taken, now time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[tenant.Name]
	if a == nil {
		return
	}
	a.spent.giveBack(taken.Sub(h.epoch))
	a.spent.advance(now.Sub(h.epoch))
	a.spent.add()
}

// account returns a tenant's account. The caller holds mu.
func (h *Holder) account(tenant *routing.Tenant) *account {
	a := h.accounts[tenant.Name]
	if a == nil {
		a = &account{spent: newSpent(h.bound.slots())}
		h.accounts[tenant.Name] = a
	}
	if a.tenant != tenant {
		a.tenant, a.limit = tenant, h.bound.Allowed(tenant)
	}
	return a
}

// credit is how many units of a tenant may be in use here. Where the limit was lowered since
// the credit was given, it is lowered alike. The caller holds mu.
func (h *Holder) credit(a *account, at time.Duration) int {
	units := a.given.units()
	switch {
	case at >= h.floorLease:
		return 0
	case at >= h.lease:
		units = min(units, a.given.floor())
	}
	if limit := a.given.limit(); a.limit < limit {
		units = units * a.limit / limit
	}
	return units
}

// Use takes the tenants of the configuration that is in force here.
func (h *Holder) SetTenants(tenants map[routing.TenantName]*routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, tenant := range tenants {
		if tenant.Limited() {
			h.account(tenant)
		}
	}
	for name := range h.accounts {
		if tenant := tenants[name]; tenant == nil || !tenant.Limited() {
			delete(h.accounts, name)
			h.tellAll = true // the leader books units that are gone
		}
	}
}

// Granted takes a message of the leader's.
func (h *Holder) ApplyGrant(now time.Time, grant Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if grant.Term < h.term || grant.Node != h.node || grant.Incarnation != h.life {
		return
	}
	if grant.Term > h.term {
		h.term, h.applied, h.acked = grant.Term, 0, 0
		if !grant.FullReport { // that leader was told that nothing is held here
			h.drop()
		}
	}
	if grant.FullReport {
		h.tellAll = true
		h.TriggerReport()
	}
	if grant.Stamp > 0 {
		stamp := time.Duration(grant.Stamp) * time.Millisecond
		h.lease = max(h.lease, stamp+Lease-leaseGuard)
		h.floorLease = max(h.floorLease, stamp+FloorLease-leaseGuard)
	}
	h.withheld = now.Sub(h.epoch) + time.Duration(grant.WithheldMillis)*time.Millisecond
	if grant.Sequence <= h.applied {
		return
	}
	h.applied = grant.Sequence
	for name, credit := range grant.Credits {
		h.give(name, credit)
	}
}

// drop gives all credits up. The caller holds mu.
func (h *Holder) drop() {
	for _, a := range h.accounts {
		a.given = Credit{}
	}
}

// give sets the credit of a tenant. The caller holds mu.
func (h *Holder) give(name routing.TenantName, credit Credit) {
	a := h.accounts[name]
	if a == nil {
		a = &account{tenant: nil, limit: credit.limit(), spent: newSpent(h.bound.slots())}
		h.accounts[name] = a
	}
	a.mustTell = true
	if credit.units() < a.given.units() {
		h.TriggerReport()
	}
	if credit.units() > a.given.units() && a.raised != nil {
		close(a.raised)
		a.raised = nil
	}
	a.given = credit
}
