package proxy

import (
	"sync"
	"time"
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
	// assumedNodes is how many processes share the slack until it is known.
	assumedNodes = 14
)

// budget counts one service's second sends in one process. Its slack comes back
// evenly over the window, so no window has more than twice the burst.
type budget struct {
	mu     sync.Mutex
	limits BudgetLimits
	tokens float64
	at     time.Time
}

func newBudget(limits BudgetLimits) *budget {
	return &budget{limits: limits, tokens: 1, at: time.Now()}
}

// request counts a request that may be sent for the first time.
func (b *budget) request(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst(nodes), b.tokens+b.limits.Ratio*budgetShare)
}

func (b *budget) setLimits(limits BudgetLimits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// left returns how many second sends may be made at once.
func (b *budget) left() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// burst is the most that may be sent again at once.
func (b *budget) burst(nodes int) float64 {
	if nodes <= 0 {
		nodes = assumedNodes
	}
	return max(1, b.limits.Slack/2*budgetShare/float64(nodes))
}

// spend takes one second send; false if none is left.
func (b *budget) spend(nodes int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	burst := b.burst(nodes)
	refill := now.Sub(b.at).Seconds() / max(b.limits.Window.Seconds(), 1) * burst
	b.at = now
	b.tokens = min(burst, b.tokens+refill)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
