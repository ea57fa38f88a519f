package explore

import (
	"fmt"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
)

// Options bound an exploration.
type Options struct {
	// Elected starts with A as the leader and its lease running; otherwise all
	// three processes are new.
	Elected bool
	// Steps is the number of events from the start.
	Steps int
	// MaxTerm stops elections from going on for ever.
	MaxTerm consensus.Term
	// Proposals and Seals may happen so many times.
	Proposals int
	Seals     int
	// SkipClock is the node whose clock bounds may go apart, or NoSkip.
	SkipClock int
	// DropOld is how many messages may be on their way at once; the oldest
	// beyond it are lost. Zero is no bound.
	InFlight int
}

// NoSkip leaves all clocks right.
const NoSkip = -1

// upperLeap is how far the upper bound of a clock leaps ahead at once.
const upperLeap = 2

// Result of an exploration.
type Result struct {
	// States that differ in what may follow.
	States int
	// Transitions between states, those to known states included.
	Transitions int
	// TwoLeases counts... states in which a second term has a lease holder.
	Takeovers int
	// Violation is the broken rule with the events that lead to it; empty if
	// every state is safe.
	Violation string
}

// found is a state and how it was reached.
type found struct {
	world  *world
	parent *found
	event  string
}

// explorer searches breadth first, so that each state is met by the fewest
// events and a violation has a shortest trace.
type explorer struct {
	options Options
	seen    map[xxh3.Uint128]struct{}
	level   []*found
	next    []*found
	result  Result
}

// Run visits every state within the bounds.
func Run(options Options) Result {
	e := &explorer{options: options, seen: map[xxh3.Uint128]struct{}{}}
	start := newWorld(options)
	if options.Elected {
		elect(start)
	}
	e.visit(nil, "start", start, nil)
	for range options.Steps {
		e.level, e.next = e.next, nil
		for _, state := range e.level {
			e.expand(state)
			if e.result.Violation != "" {
				return e.result
			}
		}
	}
	return e.result
}

// visit records a state unless it is known.
func (e *explorer) visit(parent *found, event string, w *world, violation error) {
	e.result.Transitions++
	state := &found{world: w, parent: parent, event: event}
	if violation != nil {
		e.result.Violation = fmt.Sprintf("%v after\n%s", violation, state.trace())
		return
	}
	if e.options.InFlight > 0 && len(w.network) > e.options.InFlight {
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
	e.next = append(e.next, state)
}

// trace lists the events from the start.
func (f *found) trace() string {
	var events []string
	for at := f; at != nil; at = at.parent {
		events = append(events, at.event)
	}
	slices.Reverse(events)
	return strings.Join(events, "\n")
}

// expand tries every event in a state.
func (e *explorer) expand(state *found) {
	e.passTime(state)
	for i := range replicas {
		e.tick(state, i)
		e.propose(state, i)
		e.seal(state, i)
	}
	for k := range state.world.network {
		e.deliver(state, k)
	}
}

// passTime moves all clocks by one unit, and one clock perhaps differently.
func (e *explorer) passTime(state *found) {
	e.moveClocks(state, "time passes", clock.Instant{})
	if e.options.SkipClock == NoSkip {
		return
	}
	e.moveClocks(state, "time passes, lower bound stands still", clock.Instant{Lower: -1})
	e.moveClocks(state, "time passes, upper bound leaps", clock.Instant{Upper: upperLeap})
}

func (e *explorer) moveClocks(state *found, event string, wrong clock.Instant) {
	w := state.world.clone()
	for i := range w.clocks {
		w.clocks[i] = w.clocks[i].Add(1)
	}
	if e.options.SkipClock != NoSkip {
		w.clocks[e.options.SkipClock].Upper += wrong.Upper
		w.clocks[e.options.SkipClock].Lower += wrong.Lower
	}
	e.visit(state, event, w, w.checkLeases())
}

func (e *explorer) tick(state *found, i int) {
	w := state.world.clone()
	err := w.change(i, func(node *consensus.Node) { node.Tick(w.clocks[i]) })
	if w.nodes[i].Status().Term <= e.options.MaxTerm {
		e.visit(state, fmt.Sprintf("tick %s", identities[i]), w, err)
	}
}

func (e *explorer) propose(state *found, i int) {
	if state.world.proposals == 0 || state.world.nodes[i].Status().Role != consensus.RoleLeader {
		return
	}
	w := state.world.clone()
	w.proposals--
	err := w.change(i, func(node *consensus.Node) { node.Propose(w.clocks[i], nil) })
	e.visit(state, fmt.Sprintf("propose at %s", identities[i]), w, err)
}

func (e *explorer) seal(state *found, i int) {
	if state.world.seals == 0 {
		return
	}
	w := state.world.clone()
	w.seals--
	sealed := false
	err := w.change(i, func(node *consensus.Node) { sealed = node.Seal(w.clocks[i]) })
	if sealed {
		e.visit(state, fmt.Sprintf("seal %s", identities[i]), w, err)
	}
}

// deliver hands over one message. A message without effect is left on its way:
// whatever follows its loss follows also while it is never delivered.
func (e *explorer) deliver(state *found, k int) {
	w := state.world.clone()
	sent := w.network[k]
	w.network = slices.Delete(w.network, k, k+1)
	before := w.nodes[sent.to].AppendState(nil, w.clocks[sent.to])
	err := w.change(sent.to, func(node *consensus.Node) { node.Step(w.clocks[sent.to], sent.message) })
	after := w.nodes[sent.to].AppendState(nil, w.clocks[sent.to])
	unchanged := string(before) == string(after) && len(w.network) == len(state.world.network)-1
	if err == nil && unchanged {
		return
	}
	e.visit(state, fmt.Sprintf("%s from %s to %s", sent.message.Kind, identities[sent.from], identities[sent.to]), w, err)
}
