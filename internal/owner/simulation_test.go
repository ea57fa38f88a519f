package owner

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// The world of these tests: workers with clocks of their own, a network that
// loses and delays orders and their answers, and leaders that come and go, all in
// virtual time. The rules are checked at each step.

// pending is something that happens later.
type event struct {
	at time.Time
	do func()
}

// leader is one process that drives a book.
type simLeader struct {
	ledger *Ledger
	term   Term
	// authority ends here; renewals go on for StaleRenewals after it.
	authority time.Time
	frozen    time.Time
	dead      bool
	writing   bool
}

// world is all of it.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	config  Config
	workers []*simWorker
	leaders []*simLeader
	record  []byte
	version int // of the record
	term    Term
	queue   []event
	// takenUntil: the lease of the leader's key.
	lease     time.Time
	violation string
	// late makes orders be taken late, lost makes their answers go missing.
	delayOrders, loseReplies bool
	moves                    int
	// calm says that no keys move any more but those that must.
	noMoves bool
}

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0),
		config: DefaultConfig(10 * time.Second),
	}
	for index := range 4 {
		w.workers = append(w.workers, &simWorker{id: workers.ID(fmt.Sprintf("w%d", index)), clockLag: 0.02 * w.random.Float64()})
	}
	return w
}

func (w *simulation) after(delay time.Duration, do func()) {
	w.queue = append(w.queue, event{at: w.now.Add(delay), do: do})
}

func (w *simulation) chance(probability float64) bool { return w.random.Float64() < probability }

func (w *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)))
}

// step lets 20 ms pass.
func (w *simulation) step() {
	w.now = w.now.Add(20 * time.Millisecond)
	due := w.queue
	w.queue = nil
	for _, one := range due {
		if w.now.Before(one.at) {
			w.queue = append(w.queue, one)
			continue
		}
		one.do()
	}
	w.elect()
	for _, one := range w.leaders {
		w.drive(one)
	}
	w.check()
}

// elect makes a new leader once the lease is over.
func (w *simulation) elect() {
	if w.now.Before(w.lease) {
		return
	}
	w.term++
	w.lease = w.now.Add(1500 * time.Millisecond)
	next := &simLeader{ledger: NewLedger(w.config, w.term), term: w.term, authority: w.now.Add(1350 * time.Millisecond)}
	if w.record != nil {
		until := w.now.Add(w.config.RenewalGrace + w.config.MaxHold())
		if err := next.ledger.Load(w.now, w.record, until); err != nil {
			panic(err)
		}
	}
	w.leaders = append(w.leaders, next)
}

// drive is what the keeper does, for one leader.
func (w *simulation) drive(one *simLeader) {
	if one.dead || w.now.Before(one.frozen) || w.now.After(one.authority.Add(w.config.RenewalGrace)) {
		return
	}
	leads := one.term == w.term && w.now.Before(w.lease)
	if leads && w.chance(0.2) {
		w.lease = w.now.Add(1500 * time.Millisecond)
		one.authority = w.now.Add(1350 * time.Millisecond)
	}
	renewOnly := w.now.After(one.authority)
	if !renewOnly {
		w.plan(one)
		w.store(one, leads)
	}
	for _, order := range one.ledger.Due(w.now, renewOnly) {
		w.send(one, order)
	}
}

func (w *simulation) plan(one *simLeader) {
	if one.writing {
		return
	}
	var candidates []Candidate
	for _, worker := range w.workers {
		if !worker.ended && !one.ledger.Failing(w.now, worker.id, time.Second) {
			candidates = append(candidates, Candidate{ID: worker.id, Address: string(worker.id), Capacity: 30})
		}
	}
	if len(candidates) == 0 {
		return
	}
	if one.ledger.Empty() {
		one.ledger.Assign(w.now, InitialOwners(candidates, nil))
		return
	}
	one.ledger.Plan(candidates, nil, testRules)
	if !w.noMoves && w.chance(0.05) {
		to := candidates[w.random.IntN(len(candidates))]
		one.ledger.Move(segmentKeys(w.random.IntN(segmentCount)), to.ID, to.Address)
		w.moves++
	}
}

// store writes the record, under the condition that the leader still leads.
func (w *simulation) store(one *simLeader, leads bool) {
	if one.writing || one.ledger.RecordVersion() == one.ledger.StoredVersion() {
		return
	}
	change := one.ledger.RecordVersion()
	value, err := one.ledger.Encode(one.term, "")
	if err != nil {
		panic(err)
	}
	one.writing = true
	w.after(w.between(4*time.Millisecond, 400*time.Millisecond), func() {
		one.writing = false
		if !leads || one.term != w.term {
			one.dead = true // the service says that another leads
			return
		}
		w.record = value
		w.version++
		one.ledger.MarkStored(change)
	})
}

// send carries an order to its worker and the answer back.
func (w *simulation) send(from *simLeader, order Order) {
	var to *simWorker
	for _, worker := range w.workers {
		if worker.id == order.Target.ID {
			to = worker
		}
	}
	answer := func(reply Reply) {
		if !from.dead {
			from.ledger.HandleReply(w.now, order, reply)
		}
	}
	switch {
	case to == nil || to.ended || to.partitioned:
		w.after(400*time.Millisecond, func() { answer(Reply{Outcome: OutcomeUnreachable}) })
	case w.delayOrders && w.chance(0.3):
		w.after(w.between(2*time.Second, 12*time.Second), func() {
			w.deliver(to, order, true)
		})
		w.after(600*time.Millisecond, func() { answer(Reply{Outcome: OutcomeUnanswered}) })
	case w.loseReplies && w.chance(0.3):
		w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { w.deliver(to, order, false) })
		w.after(600*time.Millisecond, func() { answer(Reply{Outcome: OutcomeUnanswered}) })
	default:
		w.after(w.between(time.Millisecond, 60*time.Millisecond), func() {
			reply := w.deliver(to, order, false)
			w.after(w.between(time.Millisecond, 20*time.Millisecond), func() { answer(reply) })
		})
	}
}

func (w *simulation) deliver(to *simWorker, order Order, late bool) Reply {
	if to.ended {
		return Reply{Outcome: OutcomeOtherWorker}
	}
	if order.Release {
		to.release(w.now, order.Keys, order.Fence)
		return Reply{Outcome: OutcomeDone, Handover: "h"}
	}
	if !late || !to.partitioned { // as in check
		w.checkFence(to, order.Grant)
	}
	return Reply{Outcome: to.grant(w.now, order.Grant, late)}
}

// checkFence: a worker that takes keys does so under a fence above all with
// which other workers had them.
func (w *simulation) checkFence(to *simWorker, grant Grant) {
	for _, place := range segmentsOf(grant.Keys) {
		if to.seen[place] > grant.Fence {
			return // it will refuse
		}
	}
	for _, place := range segmentsOf(grant.Keys) {
		for _, other := range w.workers {
			fence, holds := other.holds(w.now, place)
			if other != to && holds && fence >= grant.Fence {
				w.violation = fmt.Sprintf("%v: %s takes place %d under fence %d, %s holds it under %d",
					w.now.Sub(time.Unix(1000, 0)), to.id, place, grant.Fence, other.id, fence)
			}
		}
	}
}

// check: no two workers hold the same keys. One case does not count: a grant that
// was taken late by a worker that no order reaches any more. Nothing but waiting
// for the longest delay after each crash could prevent it, and no request goes
// there, since requests follow the table.
func (w *simulation) check() {
	for place := range segmentCount {
		var holders []string
		for _, worker := range w.workers {
			if _, holds := worker.holds(w.now, place); holds && !worker.holdsDelayedGrant(w.now, place) {
				holders = append(holders, string(worker.id))
			}
		}
		if len(holders) > 1 {
			w.violation = fmt.Sprintf("%v: place %d is held by %v", w.now.Sub(time.Unix(1000, 0)), place, holders)
		}
	}
}

// served counts the places that some worker holds.
func (w *simulation) servedSegments() int {
	count := 0
	for place := range segmentCount {
		if slices.ContainsFunc(w.workers, func(worker *simWorker) bool {
			_, holds := worker.holds(w.now, place)
			return holds && !worker.partitioned
		}) {
			count++
		}
	}
	return count
}

// run plays a number of seconds and returns what broke, if anything.
func (w *simulation) run(seconds int, each func(second int)) string {
	for second := range seconds {
		each(second)
		for range 50 {
			w.step()
			if w.violation != "" {
				return w.violation
			}
		}
	}
	return ""
}
