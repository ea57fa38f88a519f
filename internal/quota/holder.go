package quota

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/routing"
)

// Holder is the router's side: it holds credits and spends their units. It is safe for concurrent
// use.
type Holder struct {
	node      string
	startTime int64
	bound     Bound
	// epoch is the origin of all times that are kept as durations here.
	epoch time.Time
	// reportTrigger receives a value when a report should be sent soon.
	reportTrigger chan struct{}

	mu       sync.Mutex
	accounts map[routing.TenantName]*account
	term     owner.Term
	// applied is the sequence number of the newest applied grant, and acked that of the newest one
	// that was acknowledged.
	applied, acked uint64
	sequence       uint64
	fullReportDue  bool
	// leaseEnd and floorLeaseEnd are when the leases end, and reportedAt is when the last report
	// was sent.
	leaseEnd, floorLeaseEnd, reportedAt time.Duration
	// withheldUntil is the time until which a leader that has taken over recently withholds units.
	withheldUntil time.Duration
}

// account is what a router holds of one tenant.
type account struct {
	tenant *routing.Tenant
	// limit is the number of units that the configuration in force here allows.
	limit         int
	grantedCredit Credit
	window        windowCounter
	// reportedUse is the use in the last report. mustReport is true if the use must be in the next
	// report, since the credit was changed: the leader then releases units that need not stay
	// outstanding.
	reportedUse int
	reportedAt  time.Duration
	mustReport  bool
	// refused counts requests that were refused, granted those that were admitted, and shortfall
	// the attempts that found no unit since the last report.
	refused, granted uint64
	shortfall        int
	// shortfallReported is true if the last report included a shortfall, so that the next one need
	// not be triggered.
	shortfallReported bool
	// raised is closed once the credit is raised; nil if no caller waits for that. Until overUntil
	// no caller may wait.
	raised    chan struct{}
	overUntil time.Duration
}

// NewHolder returns the holder of a router that holds nothing yet.
func NewHolder(now time.Time, node string, startTime int64, bound Bound) *Holder {
	h := &Holder{
		node: node, startTime: startTime, bound: bound, epoch: now, reportTrigger: make(chan struct{}, 1),
		accounts: map[routing.TenantName]*account{}, fullReportDue: true,
	}
	h.Linked()
	return h
}

// Linked triggers a report at once after a new link is established: the process at its other end
// may not know of this router.
func (h *Holder) Linked() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedAt = -renewInterval
	h.TriggerReport()
}

// ReportTriggered returns a channel that receives a value when a report should be sent before the
// next regular one is due.
func (h *Holder) ReportTriggered() <-chan struct{} { return h.reportTrigger }

// TriggerReport requests an early report.
func (h *Holder) TriggerReport() {
	select {
	case h.reportTrigger <- struct{}{}:
	default:
	}
}

// Acquire spends a unit for a request of a tenant. If there is none, wait is the time until one is
// likely to be free here.
func (h *Holder) Acquire(now time.Time, tenant *routing.Tenant) (granted bool, wait time.Duration) {
	at := now.Sub(h.epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(tenant)
	a.window.advance(at)
	credit := h.credit(a, at)
	if a.window.used >= credit {
		if a.shortfall++; !a.shortfallReported {
			h.TriggerReport()
		}
		return false, h.wait(a, at, credit)
	}
	a.window.add()
	a.granted++
	if a.window.used == credit && a.reportedUse != credit && !a.shortfallReported {
		h.TriggerReport()
	}
	return true, 0
}

// firstCreditWait is how long callers are asked to wait if the router holds no credit: the round
// trip to the leader.
const firstCreditWait = 500 * time.Millisecond

// wait returns the time until a unit of a tenant is likely to be free. If there is no credit
// because a leader that has taken over recently withholds units, callers should retry once it
// grants them, so that they are not refused a second time. If all of them retried at once they
// would exceed what a window allows, so the retries are spread over a quarter of a window. h.mu
// must be held.
func (h *Holder) wait(a *account, at time.Duration, credit int) time.Duration {
	switch {
	case credit > 0:
		return a.window.untilFree(at)
	case at < h.withheldUntil:
		spread := time.Duration(a.refused%spreadSteps) * h.bound.Window / spreadSteps / 4
		return h.withheldUntil - at + firstCreditWait + spread
	}
	return firstCreditWait
}

// spreadSteps is the number of distinct retry times.
const spreadSteps = 16

// CreditRaised returns a channel that is closed once a tenant's credit is raised here; nil while
// its callers must not wait for that, since units were missing recently.
func (h *Holder) CreditRaised(now time.Time, tenant *routing.Tenant) <-chan struct{} {
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

// AwaitsFirstGrant reports whether no leader has granted anything since this process started, so that
// it can't know whether a tenant is over its limit.
func (h *Holder) AwaitsFirstGrant() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.floorLeaseEnd == 0
}

// RecordRefused counts a refused request. Its tenant counts as over its limit for overLimitFor,
// during which its callers don't wait for units, unless no leader has granted anything yet.
func (h *Holder) RecordRefused(now time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.account(tenant)
	a.refused++
	if h.floorLeaseEnd == 0 {
		return
	}
	a.overUntil = max(a.overUntil, now.Sub(h.epoch)+overLimitFor)
}

// overLimitFor is how long a tenant counts as over its limit at a router after a refusal. Callers
// wait in vain for units at most once in that time.
const overLimitFor = time.Second

// Release gives back a unit that was acquired at a time for a request that no worker has run or
// will run.
func (h *Holder) Release(acquiredAt time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[tenant.Name]; a != nil && a.window.remove(acquiredAt.Sub(h.epoch)) {
		a.granted--
	}
}

// RecordSent records that a request for which a unit was acquired is sent to a worker only now: the
// unit counts as spent now.
func (h *Holder) RecordSent(acquiredAt, now time.Time, tenant *routing.Tenant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[tenant.Name]
	if a == nil {
		return
	}
	a.window.remove(acquiredAt.Sub(h.epoch))
	a.window.advance(now.Sub(h.epoch))
	a.window.add()
}

// account returns a tenant's account, which it creates if needed. h.mu must be held.
func (h *Holder) account(tenant *routing.Tenant) *account {
	a := h.accounts[tenant.Name]
	if a == nil {
		a = &account{window: newWindowCounter(h.bound.slots())}
		h.accounts[tenant.Name] = a
	}
	if a.tenant != tenant {
		a.tenant, a.limit = tenant, h.bound.Allowed(tenant)
	}
	return a
}

// credit returns how many units of a tenant may be in use here. If the limit was lowered since the
// credit was granted, the credit is lowered in proportion. h.mu must be held.
func (h *Holder) credit(a *account, at time.Duration) int {
	units := a.grantedCredit.units()
	switch {
	case at >= h.floorLeaseEnd:
		return 0
	case at >= h.leaseEnd:
		units = min(units, a.grantedCredit.floor())
	}
	if limit := a.grantedCredit.limit(); a.limit < limit {
		units = units * a.limit / limit
	}
	return units
}

// SetTenants sets the tenants of the configuration that is in force here.
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
			h.fullReportDue = true // units of removed accounts are outstanding at the leader
		}
	}
}

// ApplyGrant applies a grant from the leader. Grants of earlier terms, and those to another node or
// incarnation, are ignored.
func (h *Holder) ApplyGrant(now time.Time, grant Grant) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if grant.Term < h.term || grant.Node != h.node || grant.StartTime != h.startTime {
		return
	}
	if grant.Term > h.term {
		h.term, h.applied, h.acked = grant.Term, 0, 0
		if !grant.FullReport { // that leader has a report that nothing is held here
			h.dropCredits()
		}
	}
	if grant.FullReport {
		h.fullReportDue = true
		h.TriggerReport()
	}
	if grant.Stamp > 0 {
		stamp := time.Duration(grant.Stamp) * time.Millisecond
		h.leaseEnd = max(h.leaseEnd, stamp+Lease-leaseMargin)
		h.floorLeaseEnd = max(h.floorLeaseEnd, stamp+FloorLease-leaseMargin)
	}
	h.withheldUntil = now.Sub(h.epoch) + time.Duration(grant.WithheldMillis)*time.Millisecond
	if grant.Sequence <= h.applied {
		return
	}
	h.applied = grant.Sequence
	for name, credit := range grant.Credits {
		h.setCredit(name, credit)
	}
}

// dropCredits sets all credits to zero. h.mu must be held.
func (h *Holder) dropCredits() {
	for _, a := range h.accounts {
		a.grantedCredit = Credit{}
	}
}

// setCredit sets the credit of a tenant. h.mu must be held.
func (h *Holder) setCredit(name routing.TenantName, credit Credit) {
	a := h.accounts[name]
	if a == nil {
		a = &account{tenant: nil, limit: credit.limit(), window: newWindowCounter(h.bound.slots())}
		h.accounts[name] = a
	}
	a.mustReport = true
	if credit.units() < a.grantedCredit.units() {
		h.TriggerReport()
	}
	if credit.units() > a.grantedCredit.units() && a.raised != nil {
		close(a.raised)
		a.raised = nil
	}
	a.grantedCredit = credit
}
