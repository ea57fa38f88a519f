package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
)

// load is the demand of a tenant's callers, at routers picked at random.
type load struct {
	routers int
	// rate is the tenant's limit per second, and share the demand as a share of it.
	rate, share float64
}

// loadStats are the results of a simulated load. Those named static are of static shares.
type loadStats struct {
	requests, refused, staticRefused int
	// peak and staticPeak are the highest numbers of requests within a window, as shares of the
	// limit.
	peak, staticPeak float64
	messages, bytes  float64
}

// waitingRequest is a request that waits for a unit until a time.
type waitingRequest struct {
	router *testRouter
	until  time.Time
}

// messageDelay is the transit time of a message between a router and its leader, through a relay.
const messageDelay = 25 * time.Millisecond

// simulateLoad simulates a load for some seconds, of which routers join in the first five. The same
// requests are counted against static shares: an equal share of the limit for each router, with the
// remainder given to the first ones.
func simulateLoad(t testing.TB, l load, seconds int) loadStats {
	random := rand.New(rand.NewPCG(7, uint64(l.routers)))
	tenant := &routing.Tenant{Name: "tenant-17", Rate: l.rate, Burst: l.rate}
	s := newSimulation(t, l.routers, tenant)
	s.pacedReports = true
	limit := s.bound.Allowed(tenant)
	static := make([]windowCounter, l.routers)
	for index := range static {
		static[index] = newWindowCounter(s.bound.slots())
	}
	var stats loadStats
	var staticTaken []time.Duration
	var waiting []waitingRequest
	began := s.now
	for s.now.Sub(began) < time.Duration(seconds)*time.Second {
		s.step(slotTime/10, func() time.Duration { return messageDelay })
		if s.now.Sub(began) < 5*time.Second { // routers join
			s.messages, s.bytes = 0, 0
			continue
		}
		expected := l.rate * l.share * (slotTime / 10).Seconds()
		for range poisson(random, expected) {
			router := random.IntN(l.routers)
			stats.requests++
			if !s.request(s.routers[router]) {
				waiting = append(waiting, waitingRequest{s.routers[router], s.now.Add(250 * time.Millisecond)})
			}
			staticShare := limit / l.routers
			if router < limit%l.routers {
				staticShare++
			}
			now := s.now.Sub(began)
			static[router].advance(now)
			if static[router].used >= staticShare {
				stats.staticRefused++
				continue
			}
			static[router].add()
			staticTaken = append(staticTaken, now)
		}
		waiting = slices.DeleteFunc(waiting, func(w waitingRequest) bool {
			if w.router.holder.CreditRaised(s.now, tenant) == nil || !s.now.Before(w.until) {
				w.router.holder.RecordRefused(s.now, tenant)
				stats.refused++
				return true
			}
			return s.request(w.router)
		})
		stats.peak = max(stats.peak, float64(s.grantedInWindow())/float64(limit))
		within := 0
		for index := len(staticTaken) - 1; index >= 0 && s.now.Sub(began)-staticTaken[index] < testWindow; index-- {
			within++
		}
		stats.staticPeak = max(stats.staticPeak, float64(within)/float64(limit))
	}
	stats.messages, stats.bytes = float64(s.messages)/float64(seconds-5), float64(s.bytes)/float64(seconds-5)
	return stats
}

// poisson returns a random number of events whose expected number is given.
func poisson(random *rand.Rand, expected float64) int {
	count := 0
	for sum := random.ExpFloat64(); sum < expected; sum += random.ExpFloat64() {
		count++
	}
	return count
}

// Requests below the limit are refused when a router has run out of units while others have some
// left. The test measures how many, compared with static shares, and the cost in messages.
func TestRefusedBelowTheLimit(t *testing.T) {
	for name, test := range map[string]struct {
		load
		// maxRefused is the maximum share of requests that may be refused.
		maxRefused float64
	}{
		"11 routers":                      {load{11, 22, 0.62}, 0.001},
		"81 routers, middle tenant":       {load{81, 22, 0.62}, 0.03},
		"81 routers, large tenant":        {load{81, 176, 0.62}, 0.001},
		"81 routers, near the limit":      {load{81, 176, 0.9}, 0.03},
		"300 routers, large tenant":       {load{300, 176, 0.62}, 0.03},
		"81 routers, far below":           {load{81, 176, 0.1}, 0},
		"81 routers, seven times as much": {load{81, 176, 4.65}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			stats := simulateLoad(t, test.load, 45)
			t.Logf("refused %.2f %% of %d, static shares %.1f %%; within a window at most %.2f of the limit, static %.2f; %.0f messages and %.0f bytes per second",
				100*float64(stats.refused)/float64(stats.requests), stats.requests, 100*float64(stats.staticRefused)/float64(stats.requests), stats.peak, stats.staticPeak, stats.messages, stats.bytes)
			assert.Assert(t, float64(stats.refused) <= test.maxRefused*float64(stats.requests), "%d of %d refused", stats.refused, stats.requests)
			assert.Assert(t, stats.peak <= 1)
		})
	}
}
