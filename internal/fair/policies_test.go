package fair

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// firstCome knows no tenant.
type firstCome struct{}

func (firstCome) arrived(time.Time, int) bool { return false }
func (firstCome) lost(time.Time, int)         {}
func (firstCome) next([]*playRequest) int     { return 0 }

// roundRobin lets waiting requests go in deficit round robin over tenants, by weight.
type roundRobin struct {
	firstCome
	deficit []float64
	turn    int
}

func (r *roundRobin) next(waiting []*playRequest) int {
	first := map[int]int{}
	for index, one := range waiting {
		if _, known := first[one.tenant]; !known {
			first[one.tenant] = index
		}
	}
	for {
		index, waits := first[r.turn]
		if waits && r.deficit[r.turn] >= 1 {
			r.deficit[r.turn]--
			return index
		}
		if !waits {
			r.deficit[r.turn] = 0
		}
		r.turn = (r.turn + 1) % len(playTenants)
		r.deficit[r.turn] += playTenants[r.turn]
	}
}

// byLedger lets those beyond their share take free workers only.
type byLedger struct {
	firstCome
	ledger Ledger
	random *rand.Rand
	// priorities of the tenants; zero where there are none.
	priorities []int
}

func (b *byLedger) caller(tenant int) Caller {
	priority := 0
	if b.priorities != nil {
		priority = b.priorities[tenant]
	}
	return Caller{Name: fmt.Sprint(tenant), Priority: priority}
}

func (b *byLedger) arrived(now time.Time, tenant int) bool {
	b.ledger.RecordRequest(now, b.caller(tenant), playTenants[tenant])
	return b.random.Float64() < b.ledger.YieldShare(now, b.caller(tenant))
}

func (b *byLedger) lost(now time.Time, _ int) { b.ledger.RecordUnserved(now) }

// newByLedger draws its chances apart from the play's, so that callers come as under other ways.
func newByLedger(*rand.Rand) *byLedger {
	return &byLedger{random: rand.New(rand.NewPCG(11, 12))}
}

// playPolicies are the ways to share that were weighed.
var playPolicies = map[string]func(*rand.Rand) playPolicy{
	"first come":  func(*rand.Rand) playPolicy { return firstCome{} },
	"round robin": func(*rand.Rand) playPolicy { return &roundRobin{deficit: make([]float64, len(playTenants))} },
	"ledger":      func(random *rand.Rand) playPolicy { return newByLedger(random) },
}
