package owner

import "time"

// Hold is a key range that a worker holds under a fence.
type Hold struct {
	Keys   KeyRange
	Target Target
	Fence  Fence
}

// Delegation permits a standby to renew the holds that it knows if it loses the leader.
type Delegation struct {
	// KnownVersion is the version of the holds that the standby is certain to know. Newer ones may
	// be on their way to it.
	KnownVersion uint64
	// Until is when the delegation ends at the latest.
	Until time.Time
	// LastRenewal is when the standby may last have sent a renewal; zero if it never lost the
	// leader.
	LastRenewal time.Time
}

// HoldsVersion changes whenever the holds that may be renewed change.
func (l *Ledger) HoldsVersion() uint64 { return l.holdsVersion }

// Holds returns the current holds, so that a standby can renew them.
func (l *Ledger) Holds() []Hold {
	holds := make([]Hold, 0, len(l.spans))
	for _, s := range l.spans {
		if !s.held() {
			continue
		}
		target := l.target(s.owner)
		if last := len(holds) - 1; last >= 0 && holds[last].Target == target && holds[last].Fence == s.fence &&
			holds[last].Keys.To+1 == s.keys.From {
			holds[last].Keys.To = s.keys.To
			continue
		}
		holds = append(holds, Hold{Keys: s.keys, Target: target, Fence: s.fence})
	}
	return holds
}

// SetDelegations sets what standbys may renew. If a standby may still renew a hold, the ledger
// waits longer for it to expire.
func (l *Ledger) SetDelegations(delegations []Delegation) { l.delegations = delegations }

// standbyRenewalsEnd returns the time until which a standby may renew a hold that was removed in a
// version of the holds; zero if no standby may.
func (l *Ledger) standbyRenewalsEnd(version uint64) time.Time {
	until := time.Time{}
	for _, delegation := range l.delegations {
		if delegation.KnownVersion < version {
			until = later(until, delegation.Until)
		}
	}
	return until
}

// holdExpired reports whether a previous owner's hold has certainly expired.
func (l *Ledger) holdExpired(now time.Time, old previousOwner) bool {
	return l.promptGrantsExpired(now, old) && !l.awaitsDelayedGrant(now, old)
}

// promptGrantsExpired reports the same, provided that the worker accepts no unanswered grant with a delay.
func (l *Ledger) promptGrantsExpired(now time.Time, old previousOwner) bool {
	if !now.After(old.heldUntil) || !now.After(old.inheritedUntil) {
		return false
	}
	renewed := l.standbyRenewalsEnd(old.holdsVersion)
	return renewed.IsZero() || now.After(renewed.Add(l.config.MaxHold()))
}

// delayedGrantsEnd returns the time until which a previous owner may accept an unanswered grant
// from the leader or a standby; zero if there is none.
func (l *Ledger) delayedGrantsEnd(old previousOwner) time.Time {
	until := old.delayedGrantUntil
	for _, delegation := range l.delegations {
		if !delegation.LastRenewal.IsZero() {
			until = later(until, delegation.LastRenewal.Add(l.config.MaxOrderDelay))
		}
	}
	return until
}
