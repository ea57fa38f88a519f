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
	// leavingCleanupInterval is how often removed workers are cleaned up.
	leavingCleanupInterval = 10 * time.Second
	// leavingRetention is how long a leaving worker is remembered after its entry is removed: the
	// entry may come back while the worker still serves.
	leavingRetention = 2 * time.Minute
	// maxLeavingPerReport is how many workers one report contains.
	maxLeavingPerReport = 64
)

// leavingWorkers tracks the workers that announce in their responses that they leave. They are
// treated as draining here, and reported to other processes.
type leavingWorkers struct {
	r       *Router
	replica *facts.Replica[departure.Fact]
}

func newLeavingWorkers(r *Router) *leavingWorkers {
	return &leavingWorkers{r: r, replica: facts.NewReplica[departure.Fact]()}
}

// noteLeaving records that a worker has announced to this process, in response to a request or an
// order, that it leaves.
func (l *leavingWorkers) noteLeaving(worker workers.Incarnation) {
	l.add(departure.Fact{Worker: worker, Since: clock.Now()}, l.replica.Add, seenBySelf)
}

// handleReports records facts reported by followers of this process.
func (l *leavingWorkers) handleReports(reports []departure.Message) { l.addAll(reports, l.replica.Add) }

// handleUpdate applies facts received from the leader or a relay.
func (l *leavingWorkers) handleUpdate(updates []departure.Message) {
	l.addAll(updates, l.replica.ApplyUpdate)
}

func (l *leavingWorkers) addAll(messages []departure.Message, record func(departure.Fact) bool) {
	now := clock.Now()
	for _, message := range messages {
		l.add(message.Fact(now), record, seenByPeer)
	}
}

// add records a fact, and marks the worker as draining if the fact is new.
func (l *leavingWorkers) add(fact departure.Fact, record func(departure.Fact) bool, seenBy string) {
	if !record(fact) {
		return
	}
	l.r.workers.MarkLeaving(fact.Worker, fact.Since)
	l.r.log.Line(decision.KindWorkerLeaving).Str("worker", string(fact.Worker.ID)).Str("seen_by", seenBy).
		Float64("for", clock.Since(fact.Since).Seconds()).Msg("")
}

// report returns the facts to report to the leader.
func (l *leavingWorkers) report() []departure.Message {
	var reports []departure.Message
	now := clock.Now()
	for _, fact := range l.replica.TakeReport(maxLeavingPerReport) {
		reports = append(reports, departure.NewMessage(now, fact))
	}
	return reports
}

// run forgets removed workers, until ctx ends.
func (l *leavingWorkers) run(ctx context.Context) {
	for clock.Sleep(ctx, leavingCleanupInterval) {
		l.replica.Table().Forget(func(fact departure.Fact) bool {
			_, announced := l.r.workers.Get(fact.Worker.ID)
			return !announced && l.r.workers.GoneFor(fact.Worker.ID) > leavingRetention
		})
	}
}
