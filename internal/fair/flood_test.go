package fair

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// mostSlower is how much slower than without the flood others' answers may be.
	mostSlower = 1.1
	// mostSlowerAtFirst is the same within five seconds of its beginning, when routers that
	// see a sample of everything are not sure of it yet.
	mostSlowerAtFirst = 1.7
	// mostRefused is the share of others' requests that may be refused.
	mostRefused = 0.005
	// starved is what part of the share that all are served no tenant may fall below.
	starved = 0.25
)

func calmRates(tenant int, _ time.Duration) float64 { return perWeight * playTenants[tenant] }

// floodOf returns rates at which a tenant begins to ask for seven times its usual.
func floodOf(flooder int) func(int, time.Duration) float64 {
	return func(tenant int, now time.Duration) float64 {
		if tenant == flooder && now >= playFlood {
			return 7 * calmRates(tenant, now)
		}
		return calmRates(tenant, now)
	}
}

// together is what tenants got together, all but one.
func together(list []playResult, but int) playResult {
	var sum playResult
	for tenant, one := range list {
		if tenant == but {
			continue
		}
		sum.asked += one.asked
		sum.refused += one.refused
		sum.took += one.took
	}
	return sum
}

// A flood of one large tenant, at few routers and at so many that each sees a sample of everything.
func TestAFloodLeavesOthersAlone(t *testing.T) {
	for _, routers := range []int{1, 3, 11, 81} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			for name, policy := range playPolicies {
				_, usual := runPlay(7, routers, policy, calmRates)
				early, list := runPlay(7, routers, policy, floodOf(0))
				calm, first, flooded, all := together(usual, 0), together(early, 0), together(list, 0), together(list, -1)
				t.Logf("%s: calm %v; others at first %v; then %v; flooder %v", name, calm, first, flooded, list[0])
				if name != "ledger" {
					continue
				}
				noticed := float64(first.mean()) / float64(calm.mean())
				assert.Assert(t, noticed <= mostSlowerAtFirst, "others' answers take %.3f times as long at first", noticed)
				slower := float64(flooded.mean()) / float64(calm.mean())
				assert.Assert(t, slower <= mostSlower, "others' answers take %.3f times as long", slower)
				assert.Assert(t, flooded.refusals() <= mostRefused, "others are refused: %.4f", flooded.refusals())
				served := (1 - list[0].refusals()) / (1 - all.refusals())
				assert.Assert(t, served > starved, "the flooding tenant is starved: %.3f", served)
			}
		})
	}
}

// Where there is room for all, nobody notices that shares are counted.
func TestWithoutShortageNothingChanges(t *testing.T) {
	for _, routers := range []int{1, 81} {
		_, before := runPlay(9, routers, playPolicies["first come"], calmRates)
		_, with := runPlay(9, routers, playPolicies["ledger"], calmRates)
		assert.DeepEqual(t, fmt.Sprint(with), fmt.Sprint(before))
	}
}

// Where all ask for twice what there is room for, nobody is starved, small or large.
func TestNobodyIsStarvedWhereAllAskForMore(t *testing.T) {
	double := func(tenant int, now time.Duration) float64 { return 3.2 * calmRates(tenant, now) }
	_, list := runPlay(5, 11, playPolicies["ledger"], double)
	all := together(list, -1)
	assert.Assert(t, all.refusals() > 0.3, "no shortage: %v", all)
	for tenant, one := range list {
		served := (1 - one.refusals()) / (1 - all.refusals())
		assert.Assert(t, served > 2*starved, "tenant %d: served %.3f as often as all", tenant, served)
	}
}

// The less urgent tenants are refused, down to what they must be served.
func TestUrgentRequestsAreServedFirst(t *testing.T) {
	priorities := []int{1, 0, 0, 0, 0, 0, 1, 1, 1, 1}
	urgent := func(random *rand.Rand) playPolicy {
		policy := newByLedger(random)
		policy.priorities = priorities
		return policy
	}
	more := func(tenant int, now time.Duration) float64 { return 2.4 * calmRates(tenant, now) }
	_, list := runPlay(3, 11, urgent, more)
	var first, second playResult
	for tenant, one := range list {
		into := &first
		if priorities[tenant] > 0 {
			into = &second
		}
		into.asked += one.asked
		into.refused += one.refused
	}
	all := together(list, -1)
	t.Logf("urgent %v; others %v; all %v", first, second, all)
	assert.Assert(t, first.refusals() < second.refusals(), "the urgent are refused %.3f, the others %.3f", first.refusals(), second.refusals())
	assert.Assert(t, first.refusals() < 0.05, "the urgent are refused %.3f", first.refusals())
	assert.Assert(t, (1-second.refusals())/(1-all.refusals()) > starved, "the others are starved: %.3f", second.refusals())
}
