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
	recently = time.Second
	// shortFactor times what is served is asked for where there is a shortage: one of a tenth or
	// less is nobody's fault, and chance at one router.
	shortFactor = 1.1
	// beyondFactor times its part by weight is what a tenant may ask for before it yields:
	// usual variation between tenants makes nobody wait.
	beyondFactor = 1.25
	// chanceFactor times the standard deviation of a number of requests is taken for chance: who is
	// taken wrongly to ask for much only waits for a free worker, and finds one at once in calm.
	chanceFactor = 1
	// leastServed is the share of its requests that a tenant gets at least, as a multiple of
	// what all get: whoever is served a quarter as often as all counts as starved, and shares
	// are estimates.
	leastServed = 0.4
	// MaxCallers is how many tenants and priorities are told apart, of one service; the others
	// are refused as all are on average. A lane takes about 100 bytes.
	MaxCallers = 256
	// refreshEvery is the longest age of shares: callers do not change their ways sooner.
	refreshEvery = 50 * time.Millisecond
	// levelSteps halve the error of a level each.
	levelSteps = 30
	// rebaseAfter is after how many windows counts are scaled down, long before they overflow.
	rebaseAfter = 20
	// endedAfter is for how long a caller was not refused for its share until it counts as
	// served again, so that a shortage makes two log lines and not one for each request.
	endedAfter = 10 * time.Second
	// telling is after how many refusals a caller counts as refused for its share: fewer at one
	// router are chance.
	telling = 3
	// forgotten is a number of requests that says nothing more.
	forgotten = 0.01
)

// Caller is whom a request counts for.
type Caller struct {
	// Name of the tenant; empty: none.
	Name string
	// Priority: 0 is the highest.
	Priority int
}

// lane is what is known of one caller. Counts are scaled by the ledger's scale.
type lane struct {
	weight, wanted float64
	// recent counts the same as wanted, of the last moments.
	recent float64
	// refused is the share of requests to refuse, from 0 to 1.
	refused float64
	// refusals counts those for the caller's share, the last of them at refusedAt; zero: none
	// for a while.
	refusals  int
	refusedAt time.Time
}

// Ledger counts what callers ask of one service, or of one of its workers, and what it could not
// serve. The zero value is ready. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	lanes map[Caller]*lane
	// wanted and lost count all requests; weight is that of all lanes.
	wanted, lost, weight, recent float64
	// base is when a request weighs one; later ones weigh more, which is as if those before
	// were forgotten. recentBase is that of recent counts.
	base, recentBase, refreshed time.Time
	// average is the share of all requests to refuse.
	average float64
}

// Wanted counts a request of a caller of some weight, above zero. It returns true if the caller
// was refused for its share before, and has not been for a while.
func (l *Ledger) RecordRequest(now time.Time, caller Caller, weight float64) (ended bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale := l.scale(now)
	recentScale := l.recentScale(now)
	l.wanted += scale
	l.recent += recentScale
	known := l.lane(caller)
	if known == nil {
		return false
	}
	l.weight += weight - known.weight
	known.weight = weight
	known.wanted += scale
	known.recent += recentScale
	if known.refusals == 0 || now.Sub(known.refusedAt) < endedAfter {
		return false
	}
	ended = known.refusals >= telling
	known.refusals = 0
	return ended
}

// Lost counts a request, counted as wanted before, that there was no room for.
func (l *Ledger) RecordUnserved(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost += l.scale(now)
}

// Refused notes that a caller is refused for its share. It returns true if it begins to be so.
func (l *Ledger) RecordShareRefusal(now time.Time, caller Caller) (began bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.lanes[caller]
	if known == nil {
		return false
	}
	known.refusedAt = now
	known.refusals++
	return known.refusals == telling
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
	if known := l.lanes[caller]; known != nil {
		return RefusalShares{Own: known.refused, All: l.average}
	}
	return RefusalShares{Own: l.average, All: l.average}
}

// Chosen returns which share of a caller's requests to refuse where a share of all has to be
// refused: those who are beyond their share bear it as far as the ledger knows of it, and
// everybody alike what goes beyond.
func (s RefusalShares) Scaled(all float64) float64 {
	if s.All >= all {
		return s.Own * all / max(s.All, forgotten)
	}
	return s.Own + (1-s.Own)*(all-s.All)/(1-s.All)
}

// Yield returns the share of a caller's requests that takes free workers only: what goes clearly
// beyond its part by weight, and what is refused where there is no room. It is zero for one that
// is alone and has room.
func (l *Ledger) YieldShare(now time.Time, caller Caller) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	scale := l.scale(now)
	l.refresh(now, scale)
	known := l.lanes[caller]
	if known == nil || len(l.lanes) == 1 {
		return 0
	}
	weight := known.weight / (l.weight - known.weight)
	recentScale := l.recentScale(now)
	beyond := max(excess(known.wanted/scale, l.wanted/scale, weight), excess(known.recent/recentScale, l.recent/recentScale, weight))
	return max(known.refused, min(beyond, 1-leastServed))
}

// excess is the share of a caller's requests that goes clearly beyond its part of all. weight is
// that of the caller as a multiple of all others' together.
func excess(wanted, all, weight float64) float64 {
	part := (all - wanted) * weight
	borne := beyondFactor*part + chanceFactor*math.Sqrt(max(0, part)) + 1
	if wanted <= borne {
		return 0
	}
	return 1 - borne/wanted
}

// Counted returns how many requests are remembered.
func (l *Ledger) RecentRequests(now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wanted / l.scale(now)
}

// scale is what a request weighs that comes now. The caller holds mu.
func (l *Ledger) scale(now time.Time) float64 {
	if l.base.IsZero() {
		l.base = now
		l.lanes = map[Caller]*lane{}
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
	passed := now.Sub(l.recentBase).Seconds() / recently.Seconds()
	if passed < rebaseAfter {
		return math.Exp(passed)
	}
	factor := math.Exp(-passed)
	l.recent *= factor
	for _, known := range l.lanes {
		known.recent *= factor
	}
	l.recentBase = now
	return 1
}

// rebase scales all counts, and drops lanes of which nothing is left. The caller holds mu.
func (l *Ledger) rebase(factor float64) {
	l.wanted *= factor
	l.lost *= factor
	for caller, known := range l.lanes {
		known.wanted *= factor
		if known.wanted < forgotten {
			l.weight -= known.weight
			delete(l.lanes, caller)
		}
	}
}

// lane returns a caller's lane; nil if there are too many. The caller holds mu.
func (l *Ledger) lane(caller Caller) *lane {
	known := l.lanes[caller]
	if known == nil && len(l.lanes) < MaxCallers {
		known = &lane{}
		l.lanes[caller] = known
	}
	return known
}
