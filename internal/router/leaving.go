package router

import (
	"context"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/departure"
	"github.com/shalefork/shalefork/internal/facts"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// leavingCleanupInterval is the pause between looks for workers that are gone.
	leavingCleanupInterval = 10 * time.Second
	// leavingRetention is for how long it stays known that a worker leaves whose entry is gone: the entry
	// may be back while the worker serves on.
	leavingRetention = 2 * time.Minute
	// maxLeavingPerReport is how many workers one report tells of.
	maxLeavingPerReport = 64
)

// leavingWorkers are those that say in their answers that they leave. They count as draining here,
// and others are told.
type leavingWorkers struct {
	r      *Router
	member *facts.Replica[departure.Fact]
}

func newLeavingWorkers(r *Router) *leavingWorkers {
	return &leavingWorkers{r: r, member: facts.NewReplica[departure.Fact]()}
}

// answered notes that a worker has said to this process, in answer to a request or an order, that it
// leaves.
func (l *leavingWorkers) noteLeaving(worker workers.Life) {
	l.add(departure.Fact{Worker: worker, Since: clock.Now()}, l.member.Add, seenBySelf)
}

// heard takes what processes that follow this one have learned.
func (l *leavingWorkers) handleReports(reports []departure.Message) { l.addAll(reports, l.member.Add) }

// told takes what the leader, or a relay, tells.
func (l *leavingWorkers) handleUpdate(reports []departure.Message) {
	l.addAll(reports, l.member.ApplyUpdate)
}

func (l *leavingWorkers) addAll(reports []departure.Message, record func(departure.Fact) bool) {
	now := clock.Now()
	for _, one := range reports {
		l.add(one.Fact(now), record, seenByPeer)
	}
}

// take adds a fact, and lets the worker drain if that is news.
func (l *leavingWorkers) add(fact departure.Fact, record func(departure.Fact) bool, seenBy string) {
	if !record(fact) {
		return
	}
	l.r.workers.Leaves(fact.Worker, fact.Since)
	l.r.log.Line(decision.KindWorkerLeaving).Str("worker", string(fact.Worker.ID)).Str("seen_by", seenBy).
		Float64("for", clock.Since(fact.Since).Seconds()).Msg("")
}

// tell returns what the leader is to know.
func (l *leavingWorkers) report() []departure.Message {
	var reports []departure.Message
	now := clock.Now()
	for _, fact := range l.member.TakeReport(maxLeavingPerReport) {
		reports = append(reports, departure.NewMessage(now, fact))
	}
	return reports
}

// run forgets workers that are gone, until ctx ends.
func (l *leavingWorkers) run(ctx context.Context) {
	for clock.Sleep(ctx, leavingCleanupInterval) {
		l.member.Table().Forget(func(fact departure.Fact) bool {
			_, announced := l.r.workers.Get(fact.Worker.ID)
			return !announced && l.r.workers.GoneFor(fact.Worker.ID) > leavingRetention
		})
	}
}
