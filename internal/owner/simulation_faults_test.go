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
type fault func(w *simulation)

func partitionWorker(w *simulation) {
	worker := w.workers[w.random.IntN(len(w.workers))]
	if worker.partitioned || worker.ended {
		return
	}
	worker.partitioned = true
	w.after(w.between(time.Second, 10*time.Second), func() { worker.partitioned = false })
}

func replaceWorker(w *simulation) {
	index := w.random.IntN(len(w.workers))
	if len(w.workers) > 20 {
		return
	}
	w.workers[index].ended = true
	w.workers = append(w.workers, &simWorker{id: workers.ID(fmt.Sprintf("w%d", len(w.workers)))})
}

func crashLeader(w *simulation) {
	for _, one := range w.leaders {
		if one.term == w.term {
			one.dead = true
		}
	}
}

func freezeLeader(w *simulation) {
	for _, one := range w.leaders {
		if one.term == w.term {
			one.frozen = w.now.Add(w.between(time.Second, 5*time.Second))
		}
	}
}

// expireLease takes the leader's lease away while it goes on reaching workers.
func expireLease(w *simulation) { w.lease = w.now }

func delayOrders(w *simulation) {
	w.delayOrders = true
	w.after(5*time.Second, func() { w.delayOrders = false })
}

func loseReplies(w *simulation) {
	w.loseReplies = true
	w.after(5*time.Second, func() { w.loseReplies = false })
}

// play runs worlds of many seeds with some kinds of trouble.
func runSimulations(t *testing.T, seeds *int, kinds ...fault) {
	t.Helper()
	t.Parallel()
	for seed := range *seeds {
		w := newSimulation(uint64(seed))
		broken := w.run(50, func(second int) {
			w.noMoves = second >= 30
			if second > 2 && second < 30 && w.chance(0.3) {
				kinds[w.random.IntN(len(kinds))](w)
			}
		})
		assert.Equal(t, broken, "", "seed %d", seed)
		assert.Equal(t, w.servedSegments(), segmentCount, "seed %d: all keys are held again at the end", seed)
		assert.Assert(t, w.moves > 0)
	}
}

// simulationSeeds is how many worlds of each kind are played; more of them by hand,
// as with: go test ./internal/owner -run OneOwner -worlds 2000
var simulationSeeds = flag.Int("worlds", 40, "how many worlds of each kind are played")

func TestOneOwnerWhileWorkersArePartitioned(t *testing.T) {
	runSimulations(t, simulationSeeds, partitionWorker)
}

func TestOneOwnerWhileWorkersAreReplaced(t *testing.T) {
	runSimulations(t, simulationSeeds, replaceWorker)
}

func TestOneOwnerWhileLeadersCrash(t *testing.T) { runSimulations(t, simulationSeeds, crashLeader) }

func TestOneOwnerWhileLeadersFreeze(t *testing.T) { runSimulations(t, simulationSeeds, freezeLeader) }

func TestOneOwnerWhileLeasesExpire(t *testing.T) {
	runSimulations(t, simulationSeeds, expireLease)
}

func TestOneOwnerWhileRepliesAreLost(t *testing.T) { runSimulations(t, simulationSeeds, loseReplies) }

func TestOneOwnerWhileOrdersAreDelayed(t *testing.T) {
	runSimulations(t, simulationSeeds, delayOrders)
}

func TestOneOwnerUnderAllFaultsExceptDelayedOrders(t *testing.T) {
	runSimulations(t, simulationSeeds, partitionWorker, replaceWorker, crashLeader, freezeLeader, expireLease, loseReplies)
}

func TestOneOwnerUnderAllFaults(t *testing.T) {
	runSimulations(t, simulationSeeds, partitionWorker, replaceWorker, crashLeader, freezeLeader, expireLease, loseReplies, delayOrders)
}
