// Package facts holds what processes know of workers and tell each other. Facts merge to the same
// in any order, and twice the same is once.
package facts

import "github.com/shalefork/shalefork/internal/workers"

// Fact is what is known of a worker, or of one life of it.
type Fact[F any] interface {
	// Key returns what the fact is on: the worker's ID alone, or a life of it.
	Key() workers.Incarnation
	// Replaces reports whether the fact takes the place of another one with the same key. It orders
	// all facts with a key.
	Replaces(other F) bool
	// TellsSame reports whether processes that know the other one need not hear of this one. Of one
	// that holds and one that does not they must.
	EquivalentTo(other F) bool
	// Holds reports whether the fact holds now; one that does not records that something has ended.
	Active() bool
}
