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

// cut is the direction in which messages between the leader's region and the other one are lost.
type cut int

const (
	notCut cut = iota
	cutBoth
	// cutReplies delivers orders, but none of the replies to them.
	cutReplies
)

// orderTimeout is how long an order waits for a reply in this test.
const orderTimeout = 600 * time.Millisecond

// holdingWorkers simulates workers that hold the keys they are granted. Those in the other region can
// be cut off.
type holdingWorkers struct {
	mu      sync.Mutex
	holders map[workers.ID]*ownership.Holder
	far     map[workers.ID]bool
	cut     cut
}

func (h *holdingWorkers) setCut(cut cut) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

// lookUp returns a worker if orders reach it, and whether its replies are lost.
func (h *holdingWorkers) lookUp(id workers.ID) (to *ownership.Holder, lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.far[id] && h.cut == cutBoth {
		return nil, true
	}
	return h.holders[id], h.far[id] && h.cut == cutReplies
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
	for _, one := range h.holders {
		if one.Holds(ownership.Now(), key) {
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
		settled = 6 * time.Second
		backIn  = 2 * time.Second
		look    = 20 * time.Millisecond
		// keyStep is the distance between the keys that are checked.
		keyStep = 4096
	)
	for name, test := range map[string]struct {
		cut   cut
		lasts time.Duration
	}{
		"both ways, 2 s":     {cutBoth, 2 * time.Second},
		"both ways, 10 s":    {cutBoth, 10 * time.Second},
		"both ways, 60 s":    {cutBoth, 60 * time.Second},
		"replies only, 2 s":  {cutReplies, 2 * time.Second},
		"replies only, 10 s": {cutReplies, 10 * time.Second},
		"replies only, 60 s": {cutReplies, 60 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runBench(t, func(b *testBench) {
				orders := &holdingWorkers{holders: map[workers.ID]*ownership.Holder{}, far: map[workers.ID]bool{}}
				var list []workers.Worker
				for _, one := range []workers.Worker{{ID: "w1", Zone: "a1"}, {ID: "w2", Zone: "a1"}, {ID: "w3", Zone: "b1"}} {
					one.Service, one.Address, one.Slots, one.State = "s", string(one.ID), 2, workers.StateReady
					list = append(list, one)
					orders.holders[one.ID], orders.far[one.ID] = ownership.NewHolder(), one.Zone == "b1"
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
				b.lead(settled+test.lasts+backIn+time.Second, func() {
					time.Sleep(settled)
					least, _ := holders()
					assert.Check(t, least == 1, "all keys must be held before the cut")
					orders.setCut(test.cut)
					for began := time.Now(); time.Since(began) < test.lasts; time.Sleep(look) {
						_, most := holders()
						assert.Check(t, most <= 1, "%s after the cut began", time.Since(began))
					}
					least, _ = holders()
					assert.Check(t, least == 1, "all keys must be held at the end of the cut")
					orders.setCut(notCut)
					for healed := time.Now(); time.Since(healed) < backIn; time.Sleep(look) {
						_, most := holders()
						assert.Check(t, most <= 1, "%s after the cut ended", time.Since(healed))
					}
					least, _ = holders()
					assert.Check(t, least == 1, "all keys must be held after the cut ends")
				})
			})
		})
	}
}
