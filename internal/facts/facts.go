// Package facts replicates facts about workers between processes. Merging facts is commutative and
// idempotent, so that processes converge whatever the order of messages.
package facts

import "github.com/shalefork/shalefork/internal/workers"

// Fact is a piece of information about a worker, or about one incarnation of it.
type Fact[F any] interface {
	// Key identifies the subject of the fact: a worker's ID alone, or one incarnation of it.
	Key() workers.Incarnation
	// Replaces reports whether the fact takes the place of another one with the same key. It defines
	// a total order of the facts with one key.
	Replaces(other F) bool
	// EquivalentTo reports whether processes that know the other fact need not receive this one. An
	// active and an inactive fact are never equivalent.
	EquivalentTo(other F) bool
	// Active reports whether the fact applies now. An inactive one records that something has ended.
	Active() bool
}
