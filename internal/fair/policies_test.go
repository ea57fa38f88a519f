package fair

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// fifo serves requests in order of arrival, whatever their tenant.
type fifo struct{}

func (fifo) arrived(time.Time, int) bool { return false }
func (fifo) unserved(time.Time, int)     {}
func (fifo) next([]*simRequest) int      { return 0 }

// roundRobin serves waiting requests by deficit round robin over tenants, by weight.
type roundRobin struct {
	fifo
	deficit []float64
	turn    int
}

func (r *roundRobin) next(waiting []*simRequest) int {
	first := map[int]int{}
	for index, request := range waiting {
		if _, known := first[request.tenant]; !known {
			first[request.tenant] = index
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
		r.turn = (r.turn + 1) % len(simWeights)
		r.deficit[r.turn] += simWeights[r.turn]
	}
}

// ledgerPolicy lets requests beyond their tenant's share use free workers only.
type ledgerPolicy struct {
	fifo
	ledger Ledger
	random *rand.Rand
	// priorities of the tenants; nil if all have priority 0.
	priorities []int
}

func (p *ledgerPolicy) caller(tenant int) Caller {
	priority := 0
	if p.priorities != nil {
		priority = p.priorities[tenant]
	}
	return Caller{Name: fmt.Sprint(tenant), Priority: priority}
}

func (p *ledgerPolicy) arrived(now time.Time, tenant int) bool {
	p.ledger.RecordRequest(now, p.caller(tenant), simWeights[tenant])
	return p.random.Float64() < p.ledger.YieldShare(now, p.caller(tenant))
}

func (p *ledgerPolicy) unserved(now time.Time, _ int) { p.ledger.RecordUnserved(now) }

// newLedgerPolicy returns a policy with a separate random source, so that arrivals are the same as
// under other policies.
func newLedgerPolicy(*rand.Rand) *ledgerPolicy {
	return &ledgerPolicy{random: rand.New(rand.NewPCG(11, 12))}
}

// simPolicies are the policies that are compared.
var simPolicies = map[string]func(*rand.Rand) simPolicy{
	"first come":  func(*rand.Rand) simPolicy { return fifo{} },
	"round robin": func(*rand.Rand) simPolicy { return &roundRobin{deficit: make([]float64, len(simWeights))} },
	"ledger":      func(random *rand.Rand) simPolicy { return newLedgerPolicy(random) },
}
