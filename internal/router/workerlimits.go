package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// limitsTick is the pause between looks for workers that are gone.
	limitsTick = time.Second
	// limitMemory is for how long the limit of a worker stays known whose entry is gone: it may
	// serve on, and its entry may be back.
	limitMemory = 30 * time.Second
)

// workerLimits is what this process knows of the limits that workers name. It implements
// proxy.Limits.
type workerLimits struct {
	r    *Router
	book *workerlimit.Book
	// unreadable counts the answers that named a limit which can't be read.
	unreadable atomic.Int64
}

func newWorkerLimits(r *Router) *workerLimits {
	return &workerLimits{r: r, book: workerlimit.NewBook()}
}

// Limited implements proxy.Limits.
func (l *workerLimits) Limited(worker workers.Life) bool {
	_, limited := l.book.Rate(worker)
	return limited
}

// Answered implements proxy.Limits.
func (l *workerLimits) Answered(worker workers.Life, answer *upstream.Result) {
	switch {
	case answer.Limit.Naming == upstream.Limited:
		if l.book.Named(clock.Now(), worker, answer.Limit.PerSecond) {
			l.log(worker, "self")
		}
	case answer.Limit.Naming == upstream.UnreadableLimit:
		l.unreadable.Add(1)
		l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(worker.ID)).
			Strs("unreadable", answer.Header.Values(l.r.adapter.Headers.Limit)).Msg("what was known of its limit stands")
	case answer.Outcome == upstream.Answered:
		if l.book.Unnamed(answer.Sent, worker) {
			l.log(worker, "self")
		}
	}
}

// log tells what is known now of a worker's limit.
func (l *workerLimits) log(worker workers.Life, seenBy string) {
	fact, _ := l.book.Fact(worker)
	l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(worker.ID)).Float64("limit", fact.Rate).
		Bool("ended", fact.Ended).Str("seen_by", seenBy).Msg("")
}

// run keeps the book tidy until ctx ends.
func (l *workerLimits) run(ctx context.Context) {
	for clock.Sleep(ctx, limitsTick) {
		l.forget()
	}
}

// forget drops the limits of workers that are gone.
func (l *workerLimits) forget() {
	l.book.Forget(clock.Now(), func(id workers.ID) bool {
		_, announced := l.r.workers.Get(id)
		return !announced && l.r.workers.GoneFor(id) > limitMemory
	})
}
