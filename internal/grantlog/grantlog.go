// Package grantlog records which workers a process has sent grants to, and when. A later leader asks
// for it: it need not wait for the holds of a worker that was sent no grant for longer than a hold
// lasts.
package grantlog

import (
	"context"
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/workers"
)

// retention is how long a grant is remembered. It is longer than any hold lasts.
const retention = time.Minute

// Log sends the orders of a process and records its grants. It is safe for concurrent use.
type Log struct {
	orders owner.OrderSender

	mu sync.Mutex
	// minFence is the lowest fence of grants that are still sent.
	minFence owner.Fence
	grants   map[workers.ID]*grants
	pruneAt  time.Time
}

// grants are the grants that were sent to one worker.
type grants struct {
	inFlight int
	// lastEnd is when the last one ended that may have reached the worker; zero if none may have.
	lastEnd time.Time
}

// New returns a log of the grants that are sent through orders.
func New(orders owner.OrderSender) *Log {
	return &Log{orders: orders, grants: map[workers.ID]*grants{}}
}

// Grant sends a grant, unless a later leader has superseded its term.
func (l *Log) Grant(ctx context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	if !l.begin(to.ID, grant.Fence) {
		return owner.Reply{Outcome: owner.OutcomeUnreachable}
	}
	reply := l.orders.Grant(ctx, to, grant)
	l.end(to.ID, reply.Outcome)
	return reply
}

// Release sends a release.
func (l *Log) Release(ctx context.Context, from owner.Target, keys owner.KeyRange, fence owner.Fence) owner.Reply {
	return l.orders.Release(ctx, from, keys, fence)
}

// Supersede stops all grants of terms before the given one that have not been sent yet.
func (l *Log) Supersede(term owner.Term) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minFence = max(l.minFence, term.FirstFence())
}

func (l *Log) begin(worker workers.ID, fence owner.Fence) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence < l.minFence {
		return false
	}
	l.prune(clock.Now())
	if l.grants[worker] == nil {
		l.grants[worker] = &grants{}
	}
	l.grants[worker].inFlight++
	return true
}

// end records the end of a grant. One for which no connection was established can't have reached the
// worker. If it counted as sent, the keys of a worker that crashed before its first grant would wait under
// the next leader for a hold that the worker never had.
func (l *Log) end(worker workers.ID, outcome owner.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.grants[worker]
	sent.inFlight--
	if outcome != owner.OutcomeUnreachable {
		sent.lastEnd = clock.Now()
	}
}

// prune removes expired entries, at intervals of retention. The caller holds mu.
func (l *Log) prune(now time.Time) {
	if now.Before(l.pruneAt) {
		return
	}
	l.pruneAt = now.Add(retention)
	for worker, sent := range l.grants {
		if sent.inFlight == 0 && now.Sub(sent.lastEnd) > retention {
			delete(l.grants, worker)
		}
	}
}

// Ages returns for how long no grant has reached each of the given workers. Workers that none has
// reached within the last minute may be missing.
func (l *Log) Ages(now time.Time, list []workers.ID) map[workers.ID]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	ages := map[workers.ID]time.Duration{}
	for _, worker := range list {
		sent := l.grants[worker]
		switch {
		case sent == nil:
		case sent.inFlight > 0:
			ages[worker] = 0
		case sent.lastEnd.IsZero():
		default:
			ages[worker] = max(0, now.Sub(sent.lastEnd))
		}
	}
	return ages
}
