package owner

import "github.com/shalefork/shalefork/internal/workers"

// admitted is the share of a worker's capacity that is let through to it: beyond that
// its queue, and with it all its answers, would grow late.
const admitted = 0.88

// Shares returns which share of their requests overloaded workers can run in time.
// Workers that can run all of them are left out.
func (b *Book) Shares(candidates []Candidate, rates []KeyLoad) map[workers.ID]float64 {
	loads := map[workers.ID]float64{}
	at := 0
	for _, one := range b.spans {
		for at < len(rates) && rates[at].Key <= one.keys.To {
			loads[one.owner] += rates[at].Rate
			at++
		}
	}
	shares := map[workers.ID]float64{}
	for _, one := range candidates {
		if able := admitted * one.Capacity; loads[one.ID] > able {
			shares[one.ID] = able / loads[one.ID]
		}
	}
	return shares
}
