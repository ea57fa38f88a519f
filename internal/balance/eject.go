package balance

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

const (
	// serverErrorsToEject is the number of server errors in a row that eject.
	// One failure to connect or a broken connection ejects at once.
	serverErrorsToEject = 5
	// timeoutWeight is how many server errors one timeout counts for.
	timeoutWeight = 3
	// latencyShare is the weight of a new latency in the moving average.
	latencyShare = 0.2
	// maxRefusalDoublings bounds how long Pick stays away after refusals.
	maxRefusalDoublings = 5
	// maxDoublings bounds the doubling of the rest.
	maxDoublings = 10
)

// judge learns from the end of a request.
func (p *Pool) judge(now time.Duration, used *member, result Result, latency time.Duration) {
	switch result {
	case ResultAnswered:
		used.failures = 0
		used.refusals = max(0, used.refusals-1)
		used.ejections = 0
		used.ejected = false
		used.measure(now, latency)
	case ResultServerError:
		used.measure(now, latency)
		used.failures++
		if used.failures >= serverErrorsToEject && p.mayEject() {
			p.eject(now, used)
		}
	case ResultTimeout:
		used.failures += timeoutWeight
		if used.failures >= serverErrorsToEject && p.mayEject() {
			p.eject(now, used)
		}
	case ResultOvertaken:
		used.failures++
		if used.failures >= serverErrorsToEject && p.mayEject() {
			p.eject(now, used)
		}
	case ResultRefused:
		used.refused(now, p.config.AvoidAfterRefusal)
	case ResultUnreachable:
		used.failures++
		p.eject(now, used)
	}
}

// refused keeps work away. A back end that refuses much looks idle, and would
// draw all work to itself: so Pick stays away for longer with each refusal more
// than answers. Take does not, because an owner's keys have no other server.
func (m *member) refused(now, avoid time.Duration) {
	m.avoidUntil = now + avoid
	m.pickAfter = now + avoid<<min(m.refusals, maxRefusalDoublings)
	m.refusals++
}

func (m *member) measure(now, latency time.Duration) {
	if latency <= 0 {
		return
	}
	if !latencyCounts(now, m) {
		m.latency = latency
	}
	m.latency += time.Duration(latencyShare * float64(latency-m.latency))
	m.latencyAt = now
}

// mayEject keeps at least half of the pool when back ends answer with errors or
// too late: a fault of the requests themselves, or an evening with more of them
// than the pool can serve, must not empty it.
func (p *Pool) mayEject() bool {
	ejected := 0
	for _, candidate := range p.members {
		if candidate.ejected {
			ejected++
		}
	}
	return 2*(ejected+1) <= len(p.members)
}

func (p *Pool) eject(now time.Duration, failed *member) {
	if failed.ejected && now < failed.retryAt {
		return // several requests failed together
	}
	rest := p.config.EjectBase << min(failed.ejections, maxDoublings)
	failed.ejected = true
	failed.failures = 0
	failed.ejections++
	failed.retryAt = now + min(rest, p.config.EjectMax)
}

// NextProbe returns an ejected back end that has rested, the first by name, and
// marks it as being probed; the caller reports the result by Probed.
func (p *Pool) NextProbe(now time.Duration) (bundle.ServerName, bool) {
	for _, candidate := range p.members {
		if candidate.ejected && !candidate.probing && now >= candidate.retryAt {
			candidate.probing = true
			return candidate.Name, true
		}
	}
	return "", false
}

// Probed takes the result of a probe. A back end that answers returns cold; a
// health endpoint may be wrong, so that one more failure ejects it for longer.
func (p *Pool) Probed(now time.Duration, name bundle.ServerName, healthy bool) {
	probed := p.find(name)
	if probed == nil {
		return
	}
	probed.probing = false
	if !probed.ejected {
		return
	}
	if !healthy {
		probed.retryAt = now // may be ejected again, for longer
		p.eject(now, probed)
		return
	}
	probed.ejected = false
	probed.cold = true
	probed.warmFrom = now
}

// drainMemory is how long a back end's own word that it drains counts, before
// the table must say it too.
const drainMemory = 3 * time.Second

// Draining takes a back end's own word that it drains: a pool gives it no new
// work meanwhile. An owner of keys is still asked, since only it may serve them.
func (p *Pool) Draining(now time.Duration, name bundle.ServerName) {
	if known := p.find(name); known != nil {
		known.drainingUntil = now + drainMemory
	}
}

// Ejected reports whether the named back end is ejected.
func (p *Pool) Ejected(name bundle.ServerName) bool {
	known := p.find(name)
	return known != nil && known.ejected
}

// HasEjected reports whether any back end is ejected.
func (p *Pool) HasEjected() bool {
	return slices.ContainsFunc(p.members, func(candidate *member) bool { return candidate.ejected })
}
