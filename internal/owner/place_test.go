package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/shalefork/shalefork/internal/workers"
)

var testPlaces = []PlacementRule{
	{Keys: KeyRange{0, 19999}, Zones: []string{"a"}},
	{Keys: KeyRange{20000, 29999}, Zones: []string{"a", "b"}},
	{Keys: KeyRange{40000, KeyCount - 1}, Zones: []string{"c"}},
}

// zoned returns candidates in zones.
func zoned(zones ...string) []Candidate {
	candidates := make([]Candidate, 0, len(zones))
	for index, zone := range zones {
		id := workers.ID(fmt.Sprintf("w%d", index))
		candidates = append(candidates, Candidate{ID: id, Address: string(id), Zone: zone, Capacity: 20})
	}
	return candidates
}

// checkPlaces fails for an owner in a zone that may not hold its keys.
func checkPlaces(t assert.TestingT, owners []Owner, all []Candidate, places []PlacementRule) {
	zones := map[workers.ID]string{}
	for _, one := range all {
		zones[one.ID] = one.Zone
	}
	for _, one := range owners {
		for _, place := range places {
			allowed := !place.Keys.overlaps(one.Keys) || place.allows(zones[one.Worker])
			assert.Assert(t, allowed, "%v is owned by %s in %s, allowed are %v", one.Keys, one.Worker, zones[one.Worker], place.Zones)
		}
	}
}

func TestFirstOwnersWaitUntilEachPlaceHasACandidate(t *testing.T) {
	assert.Assert(t, InitialOwners(zoned("a", "b"), testPlaces) == nil)
	all := zoned("a", "b", "c", "c")
	owners := InitialOwners(all, testPlaces)
	checkPlaces(t, owners, all, testPlaces)
	next := 0
	for _, one := range owners {
		assert.Equal(t, one.Keys.From, next)
		next = one.Keys.To + 1
	}
	assert.Equal(t, next, KeyCount)
}

// Whatever workers come and go and whatever the load, keys are planned only to
// zones that may hold them, and stay where they are while there is none.
func TestKeysNeverLeaveTheirPlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		all := zoned("a", "a", "b", "b", "c", "c", "c")
		book := NewLedger(DefaultConfig(10*time.Second), 1)
		book.Assign(now, InitialOwners(all, testPlaces))
		settle(book, now)
		for range rapid.IntRange(1, 8).Draw(t, "rounds") {
			var candidates []Candidate
			for _, one := range all {
				if rapid.Bool().Draw(t, string(one.ID)) {
					candidates = append(candidates, one)
				}
			}
			rates := hot(rapid.IntRange(0, 60000).Draw(t, "hot"), rapid.IntRange(1, 500).Draw(t, "keys"), 80)
			book.Plan(candidates, rates, Rules{Balance: true, MaxMoves: maxMoves, Placement: testPlaces})
			settle(book, now)
			checkPlaces(t, book.Assignment(), all, testPlaces)
		}
	})
}

// Places that change move what may no longer stay.
func TestKeysLeaveAZoneThatMayNoLongerHoldThem(t *testing.T) {
	now := time.Unix(1000, 0)
	all := zoned("a", "b", "c")
	book := NewLedger(DefaultConfig(10*time.Second), 1)
	book.Assign(now, InitialOwners(all, nil))
	settle(book, now)
	assert.Assert(t, len(book.Plan(all, nil, Rules{Placement: testPlaces})) > 0)
	settle(book, now)
	checkPlaces(t, book.Assignment(), all, testPlaces)
	assert.Equal(t, len(book.Plan(all, nil, Rules{Placement: testPlaces})), 0)
}

func TestChurnWeight(t *testing.T) {
	for name, test := range map[string]struct {
		rules Rules
		moves bool
	}{
		"none":          {rules: Rules{Balance: true, MaxMoves: maxMoves}, moves: true},
		"full":          {rules: Rules{Balance: true, MaxMoves: maxMoves, ChurnWeight: 1}},
		"no moves left": {rules: Rules{Balance: true}},
		"not allowed":   {rules: Rules{MaxMoves: maxMoves}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			candidates := fleet(14, 33)
			book := NewLedger(DefaultConfig(10*time.Second), 1)
			book.Assign(now, InitialOwners(candidates, nil))
			settle(book, now)
			moved := book.Plan(candidates, hot(30000, 200, 60), test.rules)
			assert.Equal(t, len(moved) > 0, test.moves)
		})
	}
}

func TestPlacesWithinZones(t *testing.T) {
	for name, test := range map[string]struct {
		places []PlacementRule
		zones  []string
		want   []PlacementRule
	}{
		"no places": {nil, []string{"a"}, []PlacementRule{{KeyRange{0, KeyCount - 1}, []string{"a"}}}},
		"no zones":  {nil, nil, []PlacementRule{{KeyRange{0, KeyCount - 1}, []string{nowhere}}}},
		"places": {testPlaces, []string{"b", "c"}, []PlacementRule{
			{KeyRange{0, 19999}, []string{nowhere}}, {KeyRange{20000, 29999}, []string{"b"}},
			{KeyRange{30000, 39999}, []string{"b", "c"}}, {KeyRange{40000, KeyCount - 1}, []string{"c"}},
		}},
	} {
		t.Run(name, func(t *testing.T) { assert.DeepEqual(t, RestrictToZones(test.places, test.zones), test.want) })
	}
}
