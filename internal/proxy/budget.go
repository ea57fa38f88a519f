package proxy

import (
	"sync"
	"time"

	"github.com/shalefork/shalefork/internal/clock"
)

// BudgetLimits bound the resends of all processes together. A resend is any send of a request after
// its first: a retry or a hedged copy.
type BudgetLimits struct {
	// Ratio is the permitted number of resends per request.
	Ratio float64
	// Slack is the number of additional resends that all processes together may make within Window.
	Slack  float64
	Window time.Duration
}

const (
	// budgetShare is the fraction of the limits that is used.
	budgetShare = 0.75
	// scarceBudgetShare is the fraction of the ratio that is used if the slack is scarce: resends
	// within a window were earned within two windows, of which the users' limit counts only the
	// busier one.
	scarceBudgetShare = 0.5
	// defaultNodes is the assumed number of processes until it is known.
	defaultNodes = 14
)

// budget is a token bucket for one service's resends in one process.
//
// If the slack suffices for at least one resend by each process, tokens are refilled over the window
// such that all processes' full buckets and refills together stay within the slack. If it does not,
// a process gets no part of the slack: it earns tokens by its requests only, and earned tokens expire
// after a window. When each process could save up one token regardless of its share, 60 processes
// with 5 requests per second in total exceeded the limit by 69 resends, with a slack of 20.
type budget struct {
	mu         sync.Mutex
	limits     BudgetLimits
	tokens     float64
	refilledAt time.Time
	// earnedSince is the start of the period in which the current tokens were earned; zero while
	// tokens do not expire.
	earnedSince time.Time
}

func newBudget(limits BudgetLimits) *budget {
	return &budget{limits: limits, tokens: 1, refilledAt: clock.Now()}
}

// recordRequest adds the tokens that a request earns, before its first send.
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

// available returns how many resends may be made at once.
func (b *budget) available() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens
}

// slack returns this process's share of the slack.
func (b *budget) slack(nodes int) float64 {
	if nodes <= 0 {
		nodes = defaultNodes
	}
	return b.limits.Slack / float64(nodes)
}

// scarce reports whether the slack is too small for one resend by each process.
func (b *budget) scarce(nodes int) bool { return b.slack(nodes) < 1 }

// burst returns the capacity of the bucket.
func (b *budget) burst(nodes int) float64 { return max(1, b.slack(nodes)/2*budgetShare) }

// refill returns how many tokens are refilled per window: the part of the slack that remains if the
// bucket is full, at most a whole burst.
func (b *budget) refill(nodes int) float64 {
	burst := b.burst(nodes)
	return min(burst, max(0, b.slack(nodes)-burst))
}

// expire discards the tokens once a window has passed since they began to be earned, if the slack is
// scarce. The caller holds mu.
func (b *budget) expire(nodes int, now time.Time) {
	switch {
	case !b.scarce(nodes):
		b.earnedSince = time.Time{}
	case b.earnedSince.IsZero() || now.Sub(b.earnedSince) >= b.limits.Window:
		b.tokens, b.earnedSince = 0, now
	}
}

// spend takes a token for one resend, or returns false if there is none.
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
