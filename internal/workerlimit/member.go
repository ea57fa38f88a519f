package workerlimit

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

// Permit says whether a request may leave for a worker that names a limit.
type Permit struct {
	// Granted requests leave after Wait; for others that is when to ask again.
	Granted bool
	Wait    time.Duration
	// Ended is set if the worker names no limit any longer.
	LimitEnded *Fact
	// News says that the leader did not know what the process knows that asked.
	Updated bool
}

// Member is one process's part in keeping workers within their limits. It is safe for concurrent
// use.
type Limiter struct {
	*facts.Replica[Fact]
	book Table
	mu   sync.Mutex
	// pacer is nil while the process does not lead.
	pacer *Pacer
}

// NewLimiter returns a member that knows of no limit.
func NewLimiter() *Limiter {
	told := facts.NewReplica[Fact]()
	return &Limiter{Replica: told, book: Table{told.Table()}}
}

// Book returns what the member knows.
func (m *Limiter) Table() Table { return m.book }

// Lead begins to pace all processes' requests, or ends it.
func (m *Limiter) SetLeading(leads bool) {
	m.Replica.SetLeading(leads)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pacer = nil
	if leads {
		m.pacer = NewPacer()
	}
}

// Issue answers a process that knows a fact and asks whether a request may leave within some
// patience; false if this process does not lead. doubtful says that another may lead.
func (m *Limiter) Issue(now time.Time, fact Fact, patience time.Duration, doubtful bool) (Permit, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pacer == nil {
		return Permit{}, false
	}
	news := m.book.Merge(fact)
	known, found := m.book.Fact(fact.Worker)
	if !found { // what is known is of another life
		known = fact
	}
	if known.Ended {
		return Permit{Granted: true, LimitEnded: &known, Updated: news}, true
	}
	wait, granted := m.pacer.Take(now, fact.Worker, known.Rate, patience, doubtful)
	return Permit{Granted: granted, Wait: wait, Updated: news}, true
}

// Forget drops what is known of workers that are gone, and limits that ended long ago.
func (m *Limiter) Forget(now time.Time, gone func(workers.ID) bool) {
	m.book.Forget(now, gone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pacer != nil {
		m.pacer.RemoveUnlimited(func(life workers.Incarnation) bool {
			_, limited := m.book.Rate(life)
			return limited
		})
	}
}
