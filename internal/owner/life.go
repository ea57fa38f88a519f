package owner

import (
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// Began tells which life of a worker is announced now, and where. One that says nothing of its
// start is taken to be the one that was known.
//
// What a worker has started again since is not known to the book: its last orders may have been
// answered by either life. So the hold of before is outwaited or released as ever, while these end:
// the keys that it owns are given to it anew, under a higher fence, and who must know of a higher
// fence is told again, since a life has seen none of the fences of the one before.
//
// It reports whether the worker has started again.
func (b *Ledger) ObserveIncarnation(now time.Time, life workers.Incarnation, address string) bool {
	before, known := b.lives[life.ID]
	if life.StartTime == 0 || before == life.StartTime {
		return false
	}
	b.lives[life.ID] = life.StartTime
	if !known {
		return false
	}
	delete(b.ended, life.ID)
	delete(b.failing, life.ID)
	delete(b.unanswered, life.ID)
	if b.addresses[life.ID] != address {
		b.addresses[life.ID] = address
		b.shape++
	}
	for _, one := range b.spans {
		b.ownerBegan(now, one, life.ID)
	}
	for _, one := range b.doubts {
		if one.worker == life.ID {
			one.told, one.next = false, now
		}
	}
	return true
}

// ownerBegan takes the keys of a worker that started again to be held by nobody yet. A former
// owner is asked at once for what its new life may have been given.
func (b *Ledger) ownerBegan(now time.Time, one *span, worker workers.ID) {
	for _, old := range one.formers {
		if old.worker == worker {
			one.next = now
		}
	}
	if one.owner != worker || !one.reached() {
		return
	}
	if one.granted {
		b.shape++
	}
	b.holdsVersion++
	one.granted = false
	one.fence = b.nextFence()
	one.next = now
}

// tellsLives reports whether a worker says when it began. Others start under another ID.
func (b *Ledger) tellsLives(id workers.ID) bool { return b.lives[id] != 0 }

// target returns where a worker's orders go.
func (b *Ledger) target(id workers.ID) Target {
	return Target{ID: id, Address: b.addresses[id], Incarnation: b.lives[id]}
}
