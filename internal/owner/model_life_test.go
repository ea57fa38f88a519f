package owner

import (
	"fmt"

	"github.com/shalefork/shalefork/internal/workers"
)

// A worker may start again under its ID: it holds nothing and has seen no fence. Leaders and the
// standby hear of it later, each on its own. Until the one that leads has, nobody can tell the new
// life of higher fences, and what it takes meanwhile of orders to the life before is passed over.

// lifeChoices are restarts, and who hears of them.
func (m *model) lifeChoices() []string {
	var list []string
	for index := range m.holders {
		if m.bounds.restarts > 0 {
			list = append(list, fmt.Sprintf("restart %d", index))
		}
		for leader, one := range m.leaders {
			if !one.dead && one.lives[index] != m.holders[index].born {
				list = append(list, fmt.Sprintf("restart-heard %d", leader*modelWorkers+index))
			}
		}
	}
	return list
}

func (m *model) restart(holder *modelHolder) {
	holder.born++
	holder.before = max(holder.before, holder.fence)
	holder.fence, holder.seen, holder.until, holder.lateCut = 0, 0, m.now, false
	holder.untold = true
}

func (m *model) hearRestart(leader, index int) {
	one, holder := m.leaders[leader], m.holders[index]
	one.lives[index] = holder.born
	one.book.ObserveIncarnation(m.now, workers.Incarnation{ID: holder.id, StartTime: holder.born}, "a")
}

// tellLives ends the time in which a new life is told of fences: whoever leads has heard of
// it a tick ago, and reaches it.
func (m *model) tellLives() {
	leader := m.leaders[len(m.leaders)-1]
	for index, one := range m.holders {
		if leader.lives[index] == one.born && !one.cut && !leader.dead && !m.now.After(leader.authority) {
			one.untold = false
		}
	}
}

// unaware reports whether the sender of an order has not heard of the life that gets it, or
// its authority has ended while the order was on its way: a worker that has seen the fences of the
// leader after it would refuse the order.
func (m *model) unaware(of *modelOrder) bool {
	holder := m.holder(of.order.Target.ID)
	if holder.before == 0 {
		return false
	}
	ended := of.leader != fromStandby && !m.now.Before(m.leaders[of.leader].authority)
	return ended || of.born != holder.born
}
