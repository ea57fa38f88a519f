package proxy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// spends are the second sends of all processes, and requests the first ones, by
// milliseconds.
type retryHistory struct {
	retries, requests []int
}

// within counts a window's events.
func countWithin(events []int, from, to int) int {
	sum := 0
	for index := max(0, from); index < min(to, len(events)); index++ {
		sum += events[index]
	}
	return sum
}

// exceeds returns by how much the worst window is over the limits. Requests count in
// whichever has most: the window, the one before it, or the one half a window before it.
func (s retryHistory) worstExcess(limits BudgetLimits) float64 {
	window := int(limits.Window.Milliseconds())
	worst := math.Inf(-1)
	for from := -window; from+window <= len(s.retries); from += 50 {
		requests := max(countWithin(s.requests, from, from+window), countWithin(s.requests, from-window, from), countWithin(s.requests, from-window/2, from+window/2))
		allowed := limits.Ratio*float64(requests) + limits.Slack
		worst = max(worst, float64(countWithin(s.retries, from, from+window))-allowed)
	}
	return worst
}

// spending is when second sends are wanted from how many processes.
type retryScenario struct {
	nodes int
	// rate of requests a second over all processes, by second.
	rate func(second int) float64
	// wanted says whether second sends are wanted at a second.
	wantsRetries func(second int) bool
	// restarts is the second at whose beginning all processes start again; zero: none does.
	restartAt int
}

func everySecond(int) bool { return true }

// All processes send again whatever they may, in the worst pattern: each saves up and they
// all spend at once.
func TestRetriesStayWithinLimitInEveryWindow(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.2, Slack: 188, Window: 10 * time.Second}
	for name, c := range map[string]retryScenario{
		"always":         {nodes: 74, rate: func(int) float64 { return 900 }, wantsRetries: everySecond},
		"in bursts":      {nodes: 74, rate: func(int) float64 { return 900 }, wantsRetries: func(second int) bool { return second%7 == 6 }},
		"few processes":  {nodes: 11, rate: func(int) float64 { return 70 }, wantsRetries: func(second int) bool { return second%5 == 4 }},
		"load that ends": {nodes: 74, rate: func(second int) float64 { return 1500 * float64(second/10%2) }, wantsRetries: func(second int) bool { return second%10 >= 9 || second%10 < 2 }},
		"hardly any":     {nodes: 74, rate: func(int) float64 { return 5 }, wantsRetries: everySecond},
		"all restart":    {nodes: 74, rate: func(int) float64 { return 5 }, wantsRetries: func(second int) bool { return second >= 14 }, restartAt: 15},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, c.worstExcess(limits) <= 0, "%f over", c.worstExcess(limits)) })
	}
}

// Each process saved up one whole second send, however small its share of the slack is: all
// together sent 6.8 more than they may with 24 processes, and 69 more with 60 that hardly send.
// Found by a check of processes with a slack below two for each of them.
func TestSmallSlackHoldsWithManyProcesses(t *testing.T) {
	limits := BudgetLimits{Ratio: 0.1, Slack: 20, Window: 10 * time.Second}
	for name, c := range map[string]retryScenario{
		"always":          {nodes: 24, rate: func(int) float64 { return 40 }, wantsRetries: everySecond},
		"in bursts":       {nodes: 24, rate: func(int) float64 { return 40 }, wantsRetries: func(second int) bool { return second%10 == 9 }},
		"hardly any":      {nodes: 60, rate: func(int) float64 { return 5 }, wantsRetries: everySecond},
		"just one each":   {nodes: 20, rate: func(int) float64 { return 40 }, wantsRetries: func(second int) bool { return second%10 == 9 }},
		"nearly two each": {nodes: 11, rate: func(int) float64 { return 5 }, wantsRetries: everySecond},
		"load that ends":  {nodes: 24, rate: func(second int) float64 { return 2000 * float64(second/10%2) }, wantsRetries: func(second int) bool { return second%10 >= 9 || second%10 < 2 }},
	} {
		t.Run(name, func(t *testing.T) { assert.Assert(t, c.worstExcess(limits) <= 0, "%f over", c.worstExcess(limits)) })
	}
}

// Where the slack is scarce, second sends are earned by requests.
func TestScarceSlackAllowsOnlyEarnedRetries(t *testing.T) {
	const nodes, perSend = 60, 20 // half of the ratio of 0.1
	start := time.Unix(1000, 0)
	b := newBudget(BudgetLimits{Ratio: 0.1, Slack: 20, Window: 10 * time.Second})
	earn := func(requests int, at time.Time) {
		for range requests {
			b.recordRequest(nodes, at)
		}
	}
	assert.Assert(t, !b.spend(nodes, start), "nothing is earned yet")
	earn(perSend+1, start.Add(time.Second))
	assert.Assert(t, b.spend(nodes, start.Add(2*time.Second)))
	assert.Assert(t, !b.spend(nodes, start.Add(2*time.Second)))
	earn(perSend+1, start.Add(3*time.Second))
	assert.Assert(t, !b.spend(nodes, start.Add(11*time.Second)), "it lapsed")
}

// excess plays 40 s, and returns by how many second sends the worst window exceeds its limit.
func (c retryScenario) worstExcess(limits BudgetLimits) float64 {
	start := time.Unix(1000, 0)
	random := rand.New(rand.NewPCG(1, 2))
	list := make([]*budget, c.nodes)
	begin := func(now time.Time) {
		for index := range list {
			list[index] = newBudget(limits)
			list[index].refilledAt = now
		}
	}
	begin(start)
	const length = 40
	seen := retryHistory{retries: make([]int, length*1000), requests: make([]int, length*1000)}
	for milli := range length * 1000 {
		now := start.Add(time.Duration(milli) * time.Millisecond)
		if milli > 0 && milli == c.restartAt*1000 {
			begin(now)
		}
		for expected := c.rate(milli/1000) / 1000; expected > random.Float64(); expected-- {
			list[random.IntN(c.nodes)].recordRequest(c.nodes, now)
			seen.requests[milli]++
		}
		if !c.wantsRetries(milli / 1000) {
			continue
		}
		for _, one := range list {
			for one.spend(c.nodes, now) {
				seen.retries[milli]++
			}
		}
	}
	return seen.worstExcess(limits)
}
