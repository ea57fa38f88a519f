package proxy

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/upstream"
	"github.com/shalefork/shalefork/internal/workers"
)

// manyWorkers returns a directory with count workers of one service in three zones.
func manyWorkers(count int) *workers.Directory {
	directory := workers.NewDirectory()
	var list []workers.Worker
	for index := range count {
		list = append(list, workers.Worker{
			ID: workers.ID(fmt.Sprintf("i-%08x", index)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", index),
			Zone: fmt.Sprintf("z%d", index%3), Slots: 3, State: workers.StateReady,
		})
	}
	directory.Replace(list, nil, time.Now())
	return directory
}

func BenchmarkPick(b *testing.B) {
	f := newFleet("z0", manyWorkers(98), BudgetLimits{})
	service, state := &routing.Service{Name: "s", ColdRate: 4.2}, &serviceState{}
	now := time.Now()
	for b.Loop() {
		f.pick(now, state, service, requirements{target: time.Second}, nil, 74)
	}
}

// A process that considers all workers full sends no requests, and so receives no new load reports.
// The old ones must lose their weight, so that workers are tried again.
func TestFullWorkersAreTriedAgain(t *testing.T) {
	f := newFleet("z0", manyWorkers(6), BudgetLimits{})
	service, state := &routing.Service{Name: "s"}, &serviceState{}
	now := time.Now()
	announced, version := f.directory.Usable("s")
	for _, one := range f.buildMembers(state, announced, version, 74) {
		one.backend.begin()
		one.backend.finish(now, &upstream.Result{Outcome: upstream.NotRun, Notice: upstream.Notice{HasLoad: true, Load: upstream.Load{Running: 3, Waiting: 12, Slots: 3}}})
	}
	pick := func(at time.Time) *backend {
		return f.pick(at, state, service, requirements{target: time.Second}, nil, 74).backend
	}
	assert.Assert(t, pick(now.Add(100*time.Millisecond)) == nil)
	assert.Assert(t, pick(now.Add(5*time.Second)) != nil)
}
