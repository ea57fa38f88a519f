package keeper

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/owner"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
	"github.com/shalefork/shalefork/ownership"
)

// linkFault states which messages between the leader's region and the other one are lost.
type linkFault int

const (
	noFault linkFault = iota
	blocksTraffic
	// blocksReplies delivers orders, but none of the replies to them.
	blocksReplies
)

// orderTimeout is how long an order waits for a reply in this test.
const orderTimeout = 600 * time.Millisecond

// holdingWorkers simulates workers that hold the keys they are granted. fault applies to those in the
// other region.
type holdingWorkers struct {
	mu      sync.Mutex
	holders map[workers.ID]*ownership.Holder
	far     map[workers.ID]bool
	fault   linkFault
}

func (h *holdingWorkers) setFault(fault linkFault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fault = fault
}

// lookUp returns a worker if orders reach it, and whether its replies are lost.
func (h *holdingWorkers) lookUp(id workers.ID) (to *ownership.Holder, lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.far[id] && h.fault == blocksTraffic {
		return nil, true
	}
	return h.holders[id], h.far[id] && h.fault == blocksReplies
}

func (h *holdingWorkers) reply(to *ownership.Holder, lost bool) owner.Reply {
	if lost || to == nil {
		time.Sleep(orderTimeout)
		return owner.Reply{Outcome: owner.OutcomeUnanswered}
	}
	return owner.Reply{Outcome: owner.OutcomeDone}
}

func (h *holdingWorkers) Grant(_ context.Context, to owner.Target, grant owner.Grant) owner.Reply {
	holder, lost := h.lookUp(to.ID)
	if holder != nil {
		outcome := holder.Grant(ownership.Now(), ownership.Grant{
			Keys: ownership.Keys{From: grant.Keys.From, To: grant.Keys.To}, Fence: int64(grant.Fence), Hold: grant.Hold,
		})
		if outcome == ownership.Fenced && !lost {
			return owner.Reply{Outcome: owner.OutcomeFenced}
		}
	}
	return h.reply(holder, lost)
}

func (h *holdingWorkers) Release(ctx context.Context, to owner.Target, keys owner.KeyRange, fence owner.Fence) owner.Reply {
	holder, lost := h.lookUp(to.ID)
	if holder != nil {
		_ = holder.Release(ctx, ownership.Keys{From: keys.From, To: keys.To}, int64(fence))
	}
	return h.reply(holder, lost)
}

// count returns how many workers hold a key.
func (h *holdingWorkers) count(key int) int {
	count := 0
	for _, holder := range h.holders {
		if holder.Holds(ownership.Now(), key) {
			count++
		}
	}
	return count
}

// Workers in a region that the leader can't reach keep their keys until their holds expire; then the
// keys go to reachable workers. No key may ever have two holders, and each has one within 2 s after
// the region is reachable again.
func TestRegionCutOffFromLeader(t *testing.T) {
	const (
		settlingTime = 6 * time.Second
		recoveryTime = 2 * time.Second
		pollInterval = 20 * time.Millisecond
		// keyStep is the distance between the keys that are checked.
		keyStep = 4096
	)
	for name, test := range map[string]struct {
		fault    linkFault
		duration time.Duration
	}{
		"both ways, 2 s":     {blocksTraffic, 2 * time.Second},
		"both ways, 10 s":    {blocksTraffic, 10 * time.Second},
		"both ways, 60 s":    {blocksTraffic, 60 * time.Second},
		"replies only, 2 s":  {blocksReplies, 2 * time.Second},
		"replies only, 10 s": {blocksReplies, 10 * time.Second},
		"replies only, 60 s": {blocksReplies, 60 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				orders := &holdingWorkers{holders: map[workers.ID]*ownership.Holder{}, far: map[workers.ID]bool{}}
				var list []workers.Worker
				for _, worker := range []workers.Worker{{ID: "w1", Zone: "a1"}, {ID: "w2", Zone: "a1"}, {ID: "w3", Zone: "b1"}} {
					worker.Service, worker.Address, worker.Slots, worker.State = "s", string(worker.ID), 2, workers.StateReady
					list = append(list, worker)
					orders.holders[worker.ID], orders.far[worker.ID] = ownership.NewHolder(), worker.Zone == "b1"
				}
				b.keeper.Orders, b.keeper.Zone = orders, "a1"
				b.keeper.Regions = topology.New(map[topology.Zone]topology.Region{"a1": "a", "b1": "b"})
				b.keeper.Workers.Replace(list, nil, time.Now())
				holders := func() (least, most int) {
					least = len(list)
					for key := 0; key < owner.KeyCount; key += keyStep {
						count := orders.count(key)
						least, most = min(least, count), max(most, count)
					}
					return least, most
				}
				b.lead(settlingTime+test.duration+recoveryTime+time.Second, func() {
					time.Sleep(settlingTime)
					least, _ := holders()
					assert.Check(t, least == 1, "all keys must be held before the partition")
					orders.setFault(test.fault)
					for began := time.Now(); time.Since(began) < test.duration; time.Sleep(pollInterval) {
						_, most := holders()
						assert.Check(t, most <= 1, "%s after the partition began", time.Since(began))
					}
					least, _ = holders()
					assert.Check(t, least == 1, "all keys must be held at the end of the partition")
					orders.setFault(noFault)
					for recoveredAt := time.Now(); time.Since(recoveredAt) < recoveryTime; time.Sleep(pollInterval) {
						_, most := holders()
						assert.Check(t, most <= 1, "%s after the partition ended", time.Since(recoveredAt))
					}
					least, _ = holders()
					assert.Check(t, least == 1, "all keys must be held after the partition ends")
				})
			})
		})
	}
}
