package experiment

import (
	"fmt"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

// Costs that hold for every deployment.
const (
	// sameZoneDelay is one way between machines of a zone.
	sameZoneDelay = 100 * time.Microsecond
	// newConnectionCost and probeCost are what a server takes for them.
	newConnectionCost = time.Millisecond
	probeCost         = 6 * time.Millisecond
	// workerQueue is how many requests wait at a server whose slots are busy.
	workerQueue = 8
	// coldStart is how long a server that has just started is slower than
	// usual, by coldFactor at first and less and less.
	coldStart  = 10 * time.Second
	coldFactor = 4.0
)

// deployment is one users' system of today.
type deployment struct {
	team  bundle.TeamName
	cell  bundle.CellName
	zones []bundle.Zone
	// between is one way between zones, client one way to the callers.
	between   time.Duration
	client    time.Duration
	workloads []workload
}

// workload is one service with its back ends and its traffic.
type workload struct {
	name        string
	kind        bundle.Kind
	servers     int
	slots       int
	connections int
	repeatable  bool
	limits      bundle.Limits
	placement   bundle.Placement
	// serviceTime is the mean time that a request holds a slot; times are
	// distributed exponentially.
	serviceTime time.Duration
	// utilisation is the share of the slots that is busy at load level 1.
	utilisation float64
}

// rate is the workload's requests per second at load level 1.
func (w workload) rate() float64 {
	return w.utilisation * float64(w.servers*w.slots) / w.serviceTime.Seconds()
}

func milliseconds(count int) bundle.Duration {
	return bundle.Duration(time.Duration(count) * time.Millisecond)
}

// deployments by the names that scenarios use.
var deployments = map[string]deployment{
	"tawila":       tawila(),
	"tweede-leven": tweedeLeven(),
}

func tawila() deployment {
	return deployment{
		team:    "tawila",
		cell:    "casablanca",
		zones:   []bundle.Zone{"casa-a", "casa-b", "casa-c"},
		between: time.Millisecond,
		client:  time.Millisecond,
		workloads: []workload{
			{
				name: "availability", kind: bundle.KindKeyed, servers: 14, slots: 2, connections: 130,
				repeatable:  true,
				limits:      bundle.Limits{Deadline: milliseconds(800)},
				placement:   bundle.Placement{Slices: 56, ChurnWeight: 0.3, MovesPerMinute: 12},
				serviceTime: 25 * time.Millisecond, utilisation: 0.65,
			},
			{
				name: "booking", kind: bundle.KindPool, servers: 7, slots: 2, connections: 130,
				limits:      bundle.Limits{Deadline: milliseconds(1000)},
				serviceTime: 60 * time.Millisecond, utilisation: 0.5,
			},
			{
				name: "host-lists", kind: bundle.KindPool, servers: 12, slots: 2, connections: 130,
				repeatable:  true,
				limits:      bundle.Limits{Deadline: milliseconds(1000), HedgeAfter: milliseconds(200)},
				serviceTime: 40 * time.Millisecond, utilisation: 0.5,
			},
		},
	}
}

func tweedeLeven() deployment {
	return deployment{
		team:    "tweede-leven",
		cell:    "netherlands",
		zones:   []bundle.Zone{"nl-1", "nl-2", "nl-3"},
		between: 500 * time.Microsecond,
		client:  3 * time.Millisecond,
		workloads: []workload{
			{
				name: "catalogue", kind: bundle.KindKeyed, servers: 14, slots: 3, connections: 50,
				repeatable:  true,
				limits:      bundle.Limits{Deadline: milliseconds(500)},
				placement:   bundle.Placement{Slices: 56, ChurnWeight: 0.7, MovesPerMinute: 4},
				serviceTime: 25 * time.Millisecond, utilisation: 0.45,
			},
			{
				name: "checkout", kind: bundle.KindPool, servers: 6, slots: 3, connections: 50,
				limits:      bundle.Limits{Deadline: milliseconds(1000)},
				serviceTime: 60 * time.Millisecond, utilisation: 0.4,
			},
			{
				name: "donation-export", kind: bundle.KindPool, servers: 13, slots: 3, connections: 50,
				repeatable:  true,
				serviceTime: 10 * time.Second, utilisation: 0.4,
			},
		},
	}
}

// bundle returns the team's bundle, with back ends spread over the zones.
func (d deployment) bundle(version bundle.Version, mechanisms mechanisms) bundle.Bundle {
	made := bundle.Bundle{Team: d.team, Version: version, Cell: d.cell, Zones: d.zones}
	for _, described := range d.workloads {
		made.Services = append(made.Services, d.service(described, mechanisms))
	}
	return made
}

func (d deployment) service(described workload, mechanisms mechanisms) bundle.Service {
	service := bundle.Service{
		Name:       described.name,
		Kind:       described.kind,
		Repeatable: described.repeatable,
		Limits:     described.limits,
		Placement:  described.placement,
	}
	if described.kind == bundle.KindKeyed {
		service.Partitions = []bundle.Partition{{Name: partitionName, Zones: d.zones}}
	}
	if !mechanisms.churnBudget {
		service.Placement.ChurnWeight = 0
		service.Placement.MovesPerMinute = unboundedMoves
	}
	if !mechanisms.balance {
		service.Placement.ChurnWeight = 1
	}
	if !mechanisms.hedging {
		service.Limits.HedgeAfter = 0
	}
	for i := range described.servers {
		service.Backends = append(service.Backends, bundle.Backend{
			Name:        fmt.Sprintf("%s-%02d", described.name, i+1),
			Address:     fmt.Sprintf("%s-%02d:1", described.name, i+1),
			Zone:        d.zones[i%len(d.zones)],
			Slots:       described.slots,
			Connections: described.connections,
		})
	}
	return service
}

const (
	// partitionName is the only partition of a keyed service.
	partitionName keyspace.PartitionName = "all"
	// unboundedMoves stands for no budget of moves.
	unboundedMoves = 100000
)

// delay is one way between two machines of the system.
func (d deployment) delay(from, to bundle.Zone) time.Duration {
	if from == to {
		return sameZoneDelay
	}
	return d.between
}
