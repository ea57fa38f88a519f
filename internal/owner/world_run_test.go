package owner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// disturb is a kind of trouble that a second may bring.
type disturb func(w *world)

func cutWorker(w *world) {
	worker := w.workers[w.random.IntN(len(w.workers))]
	if worker.cut || worker.ended {
		return
	}
	worker.cut = true
	w.after(w.between(time.Second, 10*time.Second), func() { worker.cut = false })
}

func endWorker(w *world) {
	index := w.random.IntN(len(w.workers))
	if len(w.workers) > 20 {
		return
	}
	w.workers[index].ended = true
	w.workers = append(w.workers, &simWorker{id: workers.ID(fmt.Sprintf("w%d", len(w.workers)))})
}

func killLeader(w *world) {
	for _, one := range w.leaders {
		if one.term == w.term {
			one.dead = true
		}
	}
}

func freezeLeader(w *world) {
	for _, one := range w.leaders {
		if one.term == w.term {
			one.frozen = w.now.Add(w.between(time.Second, 5*time.Second))
		}
	}
}

// cutLeader takes the leader's lease away while it goes on reaching workers.
func cutLeader(w *world) { w.lease = w.now }

func lateOrders(w *world) {
	w.late = true
	w.after(5*time.Second, func() { w.late = false })
}

func lostAnswers(w *world) {
	w.lost = true
	w.after(5*time.Second, func() { w.lost = false })
}

// play runs worlds of many seeds with some kinds of trouble.
func play(t *testing.T, seeds *int, kinds ...disturb) {
	t.Helper()
	t.Parallel()
	for seed := range *seeds {
		w := newWorld(uint64(seed))
		broken := w.run(50, func(second int) {
			w.calm = second >= 30
			if second > 2 && second < 30 && w.chance(0.3) {
				kinds[w.random.IntN(len(kinds))](w)
			}
		})
		assert.Equal(t, broken, "", "seed %d", seed)
		assert.Equal(t, w.served(), worldKeys, "seed %d: all keys are held again at the end", seed)
		assert.Assert(t, w.moves > 0)
	}
}

// worldSeeds is how many worlds of each kind are played; more of them by hand,
// as with: go test ./internal/owner -run OneOwner -worlds 2000
var worldSeeds = flag.Int("worlds", 40, "how many worlds of each kind are played")

func TestOneOwnerWhileWorkersAreCut(t *testing.T) { play(t, worldSeeds, cutWorker) }

func TestOneOwnerWhileWorkersEnd(t *testing.T) { play(t, worldSeeds, endWorker) }

func TestOneOwnerWhileLeadersAreKilled(t *testing.T) { play(t, worldSeeds, killLeader) }

func TestOneOwnerWhileLeadersFreeze(t *testing.T) { play(t, worldSeeds, freezeLeader) }

func TestOneOwnerWhileLeadersLoseTheStore(t *testing.T) { play(t, worldSeeds, cutLeader) }

func TestOneOwnerWhileAnswersAreLost(t *testing.T) { play(t, worldSeeds, lostAnswers) }

func TestOneOwnerWhileOrdersAreTakenLate(t *testing.T) { play(t, worldSeeds, lateOrders) }

func TestOneOwnerInAllTroublesButLateOrders(t *testing.T) {
	play(t, worldSeeds, cutWorker, endWorker, killLeader, freezeLeader, cutLeader, lostAnswers)
}

func TestOneOwnerInAllTroubles(t *testing.T) {
	play(t, worldSeeds, cutWorker, endWorker, killLeader, freezeLeader, cutLeader, lostAnswers, lateOrders)
}
