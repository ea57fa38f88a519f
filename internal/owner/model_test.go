package owner

import (
	"fmt"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// The model drives real ledgers through every order of events within bounds. It has two workers, one
// key range, a leader and its successor, and a standby that renews the holds it knows whenever it
// may. Orders are answered, remain unanswered or are accepted late; a worker is partitioned and
// returns; the store is slow, or a leader can no longer reach it. Time passes in ticks.

const (
	modelTick = time.Second
	// modelWorkerCount is the number of workers. The clock of the first one runs slow.
	modelWorkerCount = 2
)

// modelConfig uses times of a few ticks.
var modelConfig = Config{
	Hold:          2 * modelTick,
	RenewInterval: modelTick,
	ClockSlack:    0.5,
	MaxOrderDelay: 3 * modelTick,
	RenewalGrace:  2 * modelTick,
	RetryDelay:    modelTick,
}

const modelLease = 2 * modelTick

// modelBounds limit the number of events of each kind on a path.
type modelBounds struct {
	ticks, moves, delays, lostReplies, partitions, leaders int
	// restarts are restarts of workers that keep their ID.
	restarts int
	// holdReports are reports of holds to the standby, renewals its renewals, and revocations
	// successors that ask it to stop and therefore need not wait for its delegation to end.
	holdReports, renewals, revocations int
	// grantAges are replies to stop requests that include when each worker was last sent a grant.
	grantAges int
	// mute means that the first owner answers no orders until an event lets it: it is reached, but carries out
	// only delayed orders. Only this worker is partitioned then.
	mute bool
	// leaderCuts are times at which the first owner is cut off from the leaders, while other processes reach
	// it and report its responses.
	leaderCuts int
	// delaysSuspected means that the first leader suspects delays from the beginning.
	delaysSuspected bool
}

// modelWorker is the state of a worker.
type modelWorker struct {
	id workers.ID
	// holdDuration is how long a hold lasts by the worker's clock, which may run slow.
	holdDuration time.Duration
	fence        Fence
	until        time.Time
	highestFence Fence
	partitioned  bool
	// mute workers answer no orders, and leaderCut ones can't be reached by leaders.
	mute, leaderCut bool
	// unpreventable holds aren't checked: during the grant's delivery no leader could have informed
	// the worker of a higher fence, because it was partitioned or had restarted unnoticed.
	unpreventable bool
	// startTime identifies the incarnation of the worker; zero if the worker does not report it.
	// previousFence is the highest fence of its earlier incarnations.
	startTime     workers.StartTime
	previousFence Fence
	// unaware means that no leader can have informed this incarnation of a higher fence yet.
	unaware bool
	// lastGrantAt is when a grant to it was last in flight.
	lastGrantAt time.Time
}

func (w *modelWorker) holds(now time.Time) bool { return now.Before(w.until) }

// modelOrder is an order that has been sent.
type modelOrder struct {
	order   Order
	renewal Renewal
	// leader is the index of the leader that sent it, or fromStandby.
	leader int
	// delayed: the sender awaits no reply any more; the worker may still accept the order by until.
	delayed bool
	until   time.Time
	// partitioned means that the worker was partitioned while the order was delayed.
	partitioned bool
	// startTime identifies the incarnation of the worker that the sender knew.
	startTime workers.StartTime
}

// model is a state that is reached by a path of choices.
type model struct {
	bounds    modelBounds
	now       time.Time
	workers   []*modelWorker
	leaders   []*modelLeader
	standby   *modelStandby
	orders    []*modelOrder
	record    []byte
	lease     time.Time
	violation string
}

func newModel(bounds modelBounds) *model {
	m := &model{bounds: bounds, now: time.Unix(1000, 0), standby: &modelStandby{standby: NewStandby(modelConfig)}}
	for index := range modelWorkerCount {
		length := modelConfig.Hold
		if index == 0 {
			length = time.Duration(float64(length) * (1 + modelConfig.ClockSlack))
		}
		worker := &modelWorker{id: workers.ID(fmt.Sprintf("w%d", index)), holdDuration: length}
		if bounds.restarts > 0 {
			worker.startTime = 1
		}
		m.workers = append(m.workers, worker)
	}
	m.elect(0)
	ledger := m.leaders[0].ledger
	if bounds.delaysSuspected {
		ledger.delaySuspectedAt = m.now
	}
	m.workers[0].mute = bounds.mute
	ledger.Assign(m.now, []Owner{{Keys: KeyRange{0, KeyCount - 1}, Worker: m.workers[0].id, Address: "a"}})
	value, _ := ledger.Encode(1, "")
	m.record = value
	ledger.MarkStored(ledger.RecordVersion())
	m.sendDueOrders()
	return m
}

// choices returns the names of the events that may happen next, in a fixed order.
func (m *model) choices() []string {
	var list []string
	waiting := false
	for index, sent := range m.orders {
		if sent.delayed {
			list = append(list, fmt.Sprintf("taken-late %d", index))
			continue
		}
		waiting = true
		list = append(list, fmt.Sprintf("answered %d", index))
		if m.bounds.lostReplies > 0 {
			list = append(list, fmt.Sprintf("lost %d", index))
		}
		if m.bounds.delays > 0 && !sent.order.Release && !m.worker(sent.order.Target.ID).leaderCut {
			list = append(list, fmt.Sprintf("late %d", index))
		}
	}
	for index, leader := range m.leaders {
		if leader.dead {
			continue
		}
		if leader.write != nil {
			list = append(list, fmt.Sprintf("written %d", index))
		}
		if m.mayMove(leader) {
			list = append(list, fmt.Sprintf("move %d", index))
		}
		if !leader.storeUnreachable && m.bounds.leaders > 0 {
			list = append(list, fmt.Sprintf("cut-off %d", index))
		}
	}
	list = append(list, m.standbyChoices()...)
	for index, worker := range m.workers {
		if worker.partitioned || m.bounds.partitions > 0 && (index == 0 || !m.bounds.mute) {
			list = append(list, fmt.Sprintf("cut %d", index))
		}
	}
	list = append(list, m.muteWorkerChoices()...)
	list = append(list, m.restartChoices()...)
	if !m.now.Before(m.lease) && m.bounds.leaders > 0 {
		switch {
		case m.bounds.revocations == 0:
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

// apply makes the event of a choice happen.
func (m *model) apply(choice string) {
	var verb string
	var index int
	_, _ = fmt.Sscanf(choice, "%s %d", &verb, &index)
	switch verb {
	case "answered":
		m.answer(index, true)
	case "lost":
		m.bounds.lostReplies--
		m.answer(index, false)
	case "late":
		m.bounds.delays--
		sent := m.orders[index]
		sent.delayed, sent.until, sent.partitioned = true, m.now.Add(modelConfig.MaxOrderDelay), m.worker(sent.order.Target.ID).partitioned
		m.handleReply(sent, Reply{Outcome: OutcomeUnanswered})
	case "taken-late":
		sent := m.orders[index]
		m.orders = slices.Delete(m.orders, index, index+1)
		m.deliver(sent.order, sent.partitioned || m.worker(sent.order.Target.ID).unaware, true)
	case "written":
		m.written(m.leaders[index])
	case "move":
		m.bounds.moves--
		m.move(m.leaders[index])
	case "cut-off":
		m.leaders[index].storeUnreachable = true
	case "cut":
		m.bounds.partitions--
		m.togglePartition(m.workers[index])
	case "unmute":
		m.workers[index].mute = false
	case "leader-cut":
		m.bounds.leaderCuts--
		m.workers[index].leaderCut = !m.workers[index].leaderCut
	case "restart":
		m.bounds.restarts--
		m.restart(m.workers[index])
	case "restart-heard":
		m.observeRestart(index/modelWorkerCount, index%modelWorkerCount)
	case "tell-standby":
		m.bounds.holdReports--
		m.sendHoldsToStandby(m.leaders[index])
	case "standby-renews":
		m.bounds.renewals--
		m.renewByStandby()
	case "elect":
		m.bounds.leaders--
		m.elect(modelConfig.RenewalGrace)
	case "elect-after-asking":
		m.bounds.leaders--
		m.bounds.revocations--
		m.revokeAll()
		m.elect(0)
		if m.bounds.grantAges > 0 {
			m.bounds.grantAges--
			m.limitInheritedHolds()
		}
	case "tick":
		m.bounds.ticks--
		m.propagateFences()
		m.now = m.now.Add(modelTick)
		m.orders = slices.DeleteFunc(m.orders, func(sent *modelOrder) bool { return sent.delayed && m.now.After(sent.until) })
		m.renew()
		m.reportResponses()
	}
	m.sendDueOrders()
	m.check()
}

// togglePartition starts or ends a worker's partition from the leaders.
func (m *model) togglePartition(worker *modelWorker) {
	worker.partitioned = !worker.partitioned
	for _, sent := range m.orders {
		sent.partitioned = sent.partitioned || (sent.delayed && sent.order.Target.ID == worker.id)
	}
}

func (m *model) worker(id workers.ID) *modelWorker {
	index := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.id == id })
	return m.workers[index]
}

// answer delivers an order, and its reply unless that is lost.
func (m *model) answer(index int, received bool) {
	sent := m.orders[index]
	m.orders = slices.Delete(m.orders, index, index+1)
	if !sent.order.Release {
		m.worker(sent.order.Target.ID).lastGrantAt = m.now
	}
	if m.worker(sent.order.Target.ID).mute {
		m.handleReply(sent, Reply{Outcome: OutcomeUnanswered})
		return
	}
	// Partitions separate workers from leaders; the standby may still reach them.
	reply := m.deliver(sent.order, m.senderOutdated(sent), sent.leader == fromStandby)
	if !received && reply.Outcome != OutcomeUnreachable {
		reply = Reply{Outcome: OutcomeUnanswered}
	}
	m.handleReply(sent, reply)
}

func (m *model) handleReply(sent *modelOrder, reply Reply) {
	if sent.leader == fromStandby {
		m.standby.standby.HandleOutcome(m.now, sent.renewal, reply.Outcome)
		return
	}
	if from := m.leaders[sent.leader]; !from.dead {
		from.ledger.HandleReply(m.now, sent.order, reply)
	}
}

// deliver carries out an order. unpreventable: no leader could have told its worker of a higher fence
// in time, so violations don't count; bypassPartition: the sender reaches workers that leaders can't.
func (m *model) deliver(order Order, unpreventable, bypassPartition bool) Reply {
	to := m.worker(order.Target.ID)
	if (to.partitioned && !unpreventable || to.leaderCut) && !bypassPartition {
		return Reply{Outcome: OutcomeUnreachable}
	}
	to.unaware = to.unaware && unpreventable
	if order.Release {
		to.highestFence = max(to.highestFence, order.Fence)
		to.until = m.now
		return Reply{Outcome: OutcomeDone}
	}
	if to.highestFence > order.Fence {
		return Reply{Outcome: OutcomeFenced}
	}
	if !unpreventable && m.violation == "" && order.Fence <= to.previousFence {
		m.violation = fmt.Sprintf("%s restarts and accepts keys under fence %d, its previous incarnation had fence %d", to.id, order.Fence, to.previousFence)
	}
	for _, other := range m.workers {
		if other != to && other.holds(m.now) && other.fence >= order.Fence && !unpreventable {
			m.violation = fmt.Sprintf("%s accepts keys under fence %d, %s holds them under fence %d", to.id, order.Fence, other.id, other.fence)
		}
	}
	to.highestFence, to.fence, to.until, to.unpreventable = order.Fence, order.Fence, m.now.Add(to.holdDuration), unpreventable
	return Reply{Outcome: OutcomeDone}
}

// check verifies that no two workers hold the keys, bar unpreventable holds as in the simulation.
func (m *model) check() {
	holding := 0
	for _, worker := range m.workers {
		if worker.holds(m.now) && !worker.unpreventable {
			holding++
		}
	}
	if holding > 1 && m.violation == "" {
		m.violation = "two workers hold the keys"
	}
}
