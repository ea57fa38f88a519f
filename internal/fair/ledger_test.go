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

// newLedger returns a ledger with the given number of requests per caller and of unserved requests.
func newLedger(unserved int, counts map[Caller]int) *Ledger {
	l := &Ledger{}
	for caller, count := range counts {
		for range count {
			l.RecordRequest(began, caller, 1)
		}
	}
	for range unserved {
		l.RecordUnserved(began)
	}
	return l
}

func TestOnlyCallersBeyondTheirShareAreRefused(t *testing.T) {
	a, b, c := Caller{Name: "a"}, Caller{Name: "b"}, Caller{Name: "c"}
	l := newLedger(50, map[Caller]int{a: 100, b: 10, c: 5})
	assert.Equal(t, l.RefusalShares(began, b).Own, 0.0)
	assert.Equal(t, l.RefusalShares(began, c).Own, 0.0)
	shares := l.RefusalShares(began, a)
	assert.Assert(t, shares.Own > shares.All && shares.All > 0, "%+v", shares)
}

func TestNoRefusalsWithoutShortage(t *testing.T) {
	a, b := Caller{Name: "a"}, Caller{Name: "b"}
	l := newLedger(5, map[Caller]int{a: 100, b: 10})
	assert.Equal(t, l.RefusalShares(began, a), RefusalShares{})
}

// A tenant's limit is its weight: the higher the limit, the larger its share.
func TestSharesFollowWeights(t *testing.T) {
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

// High-priority requests that exceed the capacity leave a minimum to lower priorities.
func TestLowPriorityIsNotStarved(t *testing.T) {
	urgent, other := Caller{Name: "a"}, Caller{Name: "b", Priority: 1}
	l := newLedger(100, map[Caller]int{urgent: 100, other: 100})
	shares := l.RefusalShares(began, other)
	assert.Assert(t, 1-shares.Own > starvedRatio*(1-shares.All), "%+v", shares)
	assert.Assert(t, l.RefusalShares(began, urgent).Own < shares.Own)
}

// The shortage at a worker may be larger or smaller than the ledger's estimate: the refusals add up
// to the required overall share, and no caller is starved.
func TestScaledRefusalsMatchOverallShare(t *testing.T) {
	counts := map[Caller]int{{Name: "a"}: 100, {Name: "b"}: 10, {Name: "c"}: 40, {Name: "d", Priority: 1}: 20}
	l := newLedger(60, counts)
	for _, all := range []float64{0, 0.1, 0.3, 0.6, 0.9, 1} {
		refused, total := 0.0, 0.0
		for caller, count := range counts {
			chosen := l.RefusalShares(began, caller).Scaled(all)
			assert.Assert(t, 1-chosen >= minServedRatio*(1-all)-1e-6, "%v is starved: %f of %f", caller, chosen, all)
			refused += chosen * float64(count)
			total += float64(count)
		}
		assert.Assert(t, math.Abs(refused/total-all) < 0.01, "refused %f, want %f", refused/total, all)
	}
	assert.Equal(t, RefusalShares{}.Scaled(0.4), 0.4, "without counts all callers are refused alike")
}

func TestPastFloodIsForgotten(t *testing.T) {
	a, b := Caller{Name: "a"}, Caller{Name: "b"}
	l := newLedger(50, map[Caller]int{a: 100, b: 10})
	later := began.Add(6 * window)
	for range 10 {
		l.RecordRequest(later, a, 1)
		l.RecordRequest(later, b, 1)
	}
	assert.Equal(t, l.RefusalShares(later, a), RefusalShares{})
	assert.Equal(t, max(0, l.YieldShare(later, a)), 0.0)
}

func TestShareRefusalChangesAreReportedOnce(t *testing.T) {
	a := Caller{Name: "a"}
	l := newLedger(5, map[Caller]int{a: 10})
	var beganAt []int
	for index := range 3 * refusalThreshold {
		if l.RecordShareRefusal(began, a) {
			beganAt = append(beganAt, index+1)
		}
	}
	assert.DeepEqual(t, beganAt, []int{refusalThreshold})
	assert.Assert(t, !l.RecordRequest(began.Add(refusalsEndAfter/2), a, 1))
	assert.Assert(t, l.RecordRequest(began.Add(refusalsEndAfter), a, 1))
	assert.Assert(t, !l.RecordRequest(began.Add(refusalsEndAfter), a, 1))
}

// Callers beyond MaxCallers are refused at the overall rate, and callers without recent requests
// are dropped.
func TestCallerCountIsBounded(t *testing.T) {
	l := &Ledger{}
	for index := range 3 * MaxCallers {
		l.RecordRequest(began, Caller{Name: fmt.Sprint(index)}, 1)
	}
	for range MaxCallers {
		l.RecordUnserved(began)
	}
	assert.Equal(t, len(l.callers), MaxCallers)
	shares := l.RefusalShares(began, Caller{Name: "beyond the bound"})
	assert.Assert(t, shares.All > 0)
	assert.Equal(t, shares.Own, shares.All)
	l.RecordRequest(began.Add(rebaseAfter*window), Caller{Name: "new"}, 1)
	l.RecordRequest(began.Add(rebaseAfter*window), Caller{Name: "new"}, 1)
	assert.Assert(t, len(l.callers) <= 1, "%d", len(l.callers))
}

// For any demand: the whole capacity is used, a caller with less demand by weight is not refused
// more than one with more, a caller of higher priority is not refused more than one of lower
// priority, and no caller is starved.
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
		granted := 0.0
		for caller, count := range counts {
			shares := l.RefusalShares(began, caller)
			granted += (1 - shares.Own) * float64(count)
			assert.Assert(t, 1-shares.Own >= minServedRatio*(1-shares.All)-1e-6, "%v is starved: %+v", caller, shares)
			for other, otherCount := range counts {
				rank, otherRank := float64(count)/weights[caller], float64(otherCount)/weights[other]
				own := l.RefusalShares(began, other).Own
				protected := float64(otherCount)*(1-own) <= 1+1e-6 // a single request is no flood
				if caller.Priority == other.Priority && rank <= otherRank && !protected {
					assert.Assert(t, shares.Own <= own+1e-6 || own < 1e-6 && shares.Own < 1e-6, "%v is refused before %v", caller, other)
				}
				floor := 1 - minServedRatio*(1-shares.All)
				if caller.Priority < other.Priority && shares.Own > 1e-6 {
					assert.Assert(t, own >= floor-1e-6 || protected, "urgent %v is refused before %v", caller, other)
				}
			}
		}
		capacity := float64(total)
		if served := max(0, l.requests-l.unserved); capacity > shortageFactor*served+1 {
			capacity = served + 1
		}
		assert.Assert(t, granted >= capacity-1e-3 && granted <= capacity+float64(len(counts))+1e-3, "granted %f, capacity %f", granted, capacity)
	})
}

// BenchmarkLedger measures the cost per request where the configuration has tenants.
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
