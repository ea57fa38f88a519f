package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

var testPlacement = []PlacementRule{
	{Keys: KeyRange{0, 19999}, Zones: []string{"a"}},
	{Keys: KeyRange{20000, 29999}, Zones: []string{"a", "b"}},
	{Keys: KeyRange{40000, KeyCount - 1}, Zones: []string{"c"}},
}

// candidatesInZones returns one candidate for each zone.
func candidatesInZones(zones ...string) []Candidate {
	candidates := make([]Candidate, 0, len(zones))
	for index, zone := range zones {
		id := workers.ID(fmt.Sprintf("w%d", index))
		candidates = append(candidates, Candidate{ID: id, Address: string(id), Zone: zone, Capacity: 20})
	}
	return candidates
}

// checkPlacement fails if the zone of an owner may not hold its keys.
func checkPlacement(t assert.TestingT, owners []Owner, all []Candidate, rules []PlacementRule) {
	zones := map[workers.ID]string{}
	for _, candidate := range all {
		zones[candidate.ID] = candidate.Zone
	}
	for _, owner := range owners {
		for _, rule := range rules {
			allowed := !rule.Keys.overlaps(owner.Keys) || rule.allows(zones[owner.Worker])
			assert.Assert(t, allowed, "%v is owned by %s in %s, allowed are %v", owner.Keys, owner.Worker, zones[owner.Worker], rule.Zones)
		}
	}
}

func TestInitialOwnersNeedACandidateForEachRule(t *testing.T) {
	assert.Assert(t, InitialOwners(candidatesInZones("a", "b"), testPlacement) == nil)
	all := candidatesInZones("a", "b", "c", "c")
	owners := InitialOwners(all, testPlacement)
	checkPlacement(t, owners, all, testPlacement)
	next := 0
	for _, owner := range owners {
		assert.Equal(t, owner.Keys.From, next)
		next = owner.Keys.To + 1
	}
	assert.Equal(t, next, KeyCount)
}

// Whichever workers come and go, and whatever the load, keys are only moved to zones that may hold
// them. They stay where they are while no such worker exists.
func TestPlanObeysPlacementRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		all := candidatesInZones("a", "a", "b", "b", "c", "c", "c")
		ledger := NewLedger(DefaultConfig(10*time.Second), 1)
		ledger.Assign(now, InitialOwners(all, testPlacement))
		answerAllOrders(ledger, now)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			var candidates []Candidate
			for _, candidate := range all {
				if rapid.Bool().Draw(t, string(candidate.ID)) {
					candidates = append(candidates, candidate)
				}
			}
			rates := hotRates(rapid.IntRange(0, 60000).Draw(t, "hot"), rapid.IntRange(1, 500).Draw(t, "keys"), 80)
			ledger.Plan(candidates, rates, Rules{Balance: true, MaxMoves: maxMovesPerRound, Placement: testPlacement})
			answerAllOrders(ledger, now)
			checkPlacement(t, ledger.Assignment(), all, testPlacement)
		}
	})
}

// Changed placement rules move the keys that may no longer stay with their owner.
func TestChangedPlacementRulesMoveKeys(t *testing.T) {
	now := time.Unix(1000, 0)
	all := candidatesInZones("a", "b", "c")
	ledger := NewLedger(DefaultConfig(10*time.Second), 1)
	ledger.Assign(now, InitialOwners(all, nil))
	answerAllOrders(ledger, now)
	assert.Assert(t, len(ledger.Plan(all, nil, Rules{Placement: testPlacement})) > 0)
	answerAllOrders(ledger, now)
	checkPlacement(t, ledger.Assignment(), all, testPlacement)
	assert.Equal(t, len(ledger.Plan(all, nil, Rules{Placement: testPlacement})), 0)
}

func TestChurnWeight(t *testing.T) {
	for name, test := range map[string]struct {
		rules Rules
		moves bool
	}{
		"none":          {rules: Rules{Balance: true, MaxMoves: maxMovesPerRound}, moves: true},
		"full":          {rules: Rules{Balance: true, MaxMoves: maxMovesPerRound, ChurnWeight: 1}},
		"no moves left": {rules: Rules{Balance: true}},
		"not allowed":   {rules: Rules{MaxMoves: maxMovesPerRound}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			candidates := equalCandidates(14, 33)
			ledger := NewLedger(DefaultConfig(10*time.Second), 1)
			ledger.Assign(now, InitialOwners(candidates, nil))
			answerAllOrders(ledger, now)
			moved := ledger.Plan(candidates, hotRates(30000, 200, 60), test.rules)
			assert.Equal(t, len(moved) > 0, test.moves)
		})
	}
}

func TestRestrictToZones(t *testing.T) {
	for name, test := range map[string]struct {
		rules []PlacementRule
		zones []string
		want  []PlacementRule
	}{
		"no rules": {nil, []string{"a"}, []PlacementRule{{KeyRange{0, KeyCount - 1}, []string{"a"}}}},
		"no zones": {nil, nil, []PlacementRule{{KeyRange{0, KeyCount - 1}, []string{noZone}}}},
		"places": {testPlacement, []string{"b", "c"}, []PlacementRule{
			{KeyRange{0, 19999}, []string{noZone}}, {KeyRange{20000, 29999}, []string{"b"}},
			{KeyRange{30000, 39999}, []string{"b", "c"}}, {KeyRange{40000, KeyCount - 1}, []string{"c"}},
		}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, RestrictToZones(test.rules, test.zones), test.want) })
	}
}
