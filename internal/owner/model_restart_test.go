package owner

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/workers"
)

// A worker may restart under the same ID. It then holds no keys and has seen no fences. Each leader
// is notified of the restart at some later time. Until the current leader has been, no process can
// inform the new incarnation of higher fences, so grants for the previous incarnation that the new
// one accepts meanwhile are not checked.

// restartChoices returns the possible restarts, and the leaders that may be notified of one.
func (m *model) restartChoices() []string {
	var list []string
	for index := range m.workers {
		if m.bounds.restarts > 0 {
			list = append(list, fmt.Sprintf("restart %d", index))
		}
		for leaderIndex, leader := range m.leaders {
			if !leader.dead && leader.startTimes[index] != m.workers[index].startTime {
				list = append(list, fmt.Sprintf("restart-heard %d", leaderIndex*modelWorkerCount+index))
			}
		}
	}
	return list
}

func (m *model) restart(worker *modelWorker) {
	worker.startTime++
	worker.previousFence = max(worker.previousFence, worker.fence)
	worker.fence, worker.highestFence, worker.until, worker.unpreventable = 0, 0, m.now, false
	worker.unaware = true
}

func (m *model) observeRestart(leaderIndex, workerIndex int) {
	leader, worker := m.leaders[leaderIndex], m.workers[workerIndex]
	leader.startTimes[workerIndex] = worker.startTime
	leader.ledger.ObserveIncarnation(m.now, workers.Incarnation{ID: worker.id, StartTime: worker.startTime}, "a")
}

// propagateFences marks the incarnations that have been informed of fences: the last leader was
// notified of them at least one tick ago and can reach them.
func (m *model) propagateFences() {
	leader := m.leaders[len(m.leaders)-1]
	for index, worker := range m.workers {
		if leader.startTimes[index] == worker.startTime && !worker.partitioned && !leader.dead && !m.now.After(leader.authority) {
			worker.unaware = false
		}
	}
}

// senderOutdated reports whether the sender of an order has not been notified of the incarnation
// that receives it, or has lost its authority while the order was on its way. A worker that had
// seen the next leader's fences would reject such an order.
func (m *model) senderOutdated(sent *modelOrder) bool {
	worker := m.worker(sent.order.Target.ID)
	if worker.previousFence == 0 {
		return false
	}
	ended := sent.leader != fromStandby && !m.now.Before(m.leaders[sent.leader].authority)
	return ended || sent.startTime != worker.startTime
}
