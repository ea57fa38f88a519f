package fair

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time constant of the exponential decay of request counts. One of a hundred
	// routers sees a few requests a second, so counts over a shorter window would be dominated by
	// chance; a longer one would penalize a tenant's callers long after the end of a flood.
	window = 5 * time.Second
	// recentWindow is the time constant of the short-term counts that YieldShare also uses. With
	// window alone, a flood filled the workers' queues before it was detected, and in its first
	// five seconds other tenants waited three times as long as under normal load.
	recentWindow = time.Second
	// shortageFactor is the ratio of demand to served requests above which there is a shortage. At
	// one router, an excess of a tenth or less is chance and is attributed to no caller.
	shortageFactor = 1.1
	// excessFactor times its fair part by weight is the demand above which a tenant yields, so that
	// normal variation between tenants makes no request wait.
	excessFactor = 1.25
	// deviationFactor times the standard deviation of a number of requests counts as chance. A caller
	// that is wrongly found to be beyond its part only waits for a free worker, and under normal
	// load there is one at once.
	deviationFactor = 1
	// minServedRatio is the least share of a tenant's requests that is served, as a multiple of the
	// share that is served overall. A tenant at a quarter of the overall share counts as starved;
	// the ratio is higher since shares are estimates.
	minServedRatio = 0.4
	// MaxCallers is the maximum number of callers (pairs of tenant and priority) tracked for one
	// service. The others are refused at the overall rate. A caller takes about 100 bytes.
	MaxCallers = 256
	// refreshInterval is the maximum age of computed shares: demand doesn't change faster.
	refreshInterval = 50 * time.Millisecond
	// levelSteps is the number of bisection steps for the water level in waterFill.
	levelSteps = 30
	// rebaseAfter is the number of time constants after which counts are scaled down, long before
	// they overflow.
	rebaseAfter = 20
	// refusalsEndAfter is the time since a caller's last refusal for its share after which the
	// caller counts as served again, so that a shortage logs two lines and not one per request.
	refusalsEndAfter = 10 * time.Second
	// refusalThreshold is the number of refusals from which a caller counts as refused for its
	// share: fewer at one router are chance.
	refusalThreshold = 3
	// negligible is the decayed request count below which a caller is dropped. It is also the
	// least divisor in RefusalShares.Scaled.
	negligible = 0.01
)

// Caller identifies the tenant and priority that a request is counted for.
type Caller struct {
	// Name is the tenant's name; empty for requests without a tenant.
	Name string
	// Priority 0 is the highest.
	Priority int
}

// callerStats are the counts of one caller, scaled by Ledger.scale and Ledger.recentScale.
type callerStats struct {
	weight, requests float64
	// recentRequests counts the same requests with the decay of recentWindow.
	recentRequests float64
	// refusedShare is the share of the caller's requests to refuse, from 0 to 1.
	refusedShare float64
	// shareRefusals counts refusals for the caller's share, the last of them at refusedAt. The
	// first request after refusalsEndAfter without a refusal resets it.
	shareRefusals int
	refusedAt     time.Time
}

// Ledger counts the requests of callers to one service, or to one of its workers, and those that
// could not be served. The zero value is ready to use. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	callers map[Caller]*callerStats
	// requests and unserved count those of all callers, recentRequests with the decay of
	// recentWindow; totalWeight is the sum over callers.
	requests, unserved, totalWeight, recentRequests float64
	// base is the time at which a request counts as one. Later requests count more, which is
	// equivalent to a decay of the earlier ones. recentBase is the same for recentRequests.
	base, recentBase, refreshedAt time.Time
	// overallRefused is the share of all requests to refuse, from 0 to 1.
	overallRefused float64
}

// RecordRequest counts a request of a caller whose weight is above zero. ended reports that the
// caller was being refused for its share and has not been for refusalsEndAfter.
func (l *Ledger) RecordRequest(now time.Time, caller Caller, weight float64) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale := l.scale(now)
	recentScale := l.recentScale(now)
	l.requests += scale
	l.recentRequests += recentScale
	stats := l.statsOf(caller)
	if stats == nil {
		return false
	}
	l.totalWeight += weight - stats.weight
	stats.weight = weight
	stats.requests += scale
	stats.recentRequests += recentScale
	if stats.shareRefusals == 0 || now.Sub(stats.refusedAt) < refusalsEndAfter {
		return false
	}
	ended = stats.shareRefusals >= refusalThreshold
	stats.shareRefusals = 0
	return ended
}

// RecordUnserved counts a request for which there was no capacity. RecordRequest has counted it
// before.
func (l *Ledger) RecordUnserved(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unserved += l.scale(now)
}

// RecordShareRefusal counts a refusal of a caller's request for its share. began reports that the
// caller counts as refused for its share from this refusal on.
func (l *Ledger) RecordShareRefusal(now time.Time, caller Caller) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	stats := l.callers[caller]
	if stats == nil {
		return false
	}
	stats.refusedAt = now
	stats.shareRefusals++
	return stats.shareRefusals == refusalThreshold
}

// RefusalShares are shares of requests to refuse, from 0 to 1.
type RefusalShares struct {
	// Own is the share of the caller's requests, and All that of the requests of all callers.
	Own, All float64
}

// RefusalShares returns the share of a caller's requests to refuse now, and that of all requests.
func (l *Ledger) RefusalShares(now time.Time, caller Caller) RefusalShares {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now, l.scale(now))
	if stats := l.callers[caller]; stats != nil {
		return RefusalShares{Own: stats.refusedShare, All: l.overallRefused}
	}
	return RefusalShares{Own: l.overallRefused, All: l.overallRefused}
}

// Scaled returns the share of a caller's requests to refuse where a given overall share has to be
// refused. Up to All, refusals are distributed in proportion to Own; the rest is distributed evenly
// over all callers.
func (s RefusalShares) Scaled(overall float64) float64 {
	if s.All >= overall {
		return s.Own * overall / max(s.All, negligible)
	}
	return s.Own + (1-s.Own)*(overall-s.All)/(1-s.All)
}

// YieldShare returns the share of a caller's requests that may only use free workers: the larger of
// the share that clearly exceeds its fair part by weight and the share that is refused in a
// shortage. It is zero for the only caller and for one that is not tracked.
func (l *Ledger) YieldShare(now time.Time, caller Caller) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale := l.scale(now)
	l.refresh(now, scale)
	stats := l.callers[caller]
	if stats == nil || len(l.callers) == 1 {
		return 0
	}
	weight := stats.weight / (l.totalWeight - stats.weight)
	recentScale := l.recentScale(now)
	overShare := max(excess(stats.requests/scale, l.requests/scale, weight), excess(stats.recentRequests/recentScale, l.recentRequests/recentScale, weight))
	return max(stats.refusedShare, min(overShare, 1-minServedRatio))
}

// excess returns the share of a caller's requests that clearly exceeds its fair part of all
// requests. weight is the caller's weight divided by the sum of all others'.
func excess(requests, all, weight float64) float64 {
	fairPart := (all - requests) * weight
	allowed := excessFactor*fairPart + deviationFactor*math.Sqrt(max(0, fairPart)) + 1
	if requests <= allowed {
		return 0
	}
	return 1 - allowed/requests
}

// RecentRequests returns the decayed count of the requests of all callers.
func (l *Ledger) RecentRequests(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests / l.scale(now)
}

// scale returns how much a request that arrives now counts. l.mu must be held.
func (l *Ledger) scale(now time.Time) float64 {
	if l.base.IsZero() {
		l.base = now
		l.callers = map[Caller]*callerStats{}
	}
	passed := now.Sub(l.base).Seconds() / window.Seconds()
	if passed < rebaseAfter {
		return math.Exp(passed)
	}
	l.rebase(math.Exp(-passed))
	l.base = now
	return 1
}

// recentScale returns how much a request that arrives now counts in recentRequests. l.mu must be
// held.
func (l *Ledger) recentScale(now time.Time) float64 {
	passed := now.Sub(l.recentBase).Seconds() / recentWindow.Seconds()
	if passed < rebaseAfter {
		return math.Exp(passed)
	}
	factor := math.Exp(-passed)
	l.recentRequests *= factor
	for _, stats := range l.callers {
		stats.recentRequests *= factor
	}
	l.recentBase = now
	return 1
}

// rebase multiplies the counts by factor and drops callers whose count is negligible. l.mu must be
// held.
func (l *Ledger) rebase(factor float64) {
	l.requests *= factor
	l.unserved *= factor
	for caller, stats := range l.callers {
		stats.requests *= factor
		if stats.requests < negligible {
			l.totalWeight -= stats.weight
			delete(l.callers, caller)
		}
	}
}

// statsOf returns the stats of a caller, which it creates if needed; nil if there are MaxCallers
// others. l.mu must be held.
func (l *Ledger) statsOf(caller Caller) *callerStats {
	stats := l.callers[caller]
	if stats == nil && len(l.callers) < MaxCallers {
		stats = &callerStats{}
		l.callers[caller] = stats
	}
	return stats
}
