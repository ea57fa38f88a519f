package proxy

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// BudgetLimits bound the second sends of all processes together.
type BudgetLimits struct {
	// Ratio of second sends to requests.
	Ratio float64
	// Slack is what all processes together may send again beyond it within Window.
	Slack  float64
	Window time.Duration
}

const (
	// budgetShare is the part of the limit that is used.
	budgetShare = 0.75
	// scarceBudgetShare is that of the ratio where the slack is scarce: what is sent within a window
	// was earned within two of them, of which the users' limit counts the busier one.
	scarceBudgetShare = 0.5
	// defaultNodes is how many processes share the slack until it is known.
	defaultNodes = 14
)

// budget counts one service's second sends in one process.
//
// Where the slack is enough for a whole second send of each process, it comes back over the
// window, by so much that the sends that all have saved up and those that come back stay within
// it. Where it is not, a process has none of it: it earns second sends by its requests alone, and
// what it has earned lapses after a window. A process that may save up one send whatever its share
// is broke the limit by 69 of 20 with 60 processes that get 5 requests a second together.
type budget struct {
	mu         sync.Mutex
	limits     BudgetLimits
	tokens     float64
	refilledAt time.Time
	// earnedSince is when tokens began to be earned that lapse; zero while none lapse.
	earnedSince time.Time
}

func newBudget(limits BudgetLimits) *budget {
	return &budget{limits: limits, tokens: 1, refilledAt: clock.Now()}
}

// request counts a request that may be sent for the first time.
func (b *budget) recordRequest(nodes int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(nodes, now)
	share := budgetShare
	if b.scarce(nodes) {
		share = scarceBudgetShare
	}
	b.tokens = min(b.burst(nodes), b.tokens+b.limits.Ratio*share)
}

func (b *budget) setLimits(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// left returns how many second sends may be made at once.
func (b *budget) available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// slack returns a process's part of the slack.
func (b *budget) slack(nodes int) float64 {
	if nodes <= 0 {
		nodes = defaultNodes
	}
	return b.limits.Slack / float64(nodes)
}

// scarce reports whether the slack is too little for one second send of each process.
func (b *budget) scarce(nodes int) bool { return b.slack(nodes) < 1 }

// burst is the most that may be sent again at once.
func (b *budget) burst(nodes int) float64 { return max(1, b.slack(nodes)/2*budgetShare) }

// refill is how much of the slack comes back within a window: what is left of it where all
// have saved up their burst.
func (b *budget) refill(nodes int) float64 {
	burst := b.burst(nodes)
	return min(burst, max(0, b.slack(nodes)-burst))
}

// lapse drops what was earned too long ago, where the slack is scarce. The caller holds mu.
func (b *budget) expire(nodes int, now time.Time) {
	switch {
	case !b.scarce(nodes):
		b.earnedSince = time.Time{}
	case b.earnedSince.IsZero() || now.Sub(b.earnedSince) >= b.limits.Window:
		b.tokens, b.earnedSince = 0, now
	}
}

// spend takes one second send; false if none is left.
func (b *budget) spend(nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(nodes, now)
	refill := now.Sub(b.refilledAt).Seconds() / max(b.limits.Window.Seconds(), 1) * b.refill(nodes)
	b.refilledAt = now
	b.tokens = min(b.burst(nodes), b.tokens+refill)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
