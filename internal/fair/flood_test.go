package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// maxSlowdown is how much slower than without the flood others' answers may be.
	maxSlowdown = 1.1
	// maxInitialSlowdown is the same within five seconds of its beginning, when routers that
	// see a sample of everything are not sure of it yet.
	maxInitialSlowdown = 1.7
	// maxRefused is the share of others' requests that may be refused.
	maxRefused = 0.005
	// starved is what part of the share that all are served no tenant may fall below.
	starvedRatio = 0.25
)

func calmRates(tenant int, _ time.Duration) float64 { return ratePerWeight * simWeights[tenant] }

// floodRates returns rates at which a tenant begins to ask for seven times its usual.
func floodRates(flooder int) func(int, time.Duration) float64 {
	return func(tenant int, now time.Duration) float64 {
		if tenant == flooder && now >= simFloodStart {
			return 7 * calmRates(tenant, now)
		}
		return calmRates(tenant, now)
	}
}

// together is what tenants got together, all but one.
func sumResults(list []tenantResult, but int) tenantResult {
	var sum tenantResult
	for tenant, one := range list {
		if tenant == but {
			continue
		}
		sum.requests += one.requests
		sum.refused += one.refused
		sum.totalLatency += one.totalLatency
	}
	return sum
}

// A flood of one large tenant, at few routers and at so many that each sees a sample of everything.
func TestFloodDoesNotAffectOtherTenants(t *testing.T) {
	for _, routers := range []int{1, 3, 11, 81} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for name, policy := range simPolicies {
				_, usual := runSimulation(7, routers, policy, calmRates)
				early, list := runSimulation(7, routers, policy, floodRates(0))
				calm, first, flooded, all := sumResults(usual, 0), sumResults(early, 0), sumResults(list, 0), sumResults(list, -1)
				t.Logf("%s: calm %v; others at first %v; then %v; flooder %v", name, calm, first, flooded, list[0])
				if name != "ledger" {
					continue
				}
				noticed := float64(first.meanLatency()) / float64(calm.meanLatency())
				assert.Assert(t, noticed <= maxInitialSlowdown, "others' answers take %.3f times as long at first", noticed)
				slower := float64(flooded.meanLatency()) / float64(calm.meanLatency())
				assert.Assert(t, slower <= maxSlowdown, "others' answers take %.3f times as long", slower)
				assert.Assert(t, flooded.refusedShare() <= maxRefused, "others are refused: %.4f", flooded.refusedShare())
				served := (1 - list[0].refusedShare()) / (1 - all.refusedShare())
				assert.Assert(t, served > starvedRatio, "the flooding tenant is starved: %.3f", served)
			}
		})
	}
}

// Where there is room for all, nobody notices that shares are counted.
func TestLedgerHasNoEffectWithoutShortage(t *testing.T) {
	for _, routers := range []int{1, 81} {
		_, before := runSimulation(9, routers, simPolicies["first come"], calmRates)
		_, with := runSimulation(9, routers, simPolicies["ledger"], calmRates)
		assert.DeepEqual(t, fmt.Sprint(with), fmt.Sprint(before))
	}
}

// Where all ask for twice what there is room for, nobody is starved, small or large.
func TestNoTenantStarvesUnderOverload(t *testing.T) {
	double := func(tenant int, now time.Duration) float64 { return 3.2 * calmRates(tenant, now) }
	_, list := runSimulation(5, 11, simPolicies["ledger"], double)
	all := sumResults(list, -1)
	assert.Assert(t, all.refusedShare() > 0.3, "no shortage: %v", all)
	for tenant, one := range list {
		served := (1 - one.refusedShare()) / (1 - all.refusedShare())
		assert.Assert(t, served > 2*starvedRatio, "tenant %d: served %.3f as often as all", tenant, served)
	}
}

// The less urgent tenants are refused, down to what they must be served.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	priorities := []int{1, 0, 0, 0, 0, 0, 1, 1, 1, 1}
	urgent := func(random *rand.Rand) simPolicy {
		policy := newLedgerPolicy(random)
		policy.priorities = priorities
		return policy
	}
	more := func(tenant int, now time.Duration) float64 { return 2.4 * calmRates(tenant, now) }
	_, list := runSimulation(3, 11, urgent, more)
	var first, second tenantResult
	for tenant, one := range list {
		into := &first
		if priorities[tenant] > 0 {
			into = &second
		}
		into.requests += one.requests
		into.refused += one.refused
	}
	all := sumResults(list, -1)
	t.Logf("urgent %v; others %v; all %v", first, second, all)
	assert.Assert(t, first.refusedShare() < second.refusedShare(), "the urgent are refused %.3f, the others %.3f", first.refusedShare(), second.refusedShare())
	assert.Assert(t, first.refusedShare() < 0.05, "the urgent are refused %.3f", first.refusedShare())
	assert.Assert(t, (1-second.refusedShare())/(1-all.refusedShare()) > starvedRatio, "the others are starved: %.3f", second.refusedShare())
}
