package keytable

import (
	"maps"
	"time"

	"github.com/shalefork/shalefork/internal/routing"
	"github.com/shalefork/shalefork/internal/workers"
)

// sharesLast is for how long shares stand of a leader that is not heard.
const sharesLast = 1100 * time.Millisecond

// shares are which share of their requests overloaded workers can run in time.
type shares struct {
	heard    time.Time
	services map[routing.ServiceName]map[workers.ID]float64
}

// Heard notes that the leader stands by the shares that it has told.
func (t *Table) Heard(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.shares.Store(&shares{heard: now, services: t.shares.Load().services})
}

// SetShares sets which share of their requests overloaded workers of a service can run.
func (t *Table) SetShares(service routing.ServiceName, values map[workers.ID]float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.shares.Load()
	services := maps.Clone(before.services)
	if services == nil {
		services = map[routing.ServiceName]map[workers.ID]float64{}
	}
	services[service] = values
	t.shares.Store(&shares{heard: before.heard, services: services})
}

// Share returns which share of its requests a worker can run in time: 1 unless the
// leader says less.
func (t *Table) Share(now time.Time, service routing.ServiceName, worker workers.ID) float64 {
	told := t.shares.Load()
	share, less := told.services[service][worker]
	if !less || now.Sub(told.heard) > sharesLast {
		return 1
	}
	return share
}
