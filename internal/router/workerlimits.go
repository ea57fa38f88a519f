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
	// limitsCleanupInterval is how often limits of removed workers are cleaned up.
	limitsCleanupInterval = time.Second
	// limitRetention is how long the limit of a worker is kept after its entry is removed: the
	// worker may still serve, and its entry may come back.
	limitRetention = 30 * time.Second
	// permitTimeout bounds the wait for the leader's answer. It covers a round trip between regions
	// and a busy leader.
	permitTimeout = 250 * time.Millisecond
	// permitRetryDelay is the delay, for all workers, until another permit is requested from a
	// leader that did not answer. Without it, each request would wait for the leader.
	permitRetryDelay = 100 * time.Millisecond
	// maxLimitsPerReport is how many limits one report contains.
	maxLimitsPerReport = 64
)

// Outcomes of permit requests, as metrics label them.
const (
	permitGranted    = "granted"
	permitRefused    = "refused"
	permitUnanswered = "unanswered"
)

// Sources of a worker's notice about itself, as log lines name them.
const (
	seenBySelf = "self"
	seenByPeer = "told"
)

// workerLimits enforces the rate limits that workers announce. Before a request is sent to such a
// worker, it asks the leader for a permit; while this process leads, it grants permits to others.
// It implements proxy.Limits.
type workerLimits struct {
	r            *Router
	limiter      *workerlimit.Limiter
	table        workerlimit.Table
	permitClient peerlink.PermitClient
	// tenure is the current or last tenure of this process as leader.
	tenure atomic.Pointer[election.Tenure]
	// noRequestUntil is the time, in clock.Nanos, until which no permit is requested from a leader.
	noRequestUntil atomic.Int64
	// unreadable counts the responses with a limit that can't be parsed.
	unreadable atomic.Int64
	permits    *prometheus.CounterVec
}

func newWorkerLimits(r *Router) *workerLimits {
	limiter := workerlimit.NewLimiter()
	return &workerLimits{
		r: r, limiter: limiter, table: limiter.Table(),
		permitClient: peerlink.PermitClient{Node: r.settings.Node, Zone: r.settings.Zone},
		permits: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "shalefork_router_limit_permits_total",
			Help: "Requests for workers that name limits, by what the leader said: granted, refused or unanswered.",
		}, []string{"outcome"}),
	}
}

// LimitedCount implements proxy.Limits.
func (l *workerLimits) LimitedCount() int { return l.table.ActiveCount() }

// IsLimited implements proxy.Limits.
func (l *workerLimits) IsLimited(worker workers.Incarnation) bool {
	_, limited := l.table.Rate(worker)
	return limited
}

// RecordAnswer implements proxy.Limits.
func (l *workerLimits) RecordAnswer(worker workers.Incarnation, answer *upstream.Result) {
	switch {
	case answer.Limit.Status == upstream.Limited:
		l.addFact(workerlimit.Fact{Worker: worker, Rate: answer.Limit.PerSecond, At: clock.Now()}, seenBySelf)
	case answer.Limit.Status == upstream.UnreadableLimit:
		l.unreadable.Add(1)
		l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(worker.ID)).
			Strs("unreadable", answer.Header.Values(l.r.adapter.Headers.Limit)).Msg("invalid limit in a response; the previous limit stays in effect")
	case answer.Outcome == upstream.Answered && answer.Header.Get(l.r.adapter.Headers.Signature) != "" && l.IsLimited(worker):
		l.addFact(workerlimit.Fact{Worker: worker, Ended: true, At: answer.SentAt}, seenBySelf)
	}
}

// addFact records a fact that was observed here or reported by a follower.
func (l *workerLimits) addFact(fact workerlimit.Fact, seenBy string) {
	if l.limiter.Add(fact) {
		l.log(fact, seenBy)
	}
}

// handleReports records facts reported by followers of this process.
func (l *workerLimits) handleReports(reports []workerlimit.Message) {
	now := clock.Now()
	for _, report := range reports {
		l.addFact(report.Fact(now), seenByPeer)
	}
}

// handleUpdate applies facts received from the leader or a relay.
func (l *workerLimits) handleUpdate(updates []workerlimit.Message) {
	now := clock.Now()
	for _, update := range updates {
		if fact := update.Fact(now); l.limiter.ApplyUpdate(fact) {
			l.log(fact, seenByPeer)
		}
	}
}

// report returns the facts to report to the leader.
func (l *workerLimits) report() []workerlimit.Message {
	var reports []workerlimit.Message
	now := clock.Now()
	for _, fact := range l.limiter.TakeReport(maxLimitsPerReport) {
		reports = append(reports, workerlimit.NewMessage(now, fact))
	}
	return reports
}

// AcquirePermit implements proxy.Limits.
func (l *workerLimits) AcquirePermit(worker workers.Incarnation, maxWait, timeout time.Duration) (time.Duration, bool) {
	fact, known := l.table.Fact(worker)
	if !known || fact.Ended {
		return 0, true
	}
	permit, answered := l.requestPermit(fact, maxWait, min(timeout, permitTimeout))
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

// requestPermit requests a permit from the leader; false if no leader answers in time.
func (l *workerLimits) requestPermit(fact workerlimit.Fact, maxWait, timeout time.Duration) (peerlink.Permit, bool) {
	now := clock.Now()
	if permit, leading := l.issue(now, fact, maxWait); leading {
		return permit, true
	}
	leader := l.r.hub.FollowedLeader()
	if leader == "" || clock.Nanos(now) < l.noRequestUntil.Load() {
		return peerlink.Permit{}, false
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	permit, err := l.permitClient.Request(ctx, leader, peerlink.PermitRequest{
		Limit: workerlimit.NewMessage(now, fact), MaxWaitMillis: maxWait.Milliseconds(),
	})
	if err != nil {
		l.noRequestUntil.Store(clock.Nanos(clock.Now().Add(permitRetryDelay)))
	}
	return permit, err == nil
}

// handlePermitRequest answers a permit request from another process.
func (l *workerLimits) handlePermitRequest(request peerlink.PermitRequest) (peerlink.Permit, bool) {
	now := refreshedNow()
	permit, leading := l.issue(now, request.Limit.Fact(now), time.Duration(max(0, request.MaxWaitMillis))*time.Millisecond)
	permit.Number = request.Number
	return permit, leading
}

// issue grants or refuses a permit as the leader; false if this process does not lead.
func (l *workerLimits) issue(now time.Time, fact workerlimit.Fact, maxWait time.Duration) (peerlink.Permit, bool) {
	tenure := l.tenure.Load()
	if tenure == nil {
		return peerlink.Permit{}, false
	}
	permit, leading := l.limiter.Issue(now, fact, maxWait, !now.Before(tenure.AuthorityUntil()))
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

// lead starts pacing the requests of all routers, for a tenure.
func (l *workerLimits) lead(tenure *election.Tenure) {
	l.tenure.Store(tenure)
	l.limiter.SetLeading(true)
}

// stopLeading stops pacing the requests of all routers.
func (l *workerLimits) stopLeading() { l.limiter.SetLeading(false) }

// run cleans up the recorded limits until ctx ends.
func (l *workerLimits) run(ctx context.Context) {
	for clock.Sleep(ctx, limitsCleanupInterval) {
		l.forget()
	}
}

// forget drops the limits of workers that have had no entry for limitRetention.
func (l *workerLimits) forget() {
	l.limiter.Forget(clock.Now(), func(id workers.ID) bool {
		_, announced := l.r.workers.Get(id)
		return !announced && l.r.workers.GoneFor(id) > limitRetention
	})
}

// log logs the current state of a worker's limit.
func (l *workerLimits) log(fact workerlimit.Fact, seenBy string) {
	l.r.log.Line(decision.KindWorkerLimit).Str("worker", string(fact.Worker.ID)).Float64("limit", fact.Rate).
		Bool("ended", fact.Ended).Str("seen_by", seenBy).Msg("")
}
