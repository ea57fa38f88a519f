package explore

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/consensus"
)

// Options bound an exploration.
type Options struct {
	// Elected starts with A as the leader and its lease running; otherwise all
	// three processes are new and their promise of the start is over.
	Elected bool
	// Steps is the number of events from the start.
	Steps int
	// MaxTerm stops elections from going on for ever.
	MaxTerm consensus.Term
	// Ticking is how many nodes, A first, may notice that time passes. The
	// others only answer.
	Ticking int
	// Proposals and Seals may happen so many times.
	Proposals int
	Seals     int
	// SkipClock is the node whose clock bounds may go apart, Skips times.
	SkipClock int
	Skips     int
	// InFlight is how many messages may be on their way at once; the oldest
	// beyond it are lost.
	InFlight int
}

// Result of an exploration.
type Result struct {
	// States that differ in what may follow.
	States int
	// Transitions between states, those to known states included.
	Transitions int
	// Takeovers counts states in which a leader of a later term than the
	// first holds the lease: without such states little was shown.
	Takeovers int
	// Violation is the broken rule with the events that lead to it; empty if
	// every state is safe.
	Violation string
}

// found is a state and how it was reached.
type found struct {
	world *world
	path  *step
}

// step is an event and the steps before it. It keeps no state, so that the
// states of a finished level can be freed.
type step struct {
	before *step
	event  event
}

// explorer searches breadth first, so that each state is met by the fewest
// events and a violation has a shortest trace.
type explorer struct {
	options Options
	seen    map[xxh3.Uint128]struct{}
	level   []found
	next    []found
	result  Result
}

// Run visits every state within the bounds.
func Run(options Options) Result {
	e := &explorer{options: options, seen: map[xxh3.Uint128]struct{}{}}
	start := newWorld(options)
	pass(start, electionMin)
	if options.Elected {
		elect(start)
	}
	e.visit(nil, event{}, start, nil)
	for range options.Steps {
		e.level, e.next = e.next, nil
		for k, state := range e.level {
			e.level[k] = found{}
			e.expand(state)
			if e.result.Violation != "" {
				return e.result
			}
		}
	}
	return e.result
}

// visit records a state unless it is known.
func (e *explorer) visit(before *step, happened event, w *world, violation error) {
	e.result.Transitions++
	path := &step{before: before, event: happened}
	if violation != nil {
		e.result.Violation = fmt.Sprintf("%v after\n%s", violation, path.trace())
		return
	}
	if len(w.network) > e.options.InFlight {
		w.network = slices.Clone(w.network[len(w.network)-e.options.InFlight:])
	}
	key := w.fingerprint()
	if _, known := e.seen[key]; known {
		return
	}
	e.seen[key] = struct{}{}
	e.result.States++
	if w.takenOver() {
		e.result.Takeovers++
	}
	e.next = append(e.next, found{world: w, path: path})
}

// trace lists the events from the start.
func (s *step) trace() string {
	var events []string
	for at := s; at.before != nil; at = at.before {
		events = append(events, at.event.String())
	}
	slices.Reverse(events)
	return strings.Join(events, "\n")
}
