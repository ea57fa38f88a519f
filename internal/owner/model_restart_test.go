package owner

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/workers"
)

// A worker may start again under its ID: it holds nothing and has seen no fence. Leaders and the
// standby hear of it later, each on its own. Until the one that leads has, nobody can tell the new
// life of higher fences, and what it takes meanwhile of orders to the life before is passed over.

// lifeChoices are restarts, and who hears of them.
func (m *model) restartChoices() []string {
	var list []string
	for index := range m.workers {
		if m.bounds.restarts > 0 {
			list = append(list, fmt.Sprintf("restart %d", index))
		}
		for leader, one := range m.leaders {
			if !one.dead && one.incarnations[index] != m.workers[index].incarnation {
				list = append(list, fmt.Sprintf("restart-heard %d", leader*modelWorkerCount+index))
			}
		}
	}
	return list
}

func (m *model) restart(holder *modelWorker) {
	holder.incarnation++
	holder.previousFence = max(holder.previousFence, holder.fence)
	holder.fence, holder.highestFence, holder.until, holder.delayedWhilePartitioned = 0, 0, m.now, false
	holder.unaware = true
}

func (m *model) observeRestart(leader, index int) {
	one, holder := m.leaders[leader], m.workers[index]
	one.incarnations[index] = holder.incarnation
	one.ledger.ObserveIncarnation(m.now, workers.Life{ID: holder.id, Born: holder.incarnation}, "a")
}

// tellLives ends the time in which a new life is told of fences: whoever leads has heard of
// it a tick ago, and reaches it.
func (m *model) propagateFences() {
	leader := m.leaders[len(m.leaders)-1]
	for index, one := range m.workers {
		if leader.incarnations[index] == one.incarnation && !one.partitioned && !leader.dead && !m.now.After(leader.authority) {
			one.unaware = false
		}
	}
}

// unaware reports whether the sender of an order has not heard of the life that gets it, or
// its authority has ended while the order was on its way: a worker that has seen the fences of the
// leader after it would refuse the order.
func (m *model) senderOutdated(of *modelOrder) bool {
	holder := m.worker(of.order.Target.ID)
	if holder.previousFence == 0 {
		return false
	}
	ended := of.leader != fromStandby && !m.now.Before(m.leaders[of.leader].authority)
	return ended || of.incarnation != holder.incarnation
}
