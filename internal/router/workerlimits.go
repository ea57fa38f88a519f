package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/election"
	"github.com/shalefork/shalefork/internal/peerlink"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workerlimit"
	"github.com/shalefork/shalefork/internal/workers"
)

const (
	// limitsCleanupInterval is the pause between looks for workers that are gone.
	limitsCleanupInterval = time.Second
	// limitRetention is for how long the limit of a worker stays known whose entry is gone: it may
	// serve on, and its entry may be back.
	limitRetention = 30 * time.Second
	// permitTimeout bounds the wait for the leader's answer: the way there and back between
	// regions, and a leader that is busy.
	permitTimeout = 250 * time.Millisecond
	// permitRetryDelay is the pause until a leader is asked again that did not answer, for whatever
	// worker: else each request would wait for it.
	permitRetryDelay = 100 * time.Millisecond
	// maxLimitsPerReport is how many limits one report tells.
	maxLimitsPerReport = 64
)

// Outcomes of asking for permits, as metrics name them.
const (
	permitGranted    = "granted"
	permitRefused    = "refused"
	permitUnanswered = "unanswered"
)

// Who has seen what a worker says of itself, as log lines name it.
const (
	seenBySelf = "self"
	seenByPeer = "told"
)

// workerLimits keeps workers within the limits that they name: it asks the leader before a request
// leaves for one, and answers others while this process leads. It implements proxy.Limits.
type workerLimits struct {
	r      *Router
	member *workerlimit.Limiter
	book   workerlimit.Table
	link   peerlink.PermitClient
	// tenure is that in which this process leads, or led last.
	tenure atomic.Pointer[election.Tenure]
	// silentUntil is until when no leader is asked, a number of clock.Nanos.
	noAskUntil atomic.Int64
	// unreadable counts the answers that named a limit which can't be read.
	unreadable atomic.Int64
	permits    *prometheus.CounterVec
}

func newWorkerLimits(r *Router) *workerLimits {
	member := workerlimit.NewLimiter()
	return &workerLimits{
		r: r, member: member, book: member.Table(),
		link: peerlink.PermitClient{Node: r.settings.Node, Zone: r.settings.Zone},
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_limit_permits_total",
			Help: "Requests for workers that name limits, by what the leader said: granted, refused or unanswered.",
		}, []string{"outcome"}),
	}
}

// Count implements proxy.Limits.
func (l *workerLimits) Count() int { return l.book.ActiveCount() }

// Limited implements proxy.Limits.
func (l *workerLimits) Limited(worker workers.Life) bool {
	_, limited := l.book.Rate(worker)
	return limited
}

// Answered implements proxy.Limits.
func (l *workerLimits) Answered(worker workers.Life, answer *upstream.Result) {
	switch {
	case answer.Limit.Naming == upstream.Limited:
		l.learn(workerlimit.Fact{Worker: worker, Rate: answer.Limit.PerSecond, At: clock.Now()}, seenBySelf)
	case answer.Limit.Naming == upstream.UnreadableLimit:
		l.unreadable.Add(1)
		l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(worker.ID)).
			Strs("unreadable", answer.Header.Values(l.r.adapter.Headers.Limit)).Msg("what was known of its limit stands")
	case answer.Outcome == upstream.Answered && answer.Header.Get(l.r.adapter.Headers.Signature) != "" && l.Limited(worker):
		l.learn(workerlimit.Fact{Worker: worker, Ended: true, At: answer.Sent}, seenBySelf)
	}
}

// learn adds what was seen here, or told by a process that follows this one.
func (l *workerLimits) learn(fact workerlimit.Fact, seenBy string) {
	if l.member.Add(fact) {
		l.log(fact, seenBy)
	}
}

// heard takes what processes that follow this one have learned.
func (l *workerLimits) handleReports(reports []workerlimit.Message) {
	now := clock.Now()
	for _, one := range reports {
		l.learn(one.Fact(now), seenByPeer)
	}
}

// told takes what the leader, or a relay, tells.
func (l *workerLimits) handleUpdate(reports []workerlimit.Message) {
	now := clock.Now()
	for _, one := range reports {
		if fact := one.Fact(now); l.member.ApplyUpdate(fact) {
			l.log(fact, seenByPeer)
		}
	}
}

// tell returns what the leader is to know.
func (l *workerLimits) report() []workerlimit.Message {
	var reports []workerlimit.Message
	now := clock.Now()
	for _, fact := range l.member.TakeReport(maxLimitsPerReport) {
		reports = append(reports, workerlimit.NewMessage(now, fact))
	}
	return reports
}

// Take implements proxy.Limits.
func (l *workerLimits) Take(worker workers.Life, patience, within time.Duration) (time.Duration, bool) {
	fact, known := l.book.Fact(worker)
	if !known || fact.Ended {
		return 0, true
	}
	permit, answered := l.ask(fact, patience, min(within, permitTimeout))
	outcome := permitRefused
	switch {
	case !answered:
		outcome = permitUnanswered
		permit.WaitMillis = permitRetryDelay.Milliseconds()
	case permit.Granted:
		outcome = permitGranted
	}
	l.permits.WithLabelValues(outcome).Inc()
	if permit.LimitEnded != nil {
		l.handleUpdate([]workerlimit.Message{*permit.LimitEnded})
	}
	return permit.Wait(), permit.Granted
}

// ask asks the leader for a permit; false if nobody answers in time that leads.
func (l *workerLimits) ask(fact workerlimit.Fact, patience, within time.Duration) (peerlink.Permit, bool) {
	now := clock.Now()
	if permit, leading := l.issue(now, fact, patience); leading {
		return permit, true
	}
	leader := l.r.hub.FollowedLeader()
	if leader == "" || clock.Nanos(now) < l.noAskUntil.Load() {
		return peerlink.Permit{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	permit, err := l.link.Request(ctx, leader, peerlink.PermitRequest{
		Limit: workerlimit.NewMessage(now, fact), MaxWaitMillis: patience.Milliseconds(),
	})
	if err != nil {
		l.noAskUntil.Store(clock.Nanos(clock.Now().Add(permitRetryDelay)))
	}
	return permit, err == nil
}

// asked answers another process that asks for a permit.
func (l *workerLimits) handlePermitRequest(ask peerlink.PermitRequest) (peerlink.Permit, bool) {
	now := refreshedNow()
	permit, leading := l.issue(now, ask.Limit.Fact(now), time.Duration(max(0, ask.MaxWaitMillis))*time.Millisecond)
	permit.Number = ask.Number
	return permit, leading
}

// issue answers for a leader; false if this process does not lead.
func (l *workerLimits) issue(now time.Time, fact workerlimit.Fact, patience time.Duration) (peerlink.Permit, bool) {
	tenure := l.tenure.Load()
	if tenure == nil {
		return peerlink.Permit{}, false
	}
	permit, leading := l.member.Issue(now, fact, patience, !now.Before(tenure.Until()))
	if permit.Updated {
		l.log(fact, seenByPeer)
	}
	message := peerlink.Permit{Granted: permit.Granted, WaitMillis: (permit.Wait + time.Millisecond - 1).Milliseconds()}
	if permit.LimitEnded != nil {
		report := workerlimit.NewMessage(now, *permit.LimitEnded)
		message.LimitEnded = &report
	}
	return message, leading
}

// lead begins to pace all routers' requests in a tenure.
func (l *workerLimits) lead(tenure *election.Tenure) {
	l.tenure.Store(tenure)
	l.member.SetLeading(true)
}

// stopLeading ends that.
func (l *workerLimits) stopLeading() { l.member.SetLeading(false) }

// run keeps the book tidy until ctx ends.
func (l *workerLimits) run(ctx context.Context) {
	for clock.Sleep(ctx, limitsCleanupInterval) {
		l.forget()
	}
}

// forget drops the limits of workers that are gone.
func (l *workerLimits) forget() {
	l.member.Forget(clock.Now(), func(id workers.ID) bool {
		_, announced := l.r.workers.Get(id)
		return !announced && l.r.workers.GoneFor(id) > limitRetention
	})
}

// log tells what is known now of a worker's limit.
func (l *workerLimits) log(fact workerlimit.Fact, seenBy string) {
	l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(fact.Worker.ID)).Float64("limit", fact.Rate).
		Bool("ended", fact.Ended).Str("seen_by", seenBy).Msg("")
}
