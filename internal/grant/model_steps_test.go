package grant_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/cellstate"
	"github.com/shalefork/shalefork/internal/clock"
	"github.com/shalefork/shalefork/internal/grant"
	"github.com/shalefork/shalefork/internal/lease"
	"github.com/shalefork/shalefork/internal/wire"
)

const (
	serverA bundle.ServerName = "tawila/tables/a"
	serverB bundle.ServerName = "tawila/tables/b"
)

// instant is the time on every leader's clock; a server's clock is ahead of it.
func (w *world) instant() clock.Instant {
	return clock.Exact(time.Duration(w.now) * tick)
}

func (w *world) serverInstant() clock.Instant {
	return w.instant().Add(10 * tick)
}

// next copies the world for one more step.
func (w *world) next(format string, values ...any) *world {
	copied := *w
	copied.messages = slices.Clone(w.messages)
	copied.holders = slices.Clone(w.holders)
	copied.at = maps.Clone(w.at)
	for i := range w.waiting {
		copied.waiting[i] = maps.Clone(w.waiting[i])
		copied.pending[i] = slices.Clone(w.pending[i])
	}
	copied.trace = &step{now: w.now, format: format, values: values, before: w.trace}
	return &copied
}

// book lets an event happen at a leader, holder one at a server.
func (w *world) book(leader int, event func(*grant.Book)) {
	w.leaders[leader] = withText(w.leaders[leader].after(event), w.instant())
}

func (w *world) holder(number int, event func(*lease.Holder)) {
	changed := w.holders[number].after(event)
	changed.text = fmt.Sprintf("%+v", *changed.object)
	w.holders[number] = changed
}

func modelConfig(leader int) grant.Config {
	return grant.Config{
		Cell: "casablanca-1", Leader: wire.Incarnation(fmt.Sprint("leader-", leader)), Term: uint64(leader + 1),
		Duration: duration, PoolDuration: duration,
		// RenewEvery is left at zero: a leader may renew at any moment.
	}
}

func newLeader(leader int, elected clock.Instant, state cellstate.State) leaderProcess {
	return leaderProcess{
		object: grant.New(modelConfig(leader), elected, state),
		clone:  (*grant.Book).Clone,
	}
}

func newServer(incarnation wire.Incarnation) serverProcess {
	return serverProcess{
		make: func() *lease.Holder { return lease.NewHolder("casablanca-1", incarnation) },
	}
}

// steps returns the worlds that one step leads to.
func (s scenario) steps(w *world) []*world {
	var after []*world
	if w.now < s.ticks {
		after = append(after, s.later(w))
	}
	for leader := range w.leaders {
		if w.leaders[leader].object != nil {
			after = append(after, s.leaderSteps(w, leader)...)
		}
	}
	after = append(after, s.messageSteps(w)...)
	after = append(after, s.workSteps(w)...)
	if !w.elected && s.mayElect(w) {
		after = append(after, s.elect(w)...)
	}
	if s.restarts && len(w.holders) == 2 {
		after = append(after, restart(w))
	}
	return after
}

// later lets a tick pass. A renewal of the retired leader that has run out on
// the server's clock can do nothing more.
func (s scenario) later(w *world) *world {
	after := w.next("a tick passes")
	after.now++
	after.retireFirstLeader()
	for i, leader := range after.leaders {
		if leader.object != nil {
			after.leaders[i] = withText(leader, after.instant())
		}
	}
	after.messages = slices.DeleteFunc(after.messages, func(m message) bool {
		spent := m.request.Reading+m.request.Duration <= after.serverInstant().Upper
		return after.leaders[m.leader].object == nil && spent && s.mutation != expiryFromReceipt
	})
	return after
}

func (s scenario) leaderSteps(w *world, leader int) []*world {
	if leader == 0 && w.elected {
		return []*world{s.due(w, leader)}
	}
	after := append(assigns(w, leader), propose(w, leader))
	if w.underWay(leader) < maxUnderWay {
		after = append(after, s.due(w, leader))
	}
	if len(w.pending[leader]) > 0 {
		after = append(after, commit(w, leader))
	}
	for _, server := range []bundle.ServerName{serverA, serverB} {
		if w.waiting[leader][server] {
			after = append(after, fail(w, leader, server), lose(fail(w, leader, server), leader, server))
		}
	}
	if s.releases && !w.released && w.state.Assignments[0].Owned() {
		after = append(after, release(w, leader))
	}
	if s.mutation == leaseBeforeReading && leader == 0 && !w.checked && w.now < leaseEnds {
		checked := w.next("leader 0 checks its leadership")
		checked.checked = true
		after = append(after, checked)
	}
	return after
}

// leaderUntil is the end of the leadership lease that the leader reads now.
func (s scenario) leaderUntil(w *world, leader int) time.Duration {
	if leader == 1 || (s.mutation == leaseBeforeReading && w.checked) {
		return time.Hour
	}
	return leaseEnds * tick
}

func (s scenario) due(w *world, leader int) *world {
	after := w.next("leader %d sends what is due", leader)
	var renewals []grant.Renewal
	now, until := w.instant(), s.leaderUntil(w, leader)
	after.book(leader, func(b *grant.Book) { renewals = b.Due(now, until) })
	for _, renewal := range renewals {
		sent := message{leader: leader, holder: w.at[renewal.Server], server: renewal.Server, request: renewal.Request}
		after.waiting[leader][renewal.Server] = true
		sent.text = sent.String()
		after.messages = append(after.messages, sent)
		if renewal.Server == serverB && !s.delayB {
			last := len(after.messages) - 1
			trace := after.trace
			after = answer(s.deliver(after, last), last)
			after.trace = trace
		}
	}
	after.checked = after.checked && leader != 0
	after.retireFirstLeader()
	return after
}

// maxUnderWay bounds the messages between a leader and server a.
const maxUnderWay = 1

func (w *world) underWay(leader int) int {
	count := 0
	for _, sent := range w.messages {
		if sent.leader == leader && sent.server == serverA {
			count++
		}
	}
	return count
}

// propose adds what the leases call for.
func propose(w *world, leader int) *world {
	after := w.next("leader %d proposes", leader)
	now := w.instant()
	var commands []cellstate.Command
	after.book(leader, func(b *grant.Book) { commands = b.Proposals(now) })
	for _, command := range commands {
		after.pend(leader, command)
	}
	return after
}

// assigns propose the unowned slice for each server that is live.
func assigns(w *world, leader int) []*world {
	unowned := w.state.Assignments[0]
	if unowned.Owned() {
		return nil
	}
	var after []*world
	for _, view := range w.leaders[leader].object.Servers(w.instant()) {
		if !view.Live || view.Incarnation != w.state.Servers[view.Name].Incarnation {
			continue
		}
		assigned := w.next("leader %d assigns to %s", leader, view.Name)
		assigned.pend(leader, cellstate.Command{Assign: &cellstate.Assign{
			Slice: unowned.Slice, Owner: view.Name, Incarnation: view.Incarnation,
		}})
		after = append(after, assigned)
	}
	return after
}

func (w *world) pend(leader int, command cellstate.Command) {
	text := textOf(command)
	for _, present := range w.pending[leader] {
		if present.text == text {
			return
		}
	}
	w.pending[leader] = append(w.pending[leader], proposal{command: command, text: text})
}

// commit commits the first pending command; the leader applies it at once.
func commit(w *world, leader int) *world {
	after := w.next("%s commits", w.pending[leader][0].text)
	after.apply(w.pending[leader][0].command)
	after.pending[leader] = after.pending[leader][1:]
	now, state := w.instant(), after.state
	after.book(leader, func(b *grant.Book) { b.Observe(now, state) })
	return after
}

func (w *world) apply(command cellstate.Command) {
	w.state, _ = cellstate.Apply(w.state, w.state.Index+1, command)
	w.log = xxh3.HashString128(textOf(w.state.Assignments) + textOf(w.state.Servers) + fmt.Sprint(w.state.Index))
}

func fail(w *world, leader int, server bundle.ServerName) *world {
	after := w.next("leader %d gives its request to %s up", leader, server)
	now := w.instant()
	after.book(leader, func(b *grant.Book) { b.Failed(now, server) })
	delete(after.waiting[leader], server)
	return after
}

// lose drops the message that the leader gave up.
func lose(w *world, leader int, server bundle.ServerName) *world {
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.leader == leader && m.server == server })
	w.trace.format = "leader %d loses its request to %s"
	return w
}

func release(w *world, leader int) *world {
	after := w.next("leader %d proposes a release", leader)
	held := w.state.Assignments[0]
	after.pend(leader, cellstate.Command{BeginRelease: &cellstate.BeginRelease{Slice: held.Slice, Fence: held.Fence}})
	after.released = true
	return after
}

func (s scenario) mayElect(w *world) bool {
	return w.now >= leaseEnds || s.mutation == voteInsidePromise
}

// elect makes the second leader, once for each number of the first leader's
// pending commands that its log may hold. It has applied them all.
func (s scenario) elect(w *world) []*world {
	var after []*world
	for kept := range len(w.pending[0]) + 1 {
		elected := w.next("leader 1 is elected with %d pending commands", kept)
		for _, pending := range w.pending[0][:kept] {
			elected.apply(pending.command)
		}
		since := w.instant()
		if s.mutation == noWait {
			since = since.Add(-duration)
		}
		elected.elected = true
		elected.pending[0] = nil
		elected.leaders[1] = newLeader(1, since, elected.state)
		elected.book(1, func(*grant.Book) {})
		elected.retireFirstLeader()
		after = append(after, elected)
	}
	return after
}

// retireFirstLeader forgets the first leader once another is elected and its
// lease has ended: it sends nothing more, and its commands no longer commit. Its renewals stay under way.
func (w *world) retireFirstLeader() {
	if !w.elected || w.checked || w.now < leaseEnds {
		return
	}
	w.leaders[0] = leaderProcess{}
	w.waiting[0] = nil
	w.messages = slices.DeleteFunc(w.messages, func(m message) bool { return m.leader == 0 && m.answer != nil })
}

// restart puts a new run at the address of server a. The former run lives on,
// cut off, with the messages that already went to it.
func restart(w *world) *world {
	after := w.next("server a restarts")
	after.at[serverA] = len(w.holders)
	after.holders = append(after.holders, newServer("a2"))
	return after
}
