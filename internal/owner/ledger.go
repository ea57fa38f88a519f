package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Ledger tracks which worker owns which keys of one service, and determines which orders to send.
type Ledger struct {
	config    Config
	term      Term
	fence     Fence
	spans     []*span
	addresses map[workers.ID]string
	// startTimes holds the last announced start time of each worker that reports one.
	startTimes map[workers.ID]workers.StartTime
	// recordVersion counts changes that have to be stored; storedVersion is the last that is stored
	// durably.
	recordVersion uint64
	storedVersion uint64
	unconfirmed   []*unconfirmedGrant
	// delaySuspectedAt is when a worker last replied within MaxOrderDelay of having left an order
	// unanswered: it is alive, so orders may be reaching workers with a delay.
	delaySuspectedAt time.Time
	// lastUnanswered is when each worker last left an order unanswered. An entry is removed when
	// the worker replies.
	lastUnanswered map[workers.ID]time.Time
	// failing records the current series of failed orders of each worker.
	failing map[workers.ID]failure
	// ended are the workers whose address belongs to another worker now.
	ended map[workers.ID]bool
	// disputed are the workers whose entry and record state different addresses.
	disputed map[workers.ID]bool
	// boundaries are the first keys of placement rules, where spans are not merged.
	boundaries map[int]bool
	// assignmentVersion counts changes that followers must be notified of.
	assignmentVersion uint64
	// holdsVersion counts changes of the holds or of their fences.
	holdsVersion uint64
	// delegations state what standbys may renew without the leader.
	delegations []Delegation
	// delayedGrantWaits are the waits that TakeDelayedGrantWaits has not returned yet.
	delayedGrantWaits []DelayedGrantWait
}

// NewLedger returns a ledger without owners.
func NewLedger(config Config, term Term) *Ledger {
	return &Ledger{
		config:         config,
		term:           term,
		fence:          term.FirstFence(),
		addresses:      map[workers.ID]string{},
		startTimes:     map[workers.ID]workers.StartTime{},
		lastUnanswered: map[workers.ID]time.Time{},
		failing:        map[workers.ID]failure{},
		ended:          map[workers.ID]bool{},
		disputed:       map[workers.ID]bool{},
	}
}

func (l *Ledger) nextFence() Fence {
	l.fence++
	return l.fence
}

// Empty reports whether no key has an owner.
func (l *Ledger) Empty() bool { return len(l.spans) == 0 }

// RecordVersion returns a version that increases with each change that has to be stored.
func (l *Ledger) RecordVersion() uint64 { return l.recordVersion }

// MarkStored records that all changes up to a record version are stored durably.
func (l *Ledger) MarkStored(version uint64) { l.storedVersion = max(l.storedVersion, version) }

// AssignmentVersion changes whenever Assignment would differ.
func (l *Ledger) AssignmentVersion() uint64 { return l.assignmentVersion }

// Assign sets the initial owners of all keys.
func (l *Ledger) Assign(now time.Time, owners []Owner) {
	l.recordVersion++
	l.assignmentVersion++
	l.holdsVersion++
	l.spans = nil
	for _, owner := range owners {
		l.addresses[owner.Worker] = owner.Address
		l.spans = append(l.spans, &span{
			keys: owner.Keys, owner: owner.Worker, fence: l.nextFence(), recordVersion: l.recordVersion, nextOrderAt: now,
		})
	}
}

// Move plans to move keys to another worker. The keys must be within one span that has no order in
// flight.
func (l *Ledger) Move(keys KeyRange, to workers.ID, address string) {
	moved := l.split(keys)
	if moved == nil || moved.finalOwner() == to {
		return
	}
	l.recordVersion++
	l.addresses[to] = address
	moved.pending = &pendingMove{to: to, fence: l.nextFence(), recordVersion: l.recordVersion, recordedUngranted: l.recordsUngranted(moved, to)}
}

// beginMove starts a move that is stored: from here on the keys no longer belong to the old owner.
func (l *Ledger) beginMove(now time.Time, moved *span) {
	to := moved.pending.to
	l.assignmentVersion++
	if to == moved.owner { // moved back before the first move began
		moved.pending = nil
		return
	}
	l.holdsVersion++
	if moved.mayHaveGrant() {
		moved.previous = append(moved.previous, l.previousOwnerOf(moved))
	}
	// The new owner may still hold the keys from before, or accept a delayed grant from then.
	earlier := previousOwner{delayedGrantUntil: l.dropUnconfirmed(to, moved.keys)}
	moved.previous = slices.DeleteFunc(moved.previous, func(old previousOwner) bool {
		if old.worker == to {
			earlier.heldUntil = later(earlier.heldUntil, old.heldUntil)
			earlier.inheritedUntil = later(earlier.inheritedUntil, old.inheritedUntil)
			earlier.delayedGrantUntil = later(earlier.delayedGrantUntil, old.delayedGrantUntil)
			earlier.delayedHeldUntil = later(earlier.delayedHeldUntil, old.delayedHeldUntil)
			earlier.restartGrantUntil = later(earlier.restartGrantUntil, old.restartGrantUntil)
			earlier.holdsVersion = max(earlier.holdsVersion, old.holdsVersion)
		}
		return old.worker == to
	})
	if moved.fence >= moved.pending.fence {
		// The old owner was renewed under a higher fence while the move was being stored.
		moved.pending.fence = l.nextFence()
	}
	moved.owner = to
	moved.fence = moved.pending.fence
	moved.recordVersion = moved.pending.recordVersion
	moved.recordedUngranted = moved.pending.recordedUngranted
	moved.pending = nil
	moved.granted = false
	moved.unconfirmed = false
	moved.heldUntil, moved.inheritedUntil = earlier.heldUntil, earlier.inheritedUntil
	moved.delayedHeldUntil = earlier.delayedHeldUntil
	moved.delayedGrantUntil = earlier.delayedGrantUntil
	moved.restartGrantUntil = earlier.restartGrantUntil
	moved.maybeRestarted, moved.acceptedFence = false, 0
	moved.sentToStandbys = earlier.holdsVersion > 0
	moved.guaranteedUntil = time.Time{}
	moved.nextOrderAt = now
}

// previousOwnerOf returns what to remember of a span's owner when its keys move to another worker.
func (l *Ledger) previousOwnerOf(s *span) previousOwner {
	old := previousOwner{
		worker: s.owner, grantTerm: l.term, heldUntil: s.heldUntil, inheritedUntil: s.inheritedUntil, delayedGrantUntil: s.delayedGrantUntil,
		restartGrantUntil: later(s.restartGrantUntil, s.delayedGrantUntil), delayedHeldUntil: s.delayedHeldUntil,
	}
	if s.sentToStandbys {
		old.holdsVersion = l.holdsVersion
	}
	return old
}

// Assignment returns the owners by which requests are routed.
func (l *Ledger) Assignment() []Owner {
	owners := make([]Owner, 0, len(l.spans))
	for _, s := range l.spans {
		next := Owner{Keys: s.keys, Worker: s.owner, Address: l.addresses[s.owner], Moving: !s.granted}
		if len(owners) > 0 && sameOwner(owners[len(owners)-1], next) {
			owners[len(owners)-1].Keys.To = next.Keys.To
			continue
		}
		owners = append(owners, next)
	}
	return owners
}

func sameOwner(left, right Owner) bool {
	return left.Worker == right.Worker && left.Moving == right.Moving
}

// SpanCount returns the number of spans that the keys are divided into.
func (l *Ledger) SpanCount() int { return len(l.spans) }

// MinHoldRemaining returns the shortest time for which any current holder is guaranteed to keep its
// keys without another renewal; zero if there is no holder.
func (l *Ledger) MinHoldRemaining(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, s := range l.spans {
		if left := s.guaranteedUntil.Sub(now); s.held() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// StoredVersion returns the last record version that is stored durably.
func (l *Ledger) StoredVersion() uint64 { return l.storedVersion }

// OwnerTargets returns the workers that own keys, or will once pending moves are done.
func (l *Ledger) OwnerTargets() []Target {
	seen := map[workers.ID]bool{}
	var targets []Target
	for _, s := range l.spans {
		for _, id := range []workers.ID{s.owner, s.finalOwner()} {
			if !seen[id] {
				seen[id] = true
				targets = append(targets, l.target(id))
			}
		}
	}
	return targets
}
