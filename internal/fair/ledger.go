package fair

import (
	"math"
	"sync"
	"time"
)

const (
	// window is the time constant with which requests are forgotten. One of a hundred routers
	// sees a few requests a second, so a shorter one would judge tenants by chance; a longer
	// one would hold a flood against a tenant's callers long after its end.
	window = 5 * time.Second
	// recently is the time constant of what Yield also looks at: with the window alone a flood
	// filled the workers' queues before it was noticed, and in its first five seconds others
	// waited three times as long as in calm.
	recentWindow = time.Second
	// shortageFactor times what is served is asked for where there is a shortage: one of a tenth or
	// less is nobody's fault, and chance at one router.
	shortageFactor = 1.1
	// excessFactor times its part by weight is what a tenant may ask for before it yields:
	// usual variation between tenants makes nobody wait.
	excessFactor = 1.25
	// deviationFactor times the standard deviation of a number of requests is taken for chance: who is
	// taken wrongly to ask for much only waits for a free worker, and finds one at once in calm.
	deviationFactor = 1
	// minServedRatio is the share of its requests that a tenant gets at least, as a multiple of
	// what all get: whoever is served a quarter as often as all counts as starved, and shares
	// are estimates.
	minServedRatio = 0.4
	// MaxCallers is how many tenants and priorities are told apart, of one service; the others
	// are refused as all are on average. A lane takes about 100 bytes.
	MaxCallers = 256
	// refreshInterval is the longest age of shares: callers do not change their ways sooner.
	refreshInterval = 50 * time.Millisecond
	// levelSteps halve the error of a level each.
	levelSteps = 30
	// rebaseAfter is after how many windows counts are scaled down, long before they overflow.
	rebaseAfter = 20
	// refusalsEndAfter is for how long a caller was not refused for its share until it counts as
	// served again, so that a shortage makes two log lines and not one for each request.
	refusalsEndAfter = 10 * time.Second
	// telling is after how many refusals a caller counts as refused for its share: fewer at one
	// router are chance.
	refusalThreshold = 3
	// forgotten is a number of requests that says nothing more.
	negligible = 0.01
)

// Caller is whom a request counts for.
type Caller struct {
	// Name of the tenant; empty: none.
	Name string
	// Priority: 0 is the highest.
	Priority int
}

// lane is what is known of one caller. Counts are scaled by the ledger's scale.
type callerStats struct {
	weight, requests float64
	// recent counts the same as wanted, of the last moments.
	recentRequests float64
	// refused is the share of requests to refuse, from 0 to 1.
	refusedShare float64
	// refusals counts those for the caller's share, the last of them at refusedAt; zero: none
	// for a while.
	shareRefusals int
	refusedAt     time.Time
}

// Ledger counts what callers ask of one service, or of one of its workers, and what it could not
// serve. The zero value is ready. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	callers map[Caller]*callerStats
	// wanted and lost count all requests; weight is that of all lanes.
	requests, unserved, totalWeight, recentRequests float64
	// base is when a request weighs one; later ones weigh more, which is as if those before
	// were forgotten. recentBase is that of recent counts.
	base, recentBase, refreshedAt time.Time
	// average is the share of all requests to refuse.
	overallRefused float64
}

// Wanted counts a request of a caller of some weight, above zero. It returns true if the caller
// was refused for its share before, and has not been for a while.
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

// Lost counts a request, counted as wanted before, that there was no room for.
func (l *Ledger) RecordUnserved(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unserved += l.scale(now)
}

// Refused notes that a caller is refused for its share. It returns true if it begins to be so.
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

// Shares of requests, from 0 to 1.
type RefusalShares struct {
	// Own is that of a caller's requests that there is no room for, and All that of
	// everybody's.
	Own, All float64
}

// Refuse returns which share of a caller's requests to refuse now.
func (l *Ledger) RefusalShares(now time.Time, caller Caller) RefusalShares {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now, l.scale(now))
	if stats := l.callers[caller]; stats != nil {
		return RefusalShares{Own: stats.refusedShare, All: l.overallRefused}
	}
	return RefusalShares{Own: l.overallRefused, All: l.overallRefused}
}

// Chosen returns which share of a caller's requests to refuse where a share of all has to be
// refused: those who are beyond their share bear it as far as the ledger knows of it, and
// everybody alike what goes beyond.
func (s RefusalShares) Scaled(overall float64) float64 {
	if s.All >= overall {
		return s.Own * overall / max(s.All, negligible)
	}
	return s.Own + (1-s.Own)*(overall-s.All)/(1-s.All)
}

// Yield returns the share of a caller's requests that takes free workers only: what goes clearly
// beyond its part by weight, and what is refused where there is no room. It is zero for one that
// is alone and has room.
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

// excess is the share of a caller's requests that goes clearly beyond its part of all. weight is
// that of the caller as a multiple of all others' together.
func excess(requests, all, weight float64) float64 {
	fairPart := (all - requests) * weight
	allowed := excessFactor*fairPart + deviationFactor*math.Sqrt(max(0, fairPart)) + 1
	if requests <= allowed {
		return 0
	}
	return 1 - allowed/requests
}

// Counted returns how many requests are remembered.
func (l *Ledger) RecentRequests(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests / l.scale(now)
}

// scale is what a request weighs that comes now. The caller holds mu.
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

// recentScale is what a request weighs among the recent ones that comes now. The caller holds mu.
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

// rebase scales all counts, and drops lanes of which nothing is left. The caller holds mu.
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

// lane returns a caller's lane; nil if there are too many. The caller holds mu.
func (l *Ledger) statsOf(caller Caller) *callerStats {
	stats := l.callers[caller]
	if stats == nil && len(l.callers) < MaxCallers {
		stats = &callerStats{}
		l.callers[caller] = stats
	}
	return stats
}
