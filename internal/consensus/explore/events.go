package explore

import (
	"fmt"
	"slices"

	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/consensus"
	"github.com/shalefork/shalefork/internal/wire"
)

// upperLeap is how far the upper bound of a clock leaps ahead at once.
const upperLeap = 2

// action names what happens from one state to the next.
type action string

const (
	timePasses  action = "time passes"
	lowerStands action = "time passes and a lower bound stands still"
	upperLeaps  action = "time passes and an upper bound leaps"
	ticks       action = "tick"
	proposes    action = "propose"
	seals       action = "seal"
)

// event is one step from a state to the next.
type event struct {
	action action
	// from is the sender of a message, at is the node that acts.
	from wire.Incarnation
	at   wire.Incarnation
}

func (e event) String() string {
	if e.from != "" {
		return fmt.Sprintf("%s from %s to %s", e.action, e.from, e.at)
	}
	return fmt.Sprintf("%s %s", e.action, e.at)
}

// expand tries every event in a state.
func (e *explorer) expand(state found) {
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
func (e *explorer) passTime(state found) {
	e.moveClocks(state, timePasses, clock.Instant{})
	if state.world.skips == 0 {
		return
	}
	e.moveClocks(state, lowerStands, clock.Instant{Lower: -1})
	e.moveClocks(state, upperLeaps, clock.Instant{Upper: upperLeap})
}

func (e *explorer) moveClocks(state found, happened action, wrong clock.Instant) {
	w := state.world.clone()
	for i := range w.clocks {
		w.clocks[i] = w.clocks[i].Add(1)
	}
	if happened != timePasses {
		w.skips--
		w.clocks[e.options.SkipClock].Upper += wrong.Upper
		w.clocks[e.options.SkipClock].Lower += wrong.Lower
	}
	e.visit(state.path, event{action: happened}, w, w.checkLeases())
}

func (e *explorer) tick(state found, i int) {
	if i >= e.options.Ticking {
		return
	}
	w := state.world.clone()
	err := w.change(i, func(node *consensus.Node) { node.Tick(w.clocks[i]) })
	if w.nodes[i].Term() <= e.options.MaxTerm {
		e.visit(state.path, event{action: ticks, at: identities[i]}, w, err)
	}
}

func (e *explorer) propose(state found, i int) {
	if state.world.proposals == 0 || state.world.nodes[i].Role() != consensus.RoleLeader {
		return
	}
	w := state.world.clone()
	w.proposals--
	err := w.change(i, func(node *consensus.Node) { node.Propose(w.clocks[i], nil) })
	e.visit(state.path, event{action: proposes, at: identities[i]}, w, err)
}

func (e *explorer) seal(state found, i int) {
	if state.world.seals == 0 {
		return
	}
	w := state.world.clone()
	w.seals--
	sealed := false
	err := w.change(i, func(node *consensus.Node) { sealed = node.Seal(w.clocks[i]) })
	if sealed {
		e.visit(state.path, event{action: seals, at: identities[i]}, w, err)
	}
}

// deliver hands over one message. A message without effect is left on its way:
// whatever follows its loss follows also while it is never delivered.
func (e *explorer) deliver(state found, k int) {
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
	arrived := event{
		action: action(sent.message.Kind),
		from:   identities[sent.from],
		at:     identities[sent.to],
	}
	e.visit(state.path, arrived, w, err)
}
