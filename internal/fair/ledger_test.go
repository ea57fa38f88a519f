package fair

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var began = time.Unix(1000, 0)

// asked is a ledger of which callers have asked so often, and for which there was no room so often.
func asked(lost int, counts map[Caller]int) *Ledger {
	l := &Ledger{}
	for caller, count := range counts {
		for range count {
			l.RecordRequest(began, caller, 1)
		}
	}
	for range lost {
		l.RecordUnserved(began)
	}
	return l
}

func TestOnlyWhoIsBeyondItsShareIsRefused(t *testing.T) {
	a, b, c := Caller{Name: "a"}, Caller{Name: "b"}, Caller{Name: "c"}
	l := asked(50, map[Caller]int{a: 100, b: 10, c: 5})
	assert.Equal(t, l.RefusalShares(began, b).Own, 0.0)
	assert.Equal(t, l.RefusalShares(began, c).Own, 0.0)
	shares := l.RefusalShares(began, a)
	assert.Assert(t, shares.Own > shares.All && shares.All > 0, "%+v", shares)
}

func TestNobodyIsRefusedWhereThereIsRoom(t *testing.T) {
	a, b := Caller{Name: "a"}, Caller{Name: "b"}
	l := asked(5, map[Caller]int{a: 100, b: 10})
	assert.Equal(t, l.RefusalShares(began, a), RefusalShares{})
}

// A limit is a weight: who may ask for more has more.
func TestShareGoesByWeight(t *testing.T) {
	l, large, small := &Ledger{}, Caller{Name: "large"}, Caller{Name: "small"}
	for range 100 {
		l.RecordRequest(began, large, 5)
		l.RecordRequest(began, small, 1)
	}
	for range 100 {
		l.RecordUnserved(began)
	}
	assert.Assert(t, l.RefusalShares(began, small).Own > 0.5)
	assert.Assert(t, l.RefusalShares(began, large).Own < 0.3)
	assert.Assert(t, l.YieldShare(began, small) > 0.5)
	assert.Assert(t, l.YieldShare(began, large) < 0.3)
}

// Urgent requests that take all the room leave some to the others.
func TestTheLessUrgentAreNotStarved(t *testing.T) {
	urgent, other := Caller{Name: "a"}, Caller{Name: "b", Priority: 1}
	l := asked(100, map[Caller]int{urgent: 100, other: 100})
	shares := l.RefusalShares(began, other)
	assert.Assert(t, 1-shares.Own > starved*(1-shares.All), "%+v", shares)
	assert.Assert(t, l.RefusalShares(began, urgent).Own < shares.Own)
}

// A worker may be short of more, or of less, than the ledger knows of: as many are refused as
// must be, and no caller is starved.
func TestAsManyAreRefusedAsMustBe(t *testing.T) {
	counts := map[Caller]int{{Name: "a"}: 100, {Name: "b"}: 10, {Name: "c"}: 40, {Name: "d", Priority: 1}: 20}
	l := asked(60, counts)
	for _, all := range []float64{0, 0.1, 0.3, 0.6, 0.9, 1} {
		refused, total := 0.0, 0.0
		for caller, count := range counts {
			chosen := l.RefusalShares(began, caller).Scaled(all)
			assert.Assert(t, 1-chosen >= leastServed*(1-all)-1e-6, "%v is starved: %f of %f", caller, chosen, all)
			refused += chosen * float64(count)
			total += float64(count)
		}
		assert.Assert(t, math.Abs(refused/total-all) < 0.01, "%f in place of %f", refused/total, all)
	}
	assert.Equal(t, RefusalShares{}.Scaled(0.4), 0.4, "where nothing is known, chance decides")
}

func TestAFloodIsForgotten(t *testing.T) {
	a, b := Caller{Name: "a"}, Caller{Name: "b"}
	l := asked(50, map[Caller]int{a: 100, b: 10})
	later := began.Add(6 * window)
	for range 10 {
		l.RecordRequest(later, a, 1)
		l.RecordRequest(later, b, 1)
	}
	assert.Equal(t, l.RefusalShares(later, a), RefusalShares{})
	assert.Equal(t, max(0, l.YieldShare(later, a)), 0.0)
}

func TestChangesAreToldOnce(t *testing.T) {
	a := Caller{Name: "a"}
	l := asked(5, map[Caller]int{a: 10})
	var told []int
	for index := range 3 * telling {
		if l.RecordShareRefusal(began, a) {
			told = append(told, index+1)
		}
	}
	assert.DeepEqual(t, told, []int{telling})
	assert.Assert(t, !l.RecordRequest(began.Add(endedAfter/2), a, 1))
	assert.Assert(t, l.RecordRequest(began.Add(endedAfter), a, 1))
	assert.Assert(t, !l.RecordRequest(began.Add(endedAfter), a, 1))
}

// Callers beyond the bound are refused as all are, and those that are gone make room for others.
func TestTenantsAreBounded(t *testing.T) {
	l := &Ledger{}
	for index := range 3 * MaxCallers {
		l.RecordRequest(began, Caller{Name: fmt.Sprint(index)}, 1)
	}
	for range MaxCallers {
		l.RecordUnserved(began)
	}
	assert.Equal(t, len(l.lanes), MaxCallers)
	shares := l.RefusalShares(began, Caller{Name: "beyond the bound"})
	assert.Assert(t, shares.All > 0)
	assert.Equal(t, shares.Own, shares.All)
	l.RecordRequest(began.Add(rebaseAfter*window), Caller{Name: "new"}, 1)
	l.RecordRequest(began.Add(rebaseAfter*window), Caller{Name: "new"}, 1)
	assert.Assert(t, len(l.lanes) <= 1, "%d", len(l.lanes))
}

// Whatever callers ask for: all that there is room for is given, a caller that asks for less by
// weight is refused no more, an urgent one no more than a less urgent one, and none is starved.
func TestSharesAreMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, total := &Ledger{}, 0
		weights, counts := map[Caller]float64{}, map[Caller]int{}
		for index := range rapid.IntRange(1, 12).Draw(t, "callers") {
			caller := Caller{Name: fmt.Sprint(index), Priority: rapid.IntRange(0, 2).Draw(t, "priority")}
			weights[caller] = float64(rapid.IntRange(1, 50).Draw(t, "weight"))
			counts[caller] = rapid.IntRange(2, 200).Draw(t, "count")
			total += counts[caller]
			for range counts[caller] {
				l.RecordRequest(began, caller, weights[caller])
			}
		}
		for range rapid.IntRange(0, total).Draw(t, "lost") {
			l.RecordUnserved(began)
		}
		given := 0.0
		for caller, count := range counts {
			shares := l.RefusalShares(began, caller)
			given += (1 - shares.Own) * float64(count)
			assert.Assert(t, 1-shares.Own >= leastServed*(1-shares.All)-1e-6, "%v is starved: %+v", caller, shares)
			for other, asks := range counts {
				rank, otherRank := float64(count)/weights[caller], float64(asks)/weights[other]
				own := l.RefusalShares(began, other).Own
				protected := float64(asks)*(1-own) <= 1+1e-6 // one request is no flood
				if caller.Priority == other.Priority && rank <= otherRank && !protected {
					assert.Assert(t, shares.Own <= own+1e-6 || own < 1e-6 && shares.Own < 1e-6, "%v is refused before %v", caller, other)
				}
				floor := 1 - leastServed*(1-shares.All)
				if caller.Priority < other.Priority && shares.Own > 1e-6 {
					assert.Assert(t, own >= floor-1e-6 || protected, "urgent %v is refused before %v", caller, other)
				}
			}
		}
		room := float64(total)
		if served := max(0, l.wanted-l.lost); room > shortFactor*served+1 {
			room = served + 1
		}
		assert.Assert(t, given >= room-1e-3 && given <= room+float64(len(counts))+1e-3, "given %f of %f", given, room)
	})
}

// What a request pays where the configuration has tenants.
func BenchmarkLedger(b *testing.B) {
	l := &Ledger{}
	callers := make([]Caller, 1000)
	for index := range callers {
		callers[index] = Caller{Name: fmt.Sprintf("tenant-%d", index)}
	}
	now, index := began, 0
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		caller := callers[index%len(callers)]
		index++
		l.RecordRequest(now, caller, 1)
		l.YieldShare(now, caller)
		if index%3 == 0 {
			l.RecordUnserved(now)
			l.RefusalShares(now, caller)
		}
	}
}
