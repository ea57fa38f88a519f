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
		"few processes: all":             {workers: 4, processes: 3, want: 6},
		"processes not known: all":       {workers: 21, processes: 0, want: 84},
		"many processes, few workers":    {workers: 10, processes: 59, want: minSubsetSize},
		"as many workers as processes":   {workers: 20, processes: 20, want: subsetOverlap},
		"more workers than processes":    {workers: 66, processes: 16, want: 17},
		"one worker and many that share": {workers: 1, processes: 50, want: minSubsetSize},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, subsetSize(test.workers, test.processes), test.want)
		})
	}
}

// A worker that comes or goes leaves the others of a subset where they are.
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

// The preferred workers get what they have slots for, the others of the zone the rest.
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
	service := &serviceState{}
	now := time.Now()
	chosen := map[workers.ID]int{}
	for range 2 * minSubsetSize {
		picked := f.pick(now, service, &routing.Service{Name: "s"}, requirements{target: time.Second}, nil, 30)
		picked.backend.begin()
		chosen[picked.backend.id()]++
	}
	assert.Equal(t, len(chosen), minSubsetSize)
	picked := f.pick(now, service, &routing.Service{Name: "s"}, requirements{target: time.Second}, nil, 30)
	assert.Equal(t, chosen[picked.backend.id()], 0, "all slots of the preferred ones are taken")
}

// A process that shares thousands of workers with hundreds of others chooses among some of them,
// the preferred ones included; together the processes choose among all.
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
		service := &serviceState{}
		announced, version := directory.Usable("s")
		members := f.buildMembers(service, announced, version, processes)
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
		assert.Equal(t, len(f.byID), len(members), "nothing is kept of the others")
	}
	for _, worker := range list {
		if worker.Zone == "z0" {
			assert.Assert(t, chosen[worker.ID] >= 10, "%s is chosen by %d processes", worker.ID, chosen[worker.ID])
		}
	}
}

func BenchmarkPickAmongThousands(b *testing.B) {
	f := newFleet("z0", manyWorkers(3695), BudgetLimits{})
	of, service := &routing.Service{Name: "s"}, &serviceState{}
	now := time.Now()
	for b.Loop() {
		f.pick(now, service, of, requirements{target: time.Second}, nil, 984)
	}
}
