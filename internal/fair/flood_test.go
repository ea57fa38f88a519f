package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxSlowdown is the maximum ratio of the other tenants' mean latency during a flood to that
	// without it.
	maxSlowdown = 1.1
	// maxInitialSlowdown is the same for the first five seconds of the flood, when routers that see
	// only a sample of the requests have not detected it reliably yet.
	maxInitialSlowdown = 1.7
	// maxRefused is the maximum share of the other tenants' requests that may be refused.
	maxRefused = 0.005
	// starvedRatio is the ratio of a tenant's served share to the overall served share at or below
	// which it counts as starved.
	starvedRatio = 0.25
)

func normalRates(tenant int, _ time.Duration) float64 { return ratePerWeight * simWeights[tenant] }

// floodRates returns arrival rates under which a tenant sends seven times its usual load from
// simFloodStart on.
func floodRates(flooder int) func(int, time.Duration) float64 {
	return func(tenant int, now time.Duration) float64 {
		if tenant == flooder && now >= simFloodStart {
			return 7 * normalRates(tenant, now)
		}
		return normalRates(tenant, now)
	}
}

// sumResults adds up the results of all tenants except one; -1 excludes none.
func sumResults(list []tenantResult, excluded int) tenantResult {
	var sum tenantResult
	for tenant, result := range list {
		if tenant == excluded {
			continue
		}
		sum.requests += result.requests
		sum.refused += result.refused
		sum.totalLatency += result.totalLatency
	}
	return sum
}

// A flood of one large tenant must not slow down the others, neither at a few routers nor at so
// many that each sees only a sample of the requests.
func TestFloodDoesNotAffectOtherTenants(t *testing.T) {
	for _, routers := range []int{1, 3, 11, 81} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for name, policy := range simPolicies {
				_, usual := runSimulation(7, routers, policy, normalRates)
				early, list := runSimulation(7, routers, policy, floodRates(0))
				calm, first, flooded, all := sumResults(usual, 0), sumResults(early, 0), sumResults(list, 0), sumResults(list, -1)
				t.Logf("%s: without flood %v; others initially %v; later %v; flooding tenant %v", name, calm, first, flooded, list[0])
				if name != "ledger" {
					continue
				}
				initially := float64(first.meanLatency()) / float64(calm.meanLatency())
				assert.Assert(t, initially <= maxInitialSlowdown, "initially, the other tenants' latency is %.3f times the usual", initially)
				slowdown := float64(flooded.meanLatency()) / float64(calm.meanLatency())
				assert.Assert(t, slowdown <= maxSlowdown, "the other tenants' latency is %.3f times the usual", slowdown)
				assert.Assert(t, flooded.refusedShare() <= maxRefused, "share of the other tenants' requests refused: %.4f", flooded.refusedShare())
				served := (1 - list[0].refusedShare()) / (1 - all.refusedShare())
				assert.Assert(t, served > starvedRatio, "the flooding tenant is starved: %.3f", served)
			}
		})
	}
}

// Without a shortage, results are the same as under the policy without a ledger.
func TestLedgerHasNoEffectWithoutShortage(t *testing.T) {
	for _, routers := range []int{1, 81} {
		_, without := runSimulation(9, routers, simPolicies["first come"], normalRates)
		_, with := runSimulation(9, routers, simPolicies["ledger"], normalRates)
		assert.DeepEqual(t, fmt.Sprint(with), fmt.Sprint(without))
	}
}

// Where all tenants send twice what can be served, no tenant is starved, small or large.
func TestNoTenantStarvesUnderOverload(t *testing.T) {
	double := func(tenant int, now time.Duration) float64 { return 3.2 * normalRates(tenant, now) }
	_, list := runSimulation(5, 11, simPolicies["ledger"], double)
	all := sumResults(list, -1)
	assert.Assert(t, all.refusedShare() > 0.3, "no shortage: %v", all)
	for tenant, result := range list {
		served := (1 - result.refusedShare()) / (1 - all.refusedShare())
		assert.Assert(t, served > 2*starvedRatio, "tenant %d: served at %.3f of the overall share", tenant, served)
	}
}

// In a shortage, requests of lower priority are refused first, down to their guaranteed minimum.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	priorities := []int{1, 0, 0, 0, 0, 0, 1, 1, 1, 1}
	urgent := func(random *rand.Rand) simPolicy {
		policy := newLedgerPolicy(random)
		policy.priorities = priorities
		return policy
	}
	more := func(tenant int, now time.Duration) float64 { return 2.4 * normalRates(tenant, now) }
	_, list := runSimulation(3, 11, urgent, more)
	var first, second tenantResult
	for tenant, result := range list {
		into := &first
		if priorities[tenant] > 0 {
			into = &second
		}
		into.requests += result.requests
		into.refused += result.refused
	}
	all := sumResults(list, -1)
	t.Logf("urgent %v; others %v; all %v", first, second, all)
	assert.Assert(t, first.refusedShare() < second.refusedShare(), "refused: %.3f of the urgent requests, %.3f of the others", first.refusedShare(), second.refusedShare())
	assert.Assert(t, first.refusedShare() < 0.05, "refused: %.3f of the urgent requests", first.refusedShare())
	assert.Assert(t, (1-second.refusedShare())/(1-all.refusedShare()) > starvedRatio, "requests of lower priority are starved: %.3f refused", second.refusedShare())
}
