package quota

import (
	"time"

	"github.com/shalefork/shalefork/internal/routing"
)

// lazily is the pause between messages that a tenant uses less: nobody waits for them.
const lazily = time.Second

// tells reports whether the use of a tenant is worth a message: more than half of what was left
// is used up, or less is used for a while.
func (a *account) tells(at time.Duration, credit int) bool {
	used := a.spent.used
	if used > a.told {
		return 2*(credit-used) < credit-a.told
	}
	return used < a.told && at-a.toldAt >= lazily
}

// Tell returns what the leader is to know; nil if that is nothing.
func (h *Holder) Report(now time.Time) *Report {
	at := now.Sub(h.epoch)
	h.mu.Lock()
	defer h.mu.Unlock()
	told := Report{Node: h.node, Incarnation: h.life, Term: h.term, Ack: h.applied, Stamp: max(1, at.Milliseconds()), Full: h.tellAll}
	for name, a := range h.accounts {
		a.spent.advance(at)
		if use := h.useOf(a, at); use != nil {
			if told.Tenants == nil {
				told.Tenants = map[routing.TenantName]TenantReport{}
			}
			told.Tenants[name] = use
		}
	}
	due := len(h.accounts) > 0 && at-h.toldAt >= renewEvery
	all := told.Full && (h.term > 0 || len(h.accounts) > 0)
	if !due && !all && len(told.Tenants) == 0 && h.applied == h.acked {
		return nil
	}
	h.number++
	told.Sequence = h.number
	h.toldAt, h.acked, h.tellAll = at, h.applied, false
	return &told
}

// useOf returns what is to be told of an account; nil if that is nothing. The caller holds mu.
func (h *Holder) useOf(a *account, at time.Duration) TenantReport {
	used, credit := a.spent.used, h.credit(a, at)
	if !h.tellAll && !a.mustTell && a.short == 0 && !a.tells(at, credit) {
		return nil
	}
	use := TenantReport{used}
	if a.short > 0 || h.tellAll {
		use = append(use, a.short)
	}
	if h.tellAll {
		// A lease that is renewed must not bring back what has ended and was not told.
		a.given = Credit{credit, min(a.given.limit(), a.limit), min(credit, a.given.floor())}
		use = append(use, credit, a.given.floor(), a.limit)
	}
	a.told, a.toldAt, a.mustTell, a.short, a.knownShort = used, at, false, 0, a.short > 0
	return use
}
