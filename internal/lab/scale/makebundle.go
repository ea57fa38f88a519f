package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
	"github.com/shalefork/shalefork/internal/lab/simulation"
	"github.com/shalefork/shalefork/internal/platform"
)

// Names of a cell's two services; they are as long as Tawila's.
const (
	keyedService = "availability"
	poolService  = "host-lists"
)

// makeBundle is a bundle as Tawila's, at the size of the shape.
func (c *cell) makeBundle(version bundle.Version) bundle.Bundle {
	keyed := bundle.Service{
		Name: keyedService, Kind: bundle.KindKeyed, Repeatable: true,
		Route:      bundle.Route{PathPrefix: "/availability/"},
		Key:        &bundle.KeySource{PathSegment: 2},
		Limits:     bundle.Limits{Deadline: bundle.Duration(800 * time.Millisecond), MaxBodyBytes: 65536},
		Partitions: []bundle.Partition{{Name: "all", Zones: zones}},
		Placement:  bundle.Placement{Slices: c.shape.Slices, ChurnWeight: 0.3, MovesPerMinute: 12},
	}
	if c.shape.Still {
		keyed.Placement.ChurnWeight = 1
	}
	pool := bundle.Service{
		Name: poolService, Kind: bundle.KindPool, Repeatable: true,
		Route:  bundle.Route{PathPrefix: "/host-lists/"},
		Limits: bundle.Limits{Deadline: bundle.Duration(time.Second)},
	}
	for machine := range c.shape.Keyed + c.shape.Pool {
		if machine < c.shape.Keyed {
			keyed.Backends = append(keyed.Backends, backend(keyedService, machine))
		} else {
			pool.Backends = append(pool.Backends, backend(poolService, machine))
		}
	}
	services := []bundle.Service{keyed}
	if len(pool.Backends) > 0 {
		services = append(services, pool)
	}
	return bundle.Bundle{Team: c.team(), Version: version, Cell: c.name, Zones: zones, Services: services}
}

func (c *cell) team() bundle.TeamName {
	return bundle.TeamName("team-" + string(c.name))
}

func backend(service string, machine int) bundle.Backend {
	return bundle.Backend{
		Name:        fmt.Sprintf("%s-%03d", service, machine),
		Address:     fmt.Sprintf("%s:%d", machineAddress(machine), serverPort),
		Zone:        zones[machine%len(zones)],
		Slots:       2,
		Connections: 130,
	}
}

// makeMachines is the machine list of a fleet.
func makeMachines(count int) []platform.Machine {
	machines := make([]platform.Machine, 0, count)
	for machine := range count {
		machines = append(machines, platform.Machine{
			Address: machineAddress(machine),
			Name:    fmt.Sprintf("machine-%04d", machine),
			Zone:    string(zones[machine%len(zones)]),
			State:   platform.MachineLive,
		})
	}
	return machines
}

// rates spreads the requests of a service over its hashes, unevenly.
type rates struct {
	// cumulative share up to each of the buckets of equal width.
	cumulative []float64
}

const (
	rateBuckets = 4096
	rateSkew    = 0.5
)

func newRates(random *rand.Rand) *rates {
	zipf := simulation.NewZipf(rateBuckets, rateSkew)
	made := &rates{cumulative: make([]float64, 0, rateBuckets+1)}
	sum := 0.0
	made.cumulative = append(made.cumulative, sum)
	for _, rank := range random.Perm(rateBuckets) {
		sum += zipf.Share(rank)
		made.cumulative = append(made.cumulative, sum)
	}
	return made
}

// share of the requests that go to a range of hashes.
func (r *rates) share(within keyspace.Range) float64 {
	return r.upTo(float64(within.Last)+1) - r.upTo(float64(within.First))
}

func (r *rates) upTo(hash float64) float64 {
	const allHashes = 1 << 64
	place := hash / allHashes * rateBuckets
	bucket := min(int(place), rateBuckets-1)
	into := place - float64(bucket)
	return r.cumulative[bucket] + into*(r.cumulative[bucket+1]-r.cumulative[bucket])
}
