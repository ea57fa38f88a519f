// Package balance picks a back end for a request.
//
// The pool is a pure state machine: it opens no socket and reads no clock.
// Every call carries the time since the start of the process, and random
// numbers are passed in. A pool has tens of back ends, so that every pick scans
// all of them.
//
// What the gateway sees itself (requests in flight, latency, failures) weighs
// more than what back ends report, since reports lag and may be wrong. The use of
// requests in flight and latency in place of averages follows Prequal (Wydrowski
// et al., NSDI 2024).
package balance

import (
	"slices"
	"strings"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
)

// Config holds a pool's times and weights.
type Config struct {
	// Zone of the gateway; back ends in it are preferred.
	Zone bundle.Zone
	// SlowStart is how long a cold back end gets less than its share.
	SlowStart time.Duration
	// EjectBase and EjectMax bound how long an ejected back end rests before a
	// probe. The rest doubles from one ejection to the next.
	EjectBase time.Duration
	EjectMax  time.Duration
	// AvoidAfterRefusal is how long a back end that refused gets no work.
	AvoidAfterRefusal time.Duration
}

// DefaultConfig returns the configuration of a gateway in the given zone.
func DefaultConfig(zone bundle.Zone) Config {
	return Config{
		Zone:              zone,
		SlowStart:         5 * time.Second,
		EjectBase:         100 * time.Millisecond,
		EjectMax:          500 * time.Millisecond,
		AvoidAfterRefusal: 20 * time.Millisecond,
	}
}

// Pool holds the back ends of one service. It is not safe for concurrent use.
type Pool struct {
	config  Config
	members []*member // ordered by name
}

// NewPool returns an empty pool.
func NewPool(config Config) *Pool {
	return &Pool{config: config}
}

// Update replaces the list of back ends. What is known of those that stay is
// kept; a back end that is new in a pool already in use, or back from draining,
// starts slowly.
func (p *Pool) Update(now time.Duration, list []Member) {
	first := len(p.members) == 0
	next := make([]*member, 0, len(list))
	for _, described := range list {
		known := p.find(described.Name)
		if known == nil {
			known = &member{cold: !first, warmFrom: now}
		}
		if known.Draining && !described.Draining {
			// The same name, but most likely another run of the process.
			known.cold = true
			known.warmFrom = now
		}
		known.Member = described
		next = append(next, known)
	}
	slices.SortFunc(next, func(a, b *member) int {
		return strings.Compare(string(a.Name), string(b.Name))
	})
	p.members = next
}

func (p *Pool) find(name bundle.ServerName) *member {
	for _, candidate := range p.members {
		if candidate.Name == name {
			return candidate
		}
	}
	return nil
}

// Take counts a request to the named back end, the only one that may serve it.
// It returns false if the back end is unknown, ejected or has no room.
func (p *Pool) Take(now time.Duration, name bundle.ServerName) bool {
	owner := p.find(name)
	if owner == nil || !owner.hasRoom() || now < owner.avoidUntil {
		return false
	}
	if owner.ejected && !p.takeTrial(now, owner) {
		return false
	}
	owner.inFlight++
	return true
}

// takeTrial lets one request at a time go to an ejected owner after its rest:
// nobody else may serve its keys.
func (p *Pool) takeTrial(now time.Duration, owner *member) bool {
	return now >= owner.retryAt && owner.inFlight == 0
}

// Pick counts a request to the best back end that allowed accepts. It returns
// false if none has room. random breaks ties.
func (p *Pool) Pick(now time.Duration, random uint64, allowed func(bundle.ServerName) bool) (bundle.ServerName, bool) {
	best := p.best(now, random, allowed)
	if best == nil {
		return "", false
	}
	best.inFlight++
	return best.Name, true
}

// Done counts a request out. latency is the time to the answer's headers, zero
// if there was none.
func (p *Pool) Done(now time.Duration, name bundle.ServerName, result Result, latency time.Duration) {
	used := p.find(name)
	if used == nil {
		return
	}
	used.inFlight = max(0, used.inFlight-1)
	if result != ResultNeutral {
		p.judge(now, used, result, latency)
	}
}

// Answered notes the load that a back end gave with an answer: its requests in
// flight from all gateways beside the one answered.
func (p *Pool) Answered(now time.Duration, name bundle.ServerName, load int) {
	if known := p.find(name); known != nil {
		known.answeredLoad = load
		known.answeredAt = now
	}
}

// InFlight returns the requests that this gateway has at the named back end.
func (p *Pool) InFlight(name bundle.ServerName) int {
	if known := p.find(name); known != nil {
		return known.inFlight
	}
	return 0
}

// Capacity returns how many requests the gateway may have in flight at the
// named back end, or at all that take work if only is empty. Zero means
// unbounded, or that none takes work.
func (p *Pool) Capacity(only bundle.ServerName) int {
	total := 0
	for _, candidate := range p.members {
		if !candidate.takesWork() || (only != "" && candidate.Name != only) {
			continue
		}
		limit := candidate.capacity()
		if limit == 0 {
			return 0
		}
		total += limit
	}
	return total
}

// Usable reports whether any back end takes work, even if it has no room now.
func (p *Pool) Usable() bool {
	return slices.ContainsFunc(p.members, (*member).takesWork)
}
