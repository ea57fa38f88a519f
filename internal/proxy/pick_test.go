package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// manyWorkers are the workers of one service in three zones.
func manyWorkers(count int) *workers.Directory {
	directory := workers.NewDirectory()
	var list []workers.Worker
	for index := range count {
		list = append(list, workers.Worker{
			ID: workers.ID(fmt.Sprintf("i-%08x", index)), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", index),
			Zone: fmt.Sprintf("z%d", index%3), Slots: 3, State: workers.StateReady,
		})
	}
	directory.Replace(list)
	return directory
}

func BenchmarkPick(b *testing.B) {
	f := newFleet("z0", manyWorkers(98), BudgetLimits{})
	of, service := &routing.Service{Name: "s", ColdRate: 4.2}, &serviceState{}
	now := time.Now()
	for b.Loop() {
		f.pick(now, service, of, time.Second, nil, 74)
	}
}
