package facts

import (
	"sync"

	"github.com/shalefork/shalefork/internal/workers"
)

// Member is one process's part in telling facts: what it learns goes on to the process that it
// follows, and what it knows to those that follow it. It is safe for concurrent use.
type Replica[F Fact[F]] struct {
	book *Table[F]
	mu   sync.Mutex
	// leads says that this process follows nobody, who would have to be told.
	leads bool
	// untold are the keys of facts that the followed process is to be told.
	untold map[workers.Incarnation]struct{}
}

// NewReplica returns a member that knows nothing.
func NewReplica[F Fact[F]]() *Replica[F] {
	return &Replica[F]{book: NewTable[F](), untold: map[workers.Incarnation]struct{}{}}
}

// Book returns what the member knows.
func (m *Replica[F]) Table() *Table[F] { return m.book }

// Learn adds a fact that was seen here, or told by a process that follows this one. It reports
// whether that was news, which goes on to the followed process.
func (m *Replica[F]) Add(fact F) bool {
	if !m.book.Merge(fact) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leads {
		m.untold[fact.Key()] = struct{}{}
	}
	return true
}

// Hear adds a fact that the followed process tells. It reports whether that was news.
func (m *Replica[F]) ApplyUpdate(fact F) bool { return m.book.Merge(fact) }

// Linked notes that another process is followed now, which may know nothing of what is known here.
func (m *Replica[F]) QueueAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, fact := range m.book.Facts() {
		m.untold[fact.Key()] = struct{}{}
	}
}

// Tell returns what the followed process is to be told, at most so many facts.
func (m *Replica[F]) TakeReport(most int) []F {
	m.mu.Lock()
	defer m.mu.Unlock()
	var facts []F
	for key := range m.untold {
		if len(facts) == most {
			break
		}
		delete(m.untold, key)
		if fact, known := m.book.Fact(key); known {
			facts = append(facts, fact)
		}
	}
	return facts
}

// Lead begins a time in which this process follows nobody, or ends it. Who follows another process
// later tells that one all.
func (m *Replica[F]) SetLeading(leads bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leads = leads
	if leads {
		clear(m.untold)
	}
}
