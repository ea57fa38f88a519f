package owner

import "time"

// Hold is a run of keys that a worker holds under a fence.
type Hold struct {
	Keys   KeyRange
	Target Target
	Fence  Fence
}

// Mandate is the leave of a standby to renew what it knows to be held, should it
// lose the leader.
type Delegation struct {
	// Heard is the version of the holds that the standby surely knows. Newer ones
	// may be under way.
	KnownVersion uint64
	// Until is when the leave ends at the latest.
	Until time.Time
	// Renewed is when it may last have sent a renewal; zero if it never lost the
	// leader.
	LastRenewal time.Time
}

// HoldsVersion changes whenever Holds would differ in what may be renewed.
func (b *Ledger) HoldsVersion() uint64 { return b.holdsVersion }

// Holds lists what is held, so that a standby can renew it.
func (b *Ledger) Holds() []Hold {
	holds := make([]Hold, 0, len(b.spans))
	for _, one := range b.spans {
		if !one.held() {
			continue
		}
		target := b.target(one.owner)
		if last := len(holds) - 1; last >= 0 && holds[last].Target == target && holds[last].Fence == one.fence &&
			holds[last].Keys.To+1 == one.keys.From {
			holds[last].Keys.To = one.keys.To
			continue
		}
		holds = append(holds, Hold{Keys: one.keys, Target: target, Fence: one.fence})
	}
	return holds
}

// SetMandates tells the book what standbys may do. A hold that a standby may still
// renew is outwaited longer.
func (b *Ledger) SetDelegations(mandates []Delegation) { b.mandates = mandates }

// renewedUntil returns until when a standby may renew a hold that was given up with a
// version of the holds; zero if none may.
func (b *Ledger) renewedUntil(version uint64) time.Time {
	until := time.Time{}
	for _, one := range b.mandates {
		if one.KnownVersion < version {
			until = later(until, one.Until)
		}
	}
	return until
}

// outwaited reports whether a former owner's hold has surely ended by time alone.
func (b *Ledger) outwaited(now time.Time, old former) bool {
	if !now.After(old.until) {
		return false
	}
	renewed := b.renewedUntil(old.version)
	return renewed.IsZero() || now.After(renewed.Add(b.config.MaxHold()))
}

// lateUntil returns until when a former owner may take a grant that had no answer,
// the leader's or a standby's; zero if there is none.
func (b *Ledger) lateUntil(old former) time.Time {
	until := old.lateUntil
	for _, one := range b.mandates {
		if !one.LastRenewal.IsZero() {
			until = later(until, one.LastRenewal.Add(b.config.MaxOrderDelay))
		}
	}
	return until
}
