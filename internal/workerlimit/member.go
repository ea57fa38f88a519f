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
	Ended *Fact
	// News says that the leader did not know what the process knows that asked.
	News bool
}

// Member is one process's part in keeping workers within their limits. It is safe for concurrent
// use.
type Member struct {
	*facts.Member[Fact]
	book Book
	mu   sync.Mutex
	// pacer is nil while the process does not lead.
	pacer *Pacer
}

// NewMember returns a member that knows of no limit.
func NewMember() *Member {
	told := facts.NewMember[Fact]()
	return &Member{Member: told, book: Book{told.Book()}}
}

// Book returns what the member knows.
func (m *Member) Book() Book { return m.book }

// Lead begins to pace all processes' requests, or ends it.
func (m *Member) Lead(leads bool) {
	m.Member.Lead(leads)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pacer = nil
	if leads {
		m.pacer = NewPacer()
	}
}

// Issue answers a process that knows a fact and asks whether a request may leave within some
// patience; false if this process does not lead. doubtful says that another may lead.
func (m *Member) Issue(now time.Time, fact Fact, patience time.Duration, doubtful bool) (Permit, bool) {
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
		return Permit{Granted: true, Ended: &known, News: news}, true
	}
	wait, granted := m.pacer.Take(now, fact.Worker, known.Rate, patience, doubtful)
	return Permit{Granted: granted, Wait: wait, News: news}, true
}

// Forget drops what is known of workers that are gone, and limits that ended long ago.
func (m *Member) Forget(now time.Time, gone func(workers.ID) bool) {
	m.book.Forget(now, gone)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pacer != nil {
		m.pacer.Keep(func(life workers.Incarnation) bool {
			_, limited := m.book.Rate(life)
			return limited
		})
	}
}
