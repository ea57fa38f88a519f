package owner

import (
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/workers"
)

// modelWrite is a record that is being written to the store.
type modelWrite struct {
	recordVersion uint64
	value         []byte
}

type modelLeader struct {
	ledger    *Ledger
	term      Term
	authority time.Time
	// storeUnreachable means that the leader can't reach the store.
	storeUnreachable, dead bool
	write                  *modelWrite
	// inheritedUntil is when all holds that earlier leaders granted have ended.
	inheritedUntil time.Time
	// startTimes identify the workers' incarnations that the leader was notified of.
	startTimes [modelWorkerCount]workers.StartTime
}

func (m *model) mayMove(leader *modelLeader) bool {
	span := leader.ledger.spans[0]
	return m.bounds.moves > 0 && !m.now.After(leader.authority) && leader.write == nil && !span.inFlight && span.pending == nil
}

// written ends a write, which takes effect only if the leader still has the lease.
func (m *model) written(leader *modelLeader) {
	if leader.storeUnreachable {
		return // the write never reaches the store
	}
	write := leader.write
	leader.write = nil
	if leader.term != m.leaders[len(m.leaders)-1].term || !m.now.Before(m.lease) {
		leader.dead = true
		return
	}
	m.record = write.value
	leader.ledger.MarkStored(write.recordVersion)
}

func (m *model) move(leader *modelLeader) {
	for index, worker := range m.workers {
		if worker.id == leader.ledger.spans[0].owner {
			to := m.workers[1-index]
			leader.ledger.Move(KeyRange{0, KeyCount - 1}, to.id, "a")
			return
		}
	}
}

// elect starts the next leader, which waits renewalGrace longer for its predecessor's holds to end.
func (m *model) elect(renewalGrace time.Duration) {
	next := &modelLeader{term: Term(len(m.leaders) + 1), authority: m.now.Add(modelLease)}
	next.ledger = NewLedger(modelConfig, next.term)
	if m.record != nil {
		until := m.now.Add(renewalGrace + modelConfig.MaxHold())
		if err := next.ledger.Load(m.now, m.record, until); err != nil {
			panic(err)
		}
		next.inheritedUntil = until
	}
	m.lease = m.now.Add(modelLease)
	m.leaders = append(m.leaders, next)
	m.limitEarlierHolds()
	for index := range m.workers {
		m.observeRestart(len(m.leaders)-1, index)
	}
}

// sendDueOrders does what the keeper does for each leader.
func (m *model) sendDueOrders() {
	for index, leader := range m.leaders {
		if leader.dead || m.now.After(leader.authority.Add(modelConfig.RenewalGrace)) {
			continue
		}
		renewOnly := m.now.After(leader.authority)
		if !renewOnly && leader.write == nil && leader.ledger.RecordVersion() != leader.ledger.StoredVersion() {
			value, err := leader.ledger.Encode(leader.term, "")
			if err != nil {
				panic(err)
			}
			leader.write = &modelWrite{recordVersion: leader.ledger.RecordVersion(), value: value}
		}
		for _, order := range leader.ledger.Due(m.now, renewOnly) {
			startTime := leader.startTimes[slices.Index(m.workers, m.worker(order.Target.ID))]
			m.orders = append(m.orders, &modelOrder{order: order, leader: index, startTime: startTime})
		}
	}
}
