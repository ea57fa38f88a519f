package facts

import (
	"sync"

	"github.com/shalefork/shalefork/internal/workers"
)

// Replica is one process's copy of the facts. New facts that it adds are reported to the process
// that this one follows, and all of its facts are sent to the followers. It is safe for concurrent
// use.
type Replica[F Fact[F]] struct {
	table *Table[F]
	mu    sync.Mutex
	// leading says that this process follows no other, so there is none to report to.
	leading bool
	// pending are the keys of facts that are still to be reported to the followed process.
	pending map[workers.Incarnation]struct{}
}

// NewReplica returns an empty replica.
func NewReplica[F Fact[F]]() *Replica[F] {
	return &Replica[F]{table: NewTable[F](), pending: map[workers.Incarnation]struct{}{}}
}

// Table returns the facts of the replica.
func (r *Replica[F]) Table() *Table[F] { return r.table }

// Add adds a fact that this process has observed, or that a follower has reported. It reports
// whether the published facts have changed; if so, and unless this process leads, the fact is queued
// for the followed process.
func (r *Replica[F]) Add(fact F) bool {
	if !r.table.Merge(fact) {
		return false
	}
	r.Queue(fact)
	return true
}

// Queue queues the current fact with the same key for the followed process, although the published facts
// have not changed.
func (r *Replica[F]) Queue(fact F) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.leading {
		r.pending[fact.Key()] = struct{}{}
	}
}

// ApplyUpdate adds a fact received from the followed process. It reports whether the published facts
// have changed.
func (r *Replica[F]) ApplyUpdate(fact F) bool { return r.table.Merge(fact) }

// QueueAll queues all facts for reporting, when this process starts to follow another one, which may
// not know them.
func (r *Replica[F]) QueueAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fact := range r.table.Facts() {
		r.pending[fact.Key()] = struct{}{}
	}
}

// TakeReport removes facts from the queue and returns them, at most limit, for the followed process.
func (r *Replica[F]) TakeReport(limit int) []F {
	r.mu.Lock()
	defer r.mu.Unlock()
	var facts []F
	for key := range r.pending {
		if len(facts) == limit {
			break
		}
		delete(r.pending, key)
		if fact, known := r.table.Fact(key); known {
			facts = append(facts, fact)
		}
	}
	return facts
}

// SetLeading sets whether this process leads and so follows no other. Pending reports are dropped
// when it starts to lead: a process that follows another one later reports all facts.
func (r *Replica[F]) SetLeading(leading bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leading = leading
	if leading {
		clear(r.pending)
	}
}
