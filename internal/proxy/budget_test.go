package proxy

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// retryHistory counts the resends and requests of all processes per millisecond.
type retryHistory struct {
	retries, requests []int
}

// countWithin returns the number of events from one time up to another.
func countWithin(events []int, from, to int) int {
	sum := 0
	for index := max(0, from); index < min(to, len(events)); index++ {
		sum += events[index]
	}
	return sum
}

// worstExcess returns by how many resends the worst window exceeds the limits. The number of requests
// is the largest of those in the window itself, the previous window, and the window that starts half
// a window earlier.
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

// retryScenario describes the load, and when processes try to resend requests.
type retryScenario struct {
	nodes int
	// rate returns the requests per second over all processes in the given second.
	rate func(second int) float64
	// wantsRetries reports whether processes resend as much as permitted in the given second.
	wantsRetries func(second int) bool
	// restartAt is the second at whose start all processes restart; zero if they don't.
	restartAt int
}

func everySecond(int) bool { return true }

// All processes resend as much as permitted, in the worst case after saving up tokens and at the same
// time.
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

// Guards against letting each process save up one whole token regardless of its share of the slack.
// All processes together then exceeded the limit by 6.8 resends with 24 processes, and by 69 with 60
// processes that receive few requests. The cases have a slack of less than two per process.
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

// If the slack is scarce, resends are earned by requests only.
func TestScarceSlackAllowsOnlyEarnedRetries(t *testing.T) {
	const nodes, perSend = 60, 20 // half of the ratio of 0.1
	start := time.Unix(1000, 0)
	b := newBudget(BudgetLimits{Ratio: 0.1, Slack: 20, Window: 10 * time.Second})
	earn := func(requests int, at time.Time) {
		for range requests {
			b.recordRequest(nodes, at)
		}
	}
	assert.Assert(t, !b.spend(nodes, start), "no tokens have been earned yet")
	earn(perSend+1, start.Add(time.Second))
	assert.Assert(t, b.spend(nodes, start.Add(2*time.Second)))
	assert.Assert(t, !b.spend(nodes, start.Add(2*time.Second)))
	earn(perSend+1, start.Add(3*time.Second))
	assert.Assert(t, !b.spend(nodes, start.Add(11*time.Second)), "the earned tokens have expired")
}

// worstExcess simulates 40 s, and returns by how many resends the worst window exceeds the limits.
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
