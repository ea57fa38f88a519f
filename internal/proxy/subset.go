package proxy

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"sync"

	"github.com/shalefork/shalefork/internal/workers"
)

// Where many processes share many workers, each process that sends to all of them hears
// of each too seldom to know how fast and how busy it is, and finds no connection to it
// that still rests. So each prefers a few, chosen by rendezvous hashing with a seed of its
// own: subsets as in "Site Reliability Engineering", chapter 20, but random, since the
// processes are not numbered; a worker that comes or goes changes one place of them.
const (
	// subsetOverlap is how many processes prefer each worker on average.
	subsetOverlap = 4
	// minSubsetSize is how many workers a process prefers at the least.
	minSubsetSize = 4
	// maxConsidered is how many workers of its own zone a process chooses among, and
	// maxConsideredRemote those of each other zone: more of them cost each choice, and memory for
	// each, and are heard of once in minutes. Other processes choose among others.
	maxConsidered       = 128
	maxConsideredRemote = 32
)

// subset is the workers of one service that this process prefers. It is safe for
// concurrent use.
type subset struct {
	mu sync.Mutex
	// version of the list of workers, and size, that preferred was made for.
	version   uint64
	size      int
	preferred map[workers.ID]bool
}

// subsetSize returns how many of a zone's workers each of its processes prefers.
func subsetSize(zoneWorkers, zoneProcesses int) int {
	shared := float64(subsetOverlap*zoneWorkers) / float64(max(1, zoneProcesses))
	return max(minSubsetSize, int(math.Ceil(shared)))
}

// considered returns the workers of a service that this process chooses among: all, or of large
// zones a part, which is its own and changes little as workers come and go. The preferred ones,
// of which there are so many, are a part of them.
func (f *fleet) considered(announced []workers.Worker, preferred int) []workers.Worker {
	count := map[string]int{}
	for _, worker := range announced {
		count[worker.Zone]++
	}
	limits, all := map[string]uint64{}, true
	for zone, inZone := range count {
		most := maxConsideredRemote
		if zone == f.zone {
			most = max(maxConsidered, 2*preferred)
		}
		limits[zone] = math.MaxUint64
		if inZone > most {
			all, limits[zone] = false, math.MaxUint64/uint64(inZone)*uint64(most)
		}
	}
	if all {
		return announced
	}
	var list []workers.Worker
	for _, worker := range announced {
		if maphash.String(f.seed, string(worker.ID)) <= limits[worker.Zone] {
			list = append(list, worker)
		}
	}
	return list
}

// of returns the preferred ones of a zone's ready workers. A list of the same version has
// the same workers.
func (s *subset) choose(seed maphash.Seed, ready []workers.ID, version uint64, size int) map[workers.ID]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preferred != nil && s.version == version && s.size == size {
		return s.preferred
	}
	ranked := slices.SortedFunc(slices.Values(ready), func(a, b workers.ID) int {
		return cmp.Compare(maphash.String(seed, string(a)), maphash.String(seed, string(b)))
	})
	s.version, s.size, s.preferred = version, size, map[workers.ID]bool{}
	for _, id := range ranked[:min(size, len(ranked))] {
		s.preferred[id] = true
	}
	return s.preferred
}
