package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/shalefork/shalefork/internal/bundle"
	"github.com/shalefork/shalefork/internal/keyspace"
)

const (
	// ringPoints is the number of points of a server on the ring.
	ringPoints = 100
	// healthEvery is the period of health checks, failedChecks how many must
	// fail in a row.
	healthEvery  = time.Second
	failedChecks = 2
	// staticRetries is how often a proxy tries again what was refused.
	staticRetries = 1
)

// ring is the baseline: each gateway routes keys by consistent hashing over
// the servers that its health checks see, and pools by round robin. Nobody
// grants anything.
type ring struct {
	gateway *gateway
	points  []ringPoint
	failed  map[bundle.ServerName]int
}

type ringPoint struct {
	hash   keyspace.Hash
	server bundle.ServerName
}

func newRing(g *gateway) *ring {
	made := &ring{gateway: g, failed: map[bundle.ServerName]int{}}
	for _, server := range g.world.servers {
		if server.workload.kind != bundle.KindKeyed {
			continue
		}
		for point := range ringPoints {
			hash := keyspace.HashKey(fmt.Sprintf("%s#%d", server.name, point))
			made.points = append(made.points, ringPoint{hash: hash, server: server.name})
		}
	}
	slices.SortFunc(made.points, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return made
}

// start begins the health checks. The first gateway's ring counts for churn.
func (r *ring) start() {
	if r.gateway == r.gateway.world.gateways[0] {
		r.gateway.world.measures.remapped(r)
	}
	r.gateway.world.Every(healthEvery, func() {
		for _, server := range r.gateway.world.servers {
			r.check(server)
		}
	})
}

// check notes a health check's result after the time that it takes.
func (r *ring) check(server *server) {
	world := r.gateway.world
	wait := probeTimeout
	if server.alive {
		wait = probeCost + 2*world.deployment.delay(r.gateway.zone, server.zone)
	}
	world.After(wait, func() {
		before := r.healthy(server.name)
		if server.alive && (!server.draining || server.lies) {
			r.failed[server.name] = 0
		} else {
			r.failed[server.name]++
		}
		if before != r.healthy(server.name) && r.gateway == world.gateways[0] {
			world.measures.remapped(r)
		}
	})
}

func (r *ring) healthy(name bundle.ServerName) bool {
	return r.failed[name] < failedChecks
}

// owner returns the first healthy server after the hash on the ring, the first
// of all if none is healthy.
func (r *ring) owner(hash keyspace.Hash) bundle.ServerName {
	start, _ := slices.BinarySearchFunc(r.points, hash, func(point ringPoint, wanted keyspace.Hash) int {
		return cmp.Compare(point.hash, wanted)
	})
	for i := range r.points {
		point := r.points[(start+i)%len(r.points)]
		if r.healthy(point.server) {
			return point.server
		}
	}
	return r.points[start%len(r.points)].server
}

func (r *ring) choose(s *service, c *call) choice {
	if c.keyed {
		return choice{found: true, server: r.owner(c.key.hash)}
	}
	backends := s.bundle.Backends
	for range backends {
		s.next = (s.next + 1) % len(backends)
		name := r.gateway.world.bundle.ServerName(s.bundle, backends[s.next])
		if r.healthy(name) {
			return choice{found: true, server: name}
		}
	}
	return choice{found: true, server: r.gateway.world.bundle.ServerName(s.bundle, backends[0])}
}
