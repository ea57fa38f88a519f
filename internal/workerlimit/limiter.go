package workerlimit

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

// Permit says whether a request may be sent to a worker that announces a limit.
type Permit struct {
	// Granted requests are sent after Wait. For others, Wait is the delay before the next try.
	Granted bool
	Wait    time.Duration
	// LimitEnded is set if the worker no longer announces a limit.
	LimitEnded *Fact
	// Updated says that the fact of the asking process changed the published facts.
	Updated bool
}

// Limiter replicates workers' limits and, while its process leads, paces the requests to them. It is
// safe for concurrent use.
type Limiter struct {
	*facts.Replica[Fact]
	table Table
	mu    sync.Mutex
	// pacer is nil while the process does not lead.
	pacer *Pacer
}

// NewLimiter returns a limiter that knows no limits.
func NewLimiter() *Limiter {
	replica := facts.NewReplica[Fact]()
	return &Limiter{Replica: replica, table: Table{replica.Table()}}
}

// Table returns the limits that are known.
func (l *Limiter) Table() Table { return l.table }

// SetLeading starts or stops pacing the requests of all processes.
func (l *Limiter) SetLeading(leading bool) {
	l.Replica.SetLeading(leading)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pacer = nil
	if leading {
		l.pacer = NewPacer()
	}
}

// Add adds a fact that this process has observed, or that a follower has reported. It reports whether the
// published facts have changed. A limit that is observed again is reported too: the leader relies on it
// for a short time only.
func (l *Limiter) Add(fact Fact) bool {
	changed := l.Replica.Add(fact)
	if !changed && !fact.Ended {
		l.Replica.Queue(fact)
	}
	return changed
}

// Issue answers a process that knows a fact and asks whether a request may be sent within maxWait;
// false if this process does not lead. leadershipUncertain says that another process may lead.
func (l *Limiter) Issue(now time.Time, fact Fact, maxWait time.Duration, leadershipUncertain bool) (Permit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pacer == nil {
		return Permit{}, false
	}
	updated := l.table.Merge(fact)
	current, found := l.table.Fact(fact.Worker)
	if !found { // the table knows another incarnation
		current = fact
	}
	if current.Ended {
		return Permit{Granted: true, LimitEnded: &current, Updated: updated}, true
	}
	l.pacer.Confirm(now, fact.Worker, current.At)
	wait, granted := l.pacer.Acquire(now, fact.Worker, current.Rate, maxWait, leadershipUncertain)
	return Permit{Granted: granted, Wait: wait, Updated: updated}, true
}

// Forget removes the facts about workers for which gone returns true, and limits that ended more
// than endedRetention ago, and the pacing state of workers that have no limit.
func (l *Limiter) Forget(now time.Time, gone func(workers.ID) bool) {
	l.table.Forget(now, gone)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.pacer != nil {
		l.pacer.RemoveUnlimited(func(worker workers.Incarnation) bool {
			_, limited := l.table.Rate(worker)
			return limited
		})
	}
}
