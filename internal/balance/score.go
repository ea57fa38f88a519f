package balance

import (
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Weights of the score. They are starting values.
const (
	// minWarmth bounds how much worse a cold back end looks.
	minWarmth = 0.1
	// reportedWeight is the weight of a request that only the back end reports.
	reportedWeight = 0.5
	// answeredLoadKept is how long a load that came with an answer counts: what
	// runs elsewhere changes within some requests, and a back end that once was
	// busy must be tried again.
	answeredLoadKept = time.Second
	// otherZonePenalty is added for a back end in another zone, as a share of
	// its slots: nearness decides only between back ends about equally loaded.
	otherZonePenalty = 0.25
	// maxLatencyFactor bounds how much a slow back end is held back.
	maxLatencyFactor = 4.0
	// latencyMemory is how long a latency counts without a new measurement, so
	// that a back end once slow is tried again.
	latencyMemory = 2 * time.Second
	// tie is the difference of scores that counts as none.
	tie = 1e-9
)

// best scans all members for the lowest score.
func (p *Pool) best(now time.Duration, random uint64, allowed func(bundle.ServerName) bool) *member {
	fastest := p.fastest(now)
	var found *member
	lowest, ties := 0.0, uint64(0)
	for _, candidate := range p.members {
		if !p.usable(now, candidate) || !allowed(candidate.Name) {
			continue
		}
		score := p.score(now, candidate, fastest)
		switch {
		case found == nil || score < lowest-tie:
			found, lowest, ties = candidate, score, 1
		case score <= lowest+tie:
			ties++
			if random%ties == 0 {
				found = candidate
			}
			random /= ties
		}
	}
	return found
}

func (p *Pool) usable(now time.Duration, candidate *member) bool {
	if !candidate.takesWork() || now < max(candidate.pickAfter, candidate.drainingUntil) {
		return false
	}
	return candidate.hasRoom()
}

// score is the load that the back end would have with one more request, per
// slot; lower is better.
func (p *Pool) score(now time.Duration, candidate *member, fastest time.Duration) float64 {
	slots := float64(max(1, candidate.Slots))
	foreign := float64(max(0, candidate.reported(now)-candidate.inFlight))
	// A report beyond twice the slots is taken as twice the slots: a back end
	// that lies cannot shut itself out.
	foreign = min(foreign, 2*slots)
	load := (float64(candidate.inFlight) + 1 + reportedWeight*foreign) / slots
	load *= latencyFactor(now, candidate, fastest)
	load /= candidate.warmth(now, p.config.SlowStart)
	if candidate.Zone != p.config.Zone {
		load += otherZonePenalty
	}
	return load
}

// fastest returns the lowest latency that still counts; zero if none does.
func (p *Pool) fastest(now time.Duration) time.Duration {
	lowest := time.Duration(0)
	for _, candidate := range p.members {
		if !latencyCounts(now, candidate) || candidate.ejected {
			continue
		}
		if lowest == 0 || candidate.latency < lowest {
			lowest = candidate.latency
		}
	}
	return lowest
}

func latencyCounts(now time.Duration, candidate *member) bool {
	return candidate.latency > 0 && now-candidate.latencyAt < latencyMemory
}

// latencyFactor compares with the fastest; a factor of two in latency is
// within what load alone explains and costs nothing.
func latencyFactor(now time.Duration, candidate *member, fastest time.Duration) float64 {
	if fastest == 0 || !latencyCounts(now, candidate) {
		return 1
	}
	factor := float64(candidate.latency) / float64(2*fastest)
	return min(maxLatencyFactor, max(1, factor))
}

// reported is the load that came with an answer a short while ago, or else the
// one that the table has.
func (m *member) reported(now time.Duration) int {
	if m.answeredAt > 0 && now-m.answeredAt < answeredLoadKept {
		return m.answeredLoad
	}
	return m.Reported
}
