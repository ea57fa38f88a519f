package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Ledger tracks which worker owns which keys of one service.
type Ledger struct {
	config    Config
	fence     Fence
	spans     []*span
	addresses map[workers.ID]string
	// lives are the last ones that were announced, of workers that tell of them.
	lives map[workers.ID]workers.StartTime
	// change counts changes of owners; stored is the last that is kept safe.
	change uint64
	stored uint64
	doubts []*doubt
	// lateSeen is when an order was last unanswered by a worker that answers.
	lateSeen time.Time
	// unanswered is when an order to a worker was last left without an answer.
	unanswered map[workers.ID]time.Time
	// failing are the workers whose orders have all failed lately.
	failing map[workers.ID]failure
	ended   map[workers.ID]bool
	// bounds are the first keys of places, where spans are not joined.
	bounds map[int]bool
	// shape counts what followers must hear of.
	shape uint64
	// holdsVersion counts changes of what is held or of its fences.
	holdsVersion uint64
	// mandates are what standbys may renew on their own.
	mandates []Delegation
}

// NewLedger returns a book without owners.
func NewLedger(config Config, term Term) *Ledger {
	return &Ledger{
		config:     config,
		fence:      term.FirstFence(),
		addresses:  map[workers.ID]string{},
		lives:      map[workers.ID]workers.StartTime{},
		unanswered: map[workers.ID]time.Time{},
		failing:    map[workers.ID]failure{},
		ended:      map[workers.ID]bool{},
	}
}

func (b *Ledger) nextFence() Fence {
	b.fence++
	return b.fence
}

// Empty reports whether no key has an owner.
func (b *Ledger) Empty() bool { return len(b.spans) == 0 }

// Change returns the count of changes of owners.
func (b *Ledger) RecordVersion() uint64 { return b.change }

// Stored tells that all changes up to this one are kept safe.
func (b *Ledger) MarkStored(change uint64) { b.stored = max(b.stored, change) }

// Shape changes whenever Assignment would differ.
func (b *Ledger) AssignmentVersion() uint64 { return b.shape }

// Assign gives all keys their first owners.
func (b *Ledger) Assign(now time.Time, owners []Owner) {
	b.change++
	b.shape++
	b.holdsVersion++
	b.spans = nil
	for _, first := range owners {
		b.addresses[first.Worker] = first.Address
		b.spans = append(b.spans, &span{
			keys: first.Keys, owner: first.Worker, fence: b.nextFence(), change: b.change, next: now,
		})
	}
}

// Move gives keys, which must be inside one span that is not busy, to another
// worker.
func (b *Ledger) Move(keys KeyRange, to workers.ID, address string) {
	moved := b.cut(keys)
	if moved == nil || moved.destination() == to {
		return
	}
	b.change++
	b.addresses[to] = address
	moved.planned = &planned{to: to, fence: b.nextFence(), change: b.change}
}

// begin begins a move that is stored: the keys are no longer the old owner's.
func (b *Ledger) begin(now time.Time, moved *span) {
	to := moved.planned.to
	b.shape++
	if to == moved.owner { // planned away and back
		moved.planned = nil
		return
	}
	b.holdsVersion++
	if moved.reached() {
		moved.formers = append(moved.formers, b.formerOf(moved))
	}
	// The new owner may still hold the keys from before, or take a grant of then.
	held := former{lateUntil: b.dropDoubts(to, moved.keys)}
	moved.formers = slices.DeleteFunc(moved.formers, func(old former) bool {
		if old.worker == to {
			held.until = later(held.until, old.until)
			held.lateUntil = later(held.lateUntil, old.lateUntil)
			held.forgottenUntil = later(held.forgottenUntil, old.forgottenUntil)
			held.version = max(held.version, old.version)
		}
		return old.worker == to
	})
	if moved.fence >= moved.planned.fence {
		// The old owner was renewed under a higher fence while the move was stored.
		moved.planned.fence = b.nextFence()
	}
	moved.owner = to
	moved.fence = moved.planned.fence
	moved.change = moved.planned.change
	moved.planned = nil
	moved.granted = false
	moved.doubtful = false
	moved.heldUntil = held.until
	moved.lateUntil = time.Time{}
	moved.takenUntil = held.lateUntil
	moved.forgottenUntil = held.forgottenUntil
	moved.unsure, moved.takenFence = false, 0
	moved.listed = held.version > 0
	moved.surelyUntil = time.Time{}
	moved.next = now
}

// formerOf returns what the owner of keys is once they are given on.
func (b *Ledger) formerOf(of *span) former {
	old := former{
		worker: of.owner, until: b.holdBound(of), lateUntil: of.takenUntil,
		forgottenUntil: later(of.forgottenUntil, of.takenUntil),
	}
	if of.listed {
		old.version = b.holdsVersion
	}
	return old
}

// holdBound is when the owner's hold surely ends.
func (b *Ledger) holdBound(of *span) time.Time {
	if of.doubtful && of.lateUntil.After(of.heldUntil) {
		return of.lateUntil
	}
	return of.heldUntil
}

// Assignment returns the owners as requests should find them.
func (b *Ledger) Assignment() []Owner {
	owners := make([]Owner, 0, len(b.spans))
	for _, one := range b.spans {
		next := Owner{Keys: one.keys, Worker: one.owner, Address: b.addresses[one.owner], Moving: !one.granted}
		if len(owners) > 0 && joins(owners[len(owners)-1], next) {
			owners[len(owners)-1].Keys.To = next.Keys.To
			continue
		}
		owners = append(owners, next)
	}
	return owners
}

func joins(left, right Owner) bool {
	return left.Worker == right.Worker && left.Moving == right.Moving
}

// Spans returns how many runs of keys there are.
func (b *Ledger) SpanCount() int { return len(b.spans) }

// HoldLeft returns the shortest time for which an owner that holds keys goes on
// holding them without another renewal; zero if none does.
func (b *Ledger) MinHoldRemaining(now time.Time) time.Duration {
	least := time.Duration(0)
	for _, one := range b.spans {
		if left := one.surelyUntil.Sub(now); one.held() && (least == 0 || left < least) {
			least = left
		}
	}
	return least
}

// StoredChange returns the last change that is kept safe.
func (b *Ledger) StoredVersion() uint64 { return b.stored }

// Holders returns the workers that own keys or shall own them.
func (b *Ledger) OwnerTargets() []Target {
	seen := map[workers.ID]bool{}
	var holders []Target
	for _, one := range b.spans {
		for _, id := range []workers.ID{one.owner, one.destination()} {
			if !seen[id] {
				seen[id] = true
				holders = append(holders, b.target(id))
			}
		}
	}
	return holders
}
