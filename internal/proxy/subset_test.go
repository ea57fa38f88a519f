package proxy

import (
	"fmt"
	"hash/maphash"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

func TestSubsetSize(t *testing.T) {
	for name, test := range map[string]struct {
		workers, processes, want int
	}{
		"few processes: all":               {workers: 4, processes: 3, want: 6},
		"unknown number of processes: all": {workers: 21, processes: 0, want: 84},
		"many processes, few workers":      {workers: 10, processes: 59, want: minSubsetSize},
		"as many workers as processes":     {workers: 20, processes: 20, want: subsetOverlap},
		"more workers than processes":      {workers: 66, processes: 16, want: 17},
		"one worker, many processes":       {workers: 1, processes: 50, want: minSubsetSize},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, subsetSize(test.workers, test.processes), test.want)
		})
	}
}

// Removing a worker leaves the other members of a subset unchanged.
func TestSubsetsAreStable(t *testing.T) {
	var ready []workers.ID
	for index := range 40 {
		ready = append(ready, workers.ID(fmt.Sprintf("w%d", index)))
	}
	seed := maphash.MakeSeed()
	var s subset
	before := s.choose(seed, ready, 1, 6)
	assert.Equal(t, len(before), 6)
	after := s.choose(seed, ready[1:], 2, 6)
	assert.Equal(t, len(after), 6)
	kept := 0
	for id := range before {
		if after[id] {
			kept++
		}
	}
	assert.Assert(t, kept >= 5, "%d", kept)
	assert.Equal(t, len(s.choose(seed, ready[:3], 3, 6)), 3)
}

// The preferred workers get as many requests as they have slots, and the other workers of the zone
// get the rest.
func TestPreferredWorkersArePickedFirst(t *testing.T) {
	directory := workers.NewDirectory()
	var list []workers.Worker
	for index := range 30 {
		list = append(list, workers.Worker{
			ID: workers.ID(fmt.Sprintf("w%d", index)), Service: "s", Zone: "z", Slots: 2, State: workers.StateReady,
		})
	}
	directory.Replace(list, nil, time.Now())
	f := newFleet("z", directory, BudgetLimits{})
	state := &serviceState{}
	now := time.Now()
	chosen := map[workers.ID]int{}
	for range 2 * minSubsetSize {
		picked := f.pick(now, state, &routing.Service{Name: "s"}, requirements{target: time.Second}, nil, 30)
		picked.backend.begin()
		chosen[picked.backend.id()]++
	}
	assert.Equal(t, len(chosen), minSubsetSize)
	picked := f.pick(now, state, &routing.Service{Name: "s"}, requirements{target: time.Second}, nil, 30)
	assert.Equal(t, chosen[picked.backend.id()], 0, "all slots of the preferred workers are in use")
}

// A process that shares thousands of workers with hundreds of others chooses among a part of them,
// which contains the preferred ones. Together the processes choose among all.
func TestProcessConsidersPartOfManyWorkers(t *testing.T) {
	const zones, inZone, processes = 5, 740, 984
	directory := workers.NewDirectory()
	var list []workers.Worker
	for index := range zones * inZone {
		list = append(list, workers.Worker{
			ID: workers.ID(fmt.Sprintf("w%d", index)), Service: "s", Zone: fmt.Sprint("z", index%zones), Slots: 2, State: workers.StateReady,
		})
	}
	directory.Replace(list, nil, time.Now())
	chosen := map[workers.ID]int{}
	for process := range processes / zones {
		f := newFleet("z0", directory, BudgetLimits{})
		state := &serviceState{}
		announced, version := directory.Usable("s")
		members := f.buildMembers(state, announced, version, processes)
		preferred, far := 0, 0
		for _, one := range members {
			chosen[one.id]++
			if one.preferred {
				preferred++
			}
			if one.distance > 0 {
				far++
			}
		}
		assert.Assert(t, len(members) > 150 && len(members) < 400, "%d", len(members))
		assert.Assert(t, far > 60)
		assert.Equal(t, preferred, subsetSize(inZone, processes/zones), "process %d", process)
		assert.Equal(t, len(f.byID), len(members), "there must be no state of the other workers")
	}
	for _, worker := range list {
		if worker.Zone == "z0" {
			assert.Assert(t, chosen[worker.ID] >= 10, "%s is chosen by %d processes", worker.ID, chosen[worker.ID])
		}
	}
}

func BenchmarkPickAmongThousands(b *testing.B) {
	f := newFleet("z0", manyWorkers(3695), BudgetLimits{})
	service, state := &routing.Service{Name: "s"}, &serviceState{}
	now := time.Now()
	for b.Loop() {
		f.pick(now, state, service, requirements{target: time.Second}, nil, 984)
	}
}
