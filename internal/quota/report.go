package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// decreaseReportInterval is the minimum interval between reports that a tenant uses less: no caller
// waits for them.
const decreaseReportInterval = time.Second

// reportDue reports whether the change of a tenant's use warrants a report: more than half of the
// units that were left at the last report have been spent, or the use is lower and
// decreaseReportInterval has passed.
func (a *account) reportDue(at time.Duration, credit int) bool {
	used := a.window.used
	if used > a.reportedUse {
		return 2*(credit-used) < credit-a.reportedUse
	}
	return used < a.reportedUse && at-a.reportedAt >= decreaseReportInterval
}

// Report returns the next report to the leader; nil if there is nothing to report.
func (h *Holder) Report(now time.Time) *Report {
	at := now.Sub(h.epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	report := Report{Node: h.node, StartTime: h.startTime, Term: h.term, Ack: h.applied, Stamp: max(1, at.Milliseconds()), Full: h.fullReportDue}
	for name, a := range h.accounts {
		a.window.advance(at)
		if use := h.tenantReport(a, at); use != nil {
			if report.Tenants == nil {
				report.Tenants = map[routing.TenantName]TenantReport{}
			}
			report.Tenants[name] = use
		}
	}
	due := len(h.accounts) > 0 && at-h.reportedAt >= renewInterval
	fullDue := report.Full && (h.term > 0 || len(h.accounts) > 0)
	if !due && !fullDue && len(report.Tenants) == 0 && h.applied == h.acked {
		return nil
	}
	h.sequence++
	report.Sequence = h.sequence
	h.reportedAt, h.acked, h.fullReportDue = at, h.applied, false
	return &report
}

// tenantReport returns what to report of an account; nil if nothing. h.mu must be held.
func (h *Holder) tenantReport(a *account, at time.Duration) TenantReport {
	used, credit := a.window.used, h.credit(a, at)
	if !h.fullReportDue && !a.mustReport && a.shortfall == 0 && !a.reportDue(at, credit) {
		return nil
	}
	use := TenantReport{used}
	if a.shortfall > 0 || h.fullReportDue {
		use = append(use, a.shortfall)
	}
	if h.fullReportDue {
		// A renewed lease must not restore units that have expired and are not in this report.
		a.grantedCredit = Credit{credit, min(a.grantedCredit.limit(), a.limit), min(credit, a.grantedCredit.floor())}
		use = append(use, credit, a.grantedCredit.floor(), a.limit)
	}
	a.reportedUse, a.reportedAt, a.mustReport, a.shortfall, a.shortfallReported = used, at, false, 0, a.shortfall > 0
	return use
}
