package owner

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/workers"
)

// fault is a failure that a simulation injects.
type fault func(s *simulation)

func partitionWorker(s *simulation) {
	worker := s.workers[s.random.IntN(len(s.workers))]
	if worker.partitioned || worker.ended {
		return
	}
	worker.partitioned = true
	s.after(s.between(time.Second, 10*time.Second), func() { worker.partitioned = false })
}

func replaceWorker(s *simulation) {
	index := s.random.IntN(len(s.workers))
	if len(s.workers) > 20 {
		return
	}
	s.workers[index].ended = true
	s.workers = append(s.workers, &simWorker{id: workers.ID(fmt.Sprintf("w%d", len(s.workers)))})
}

func crashLeader(s *simulation) {
	for _, leader := range s.leaders {
		if leader.term == s.term {
			leader.dead = true
		}
	}
}

func freezeLeader(s *simulation) {
	for _, leader := range s.leaders {
		if leader.term == s.term {
			leader.frozenUntil = s.now.Add(s.between(time.Second, 5*time.Second))
		}
	}
}

// expireLease ends the leader's lease while the leader can still reach workers.
func expireLease(s *simulation) { s.lease = s.now }

func delayOrders(s *simulation) {
	s.delayOrders = true
	s.after(5*time.Second, func() { s.delayOrders = false })
}

func loseReplies(s *simulation) {
	s.loseReplies = true
	s.after(5*time.Second, func() { s.loseReplies = false })
}

// runSimulations runs simulations with a number of seeds and some kinds of faults.
func runSimulations(t *testing.T, seeds *int, faults ...fault) {
	t.Helper()
	t.Parallel()
	for seed := range *seeds {
		s := newSimulation(uint64(seed))
		violation := s.run(50, func(second int) {
			s.noMoves = second >= 30
			if second > 2 && second < 30 && s.chance(0.3) {
				faults[s.random.IntN(len(faults))](s)
			}
		})
		assert.Equal(t, violation, "", "seed %d", seed)
		assert.Equal(t, s.servedSegments(), segmentCount, "seed %d: all keys must be held at the end", seed)
		assert.Assert(t, s.moves > 0)
	}
}

// simulationSeeds is the number of simulations of each kind. To run more of them:
//
//	go test ./internal/owner -run OneOwner -worlds 2000
var simulationSeeds = flag.Int("worlds", 40, "number of simulations of each kind")

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
