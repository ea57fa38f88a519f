package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// The model drives the real books through every order of events within bounds: two
// workers, one run of keys, a leader and its successor, orders that are answered,
// left without an answer or taken late, a worker that is cut off and comes back, a
// store that is slow, a leader that no longer reaches it, and a standby that renews
// what it was told of whenever it may. Time passes in ticks.

const (
	modelTick = time.Second
	// modelWorkers is the number of workers; the clock of the first one runs slow.
	modelWorkers = 2
)

// modelConfig has times of a few ticks.
var modelConfig = Config{
	Hold:          2 * modelTick,
	RenewInterval: modelTick,
	ClockSlack:    0.5,
	MaxOrderDelay: 3 * modelTick,
	RenewalGrace:  2 * modelTick,
	RetryDelay:    modelTick,
}

const modelLease = 2 * modelTick

// modelBounds bound what may happen on one path.
type modelBounds struct {
	ticks, moves, lates, losses, cuts, leaders int
	// restarts of workers under their IDs.
	restarts int
	// tellings of holds to the standby, its renewals, and successors that ask it to
	// stop and need not outwait it.
	tellings, renewals, asks int
}

// modelHolder is a worker's side.
type modelHolder struct {
	id     workers.ID
	length time.Duration
	fence  Fence
	until  time.Time
	seen   Fence
	cut    bool
	// lateCut says that the hold was taken late, and the worker was cut off while
	// the order was on its way: nobody could tell it of a higher fence.
	lateCut bool
	// born tells its lives apart; zero if it does not tell them. before is the highest fence of
	// its earlier lives.
	born   workers.StartTime
	before Fence
	// untold says that nobody can have told this life of a higher fence yet.
	untold bool
}

func (h *modelHolder) holds(now time.Time) bool { return now.Before(h.until) }

// modelOrder is an order on its way.
type modelOrder struct {
	order   Order
	renewal Renewal
	// leader that sent it, or fromStandby.
	leader int
	// late orders were given up and may still be taken, until then.
	late  bool
	until time.Time
	// cut says that the worker was cut off while the order was late.
	cut bool
	// born is the life of the worker that the sender had heard of.
	born workers.StartTime
}

// modelWrite is a record on its way to the store.
type modelWrite struct {
	change uint64
	value  []byte
}

type modelLeader struct {
	book      *Ledger
	term      Term
	authority time.Time
	// cutOff leaders no longer reach the store.
	cutOff, dead bool
	write        *modelWrite
	// lives are those that the leader was told of.
	lives [modelWorkers]workers.StartTime
}

// model is one state, reached by a path of choices.
type model struct {
	bounds  modelBounds
	now     time.Time
	holders []*modelHolder
	leaders []*modelLeader
	standby *modelStandby
	orders  []*modelOrder
	record  []byte
	lease   time.Time
	broken  string
}

func newModel(bounds modelBounds) *model {
	m := &model{bounds: bounds, now: time.Unix(1000, 0), standby: &modelStandby{pure: NewStandby(modelConfig)}}
	for index := range modelWorkers {
		length := modelConfig.Hold
		if index == 0 {
			length = time.Duration(float64(length) * (1 + modelConfig.ClockSlack))
		}
		holder := &modelHolder{id: workers.ID(fmt.Sprintf("w%d", index)), length: length}
		if bounds.restarts > 0 {
			holder.born = 1
		}
		m.holders = append(m.holders, holder)
	}
	m.elect(0)
	book := m.leaders[0].book
	book.Assign(m.now, []Owner{{Keys: KeyRange{0, KeyCount - 1}, Worker: m.holders[0].id, Address: "a"}})
	value, _ := book.Encode(1, "")
	m.record = value
	book.MarkStored(book.RecordVersion())
	m.drive()
	return m
}

// choices are the names of what may happen next, in a fixed order.
func (m *model) choices() []string {
	var list []string
	waiting := false
	for index, one := range m.orders {
		if one.late {
			list = append(list, fmt.Sprintf("taken-late %d", index))
			continue
		}
		waiting = true
		list = append(list, fmt.Sprintf("answered %d", index))
		if m.bounds.losses > 0 {
			list = append(list, fmt.Sprintf("lost %d", index))
		}
		if m.bounds.lates > 0 && !one.order.Release {
			list = append(list, fmt.Sprintf("late %d", index))
		}
	}
	for index, one := range m.leaders {
		if one.dead {
			continue
		}
		if one.write != nil {
			list = append(list, fmt.Sprintf("written %d", index))
		}
		if m.mayMove(one) {
			list = append(list, fmt.Sprintf("move %d", index))
		}
		if !one.cutOff && m.bounds.leaders > 0 {
			list = append(list, fmt.Sprintf("cut-off %d", index))
		}
	}
	list = append(list, m.standbyChoices()...)
	for index, one := range m.holders {
		if one.cut || m.bounds.cuts > 0 {
			list = append(list, fmt.Sprintf("cut %d", index))
		}
	}
	list = append(list, m.lifeChoices()...)
	if !m.now.Before(m.lease) && m.bounds.leaders > 0 {
		switch {
		case m.bounds.asks == 0:
			list = append(list, "elect 0")
		case len(m.orders) == 0:
			list = append(list, "elect-after-asking 0")
		}
	}
	if !waiting && m.bounds.ticks > 0 {
		list = append(list, "tick 0")
	}
	return list
}

func (m *model) mayMove(one *modelLeader) bool {
	span := one.book.spans[0]
	return m.bounds.moves > 0 && !m.now.After(one.authority) && one.write == nil && !span.busy && span.planned == nil
}

// take makes a choice.
func (m *model) take(choice string) {
	var verb string
	var index int
	_, _ = fmt.Sscanf(choice, "%s %d", &verb, &index)
	switch verb {
	case "answered":
		m.answer(index, true)
	case "lost":
		m.bounds.losses--
		m.answer(index, false)
	case "late":
		m.bounds.lates--
		one := m.orders[index]
		one.late, one.until, one.cut = true, m.now.Add(modelConfig.MaxOrderDelay), m.holder(one.order.Target.ID).cut
		m.tell(one, Reply{Outcome: OutcomeUnanswered})
	case "taken-late":
		one := m.orders[index]
		m.orders = slices.Delete(m.orders, index, index+1)
		m.deliver(one.order, one.cut || m.holder(one.order.Target.ID).untold, false)
	case "written":
		m.written(m.leaders[index])
	case "move":
		m.bounds.moves--
		m.move(m.leaders[index])
	case "cut-off":
		m.leaders[index].cutOff = true
	case "cut":
		m.bounds.cuts--
		m.cut(m.holders[index])
	case "restart":
		m.bounds.restarts--
		m.restart(m.holders[index])
	case "restart-heard":
		m.hearRestart(index/modelWorkers, index%modelWorkers)
	case "tell-standby":
		m.bounds.tellings--
		m.tellStandby(m.leaders[index])
	case "standby-renews":
		m.bounds.renewals--
		m.renewByStandby()
	case "elect":
		m.bounds.leaders--
		m.elect(modelConfig.RenewalGrace)
	case "elect-after-asking":
		m.bounds.leaders--
		m.bounds.asks--
		m.stopAll()
		m.elect(0)
	case "tick":
		m.bounds.ticks--
		m.tellLives()
		m.now = m.now.Add(modelTick)
		m.orders = slices.DeleteFunc(m.orders, func(one *modelOrder) bool { return one.late && m.now.After(one.until) })
		m.renew()
	}
	m.drive()
	m.check()
}

// cut cuts a worker off, or ends that.
func (m *model) cut(holder *modelHolder) {
	holder.cut = !holder.cut
	for _, one := range m.orders {
		one.cut = one.cut || (one.late && one.order.Target.ID == holder.id)
	}
}

func (m *model) holder(id workers.ID) *modelHolder {
	index := slices.IndexFunc(m.holders, func(h *modelHolder) bool { return h.id == id })
	return m.holders[index]
}

// answer delivers an order, and its answer unless that is lost.
func (m *model) answer(index int, heard bool) {
	one := m.orders[index]
	m.orders = slices.Delete(m.orders, index, index+1)
	// Cut workers are cut off from the leaders: the standby may reach them still.
	reply := m.deliver(one.order, m.unaware(one), one.leader == fromStandby)
	if !heard && reply.Outcome != OutcomeUnreachable {
		reply = Reply{Outcome: OutcomeUnanswered}
	}
	m.tell(one, reply)
}

func (m *model) tell(one *modelOrder, reply Reply) {
	if one.leader == fromStandby {
		m.standby.pure.HandleOutcome(m.now, one.renewal, reply.Outcome)
		return
	}
	if from := m.leaders[one.leader]; !from.dead {
		from.book.HandleReply(m.now, one.order, reply)
	}
}

// deliver hands an order over. lateCut says that it is late, and the worker was cut
// off meanwhile; apart, that its sender reaches workers that leaders do not.
func (m *model) deliver(order Order, lateCut, apart bool) Reply {
	to := m.holder(order.Target.ID)
	if to.cut && !lateCut && !apart {
		return Reply{Outcome: OutcomeUnreachable}
	}
	to.untold = to.untold && lateCut
	if order.Release {
		to.seen = max(to.seen, order.Fence)
		to.until = m.now
		return Reply{Outcome: OutcomeDone}
	}
	if to.seen > order.Fence {
		return Reply{Outcome: OutcomeFenced}
	}
	if !lateCut && m.broken == "" && order.Fence <= to.before {
		m.broken = fmt.Sprintf("%s starts again and takes keys under fence %d, its life before had %d", to.id, order.Fence, to.before)
	}
	for _, other := range m.holders {
		if other != to && other.holds(m.now) && other.fence >= order.Fence && !lateCut {
			m.broken = fmt.Sprintf("%s takes keys under fence %d, %s holds them under %d", to.id, order.Fence, other.id, other.fence)
		}
	}
	to.seen, to.fence, to.until, to.lateCut = order.Fence, order.Fence, m.now.Add(to.length), lateCut
	return Reply{Outcome: OutcomeDone}
}

// written ends a write: it holds only if the leader still has the lease.
func (m *model) written(one *modelLeader) {
	if one.cutOff {
		return // it never arrives
	}
	write := one.write
	one.write = nil
	if one.term != m.leaders[len(m.leaders)-1].term || !m.now.Before(m.lease) {
		one.dead = true
		return
	}
	m.record = write.value
	one.book.MarkStored(write.change)
}

func (m *model) move(one *modelLeader) {
	for index, holder := range m.holders {
		if holder.id == one.book.spans[0].owner {
			to := m.holders[1-index]
			one.book.Move(KeyRange{0, KeyCount - 1}, to.id, "a")
			return
		}
	}
}

// elect makes the next leader, which outwaits renewals of the one before for a time.
func (m *model) elect(stale time.Duration) {
	next := &modelLeader{term: Term(len(m.leaders) + 1), authority: m.now.Add(modelLease)}
	next.book = NewLedger(modelConfig, next.term)
	if m.record != nil {
		until := m.now.Add(stale + modelConfig.MaxHold())
		if err := next.book.Load(m.now, m.record, until); err != nil {
			panic(err)
		}
	}
	m.lease = m.now.Add(modelLease)
	m.leaders = append(m.leaders, next)
	for index := range m.holders {
		m.hearRestart(len(m.leaders)-1, index)
	}
}

// renew renews the lease of the last leader, if it reaches the store.
func (m *model) renew() {
	last := m.leaders[len(m.leaders)-1]
	if !last.cutOff && !last.dead && m.now.Before(m.lease) {
		m.lease = m.now.Add(modelLease)
		last.authority = m.lease
	}
}

// drive is what the keeper does for each leader.
func (m *model) drive() {
	for index, one := range m.leaders {
		if one.dead || m.now.After(one.authority.Add(modelConfig.RenewalGrace)) {
			continue
		}
		renewOnly := m.now.After(one.authority)
		if !renewOnly && one.write == nil && one.book.RecordVersion() != one.book.StoredVersion() {
			value, err := one.book.Encode(one.term, "")
			if err != nil {
				panic(err)
			}
			one.write = &modelWrite{change: one.book.RecordVersion(), value: value}
		}
		for _, order := range one.book.Due(m.now, renewOnly) {
			born := one.lives[slices.Index(m.holders, m.holder(order.Target.ID))]
			m.orders = append(m.orders, &modelOrder{order: order, leader: index, born: born})
		}
	}
}

// check: no two workers hold the keys, but for a grant that was taken late by a
// worker that was cut off then, as in the worlds.
func (m *model) check() {
	holding := 0
	for _, one := range m.holders {
		if one.holds(m.now) && !one.lateCut {
			holding++
		}
	}
	if holding > 1 && m.broken == "" {
		m.broken = "two workers hold the keys"
	}
}
