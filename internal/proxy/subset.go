package proxy

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"sync"

	"github.com/shalefork/shalefork/internal/workers"
)

// If many processes share many workers and each sends to all of them, a process gets answers from
// each worker too rarely to estimate its latency and load, and finds no idle connection to it. Each
// process therefore prefers a few workers, chosen by rendezvous hashing with a seed per process.
// These are subsets as in "Site Reliability Engineering", chapter 20, but random, since the
// processes are not numbered. A worker that is added or removed changes at most one member of a
// subset.
const (
	// subsetOverlap is the average number of processes that prefer a worker.
	subsetOverlap = 4
	// minSubsetSize is the minimum number of workers that a process prefers.
	minSubsetSize = 4
	// maxConsidered is the number of workers of the local zone that a process chooses among, and
	// maxConsideredRemote that for each other zone. More workers would make each choice slower and
	// take memory each, while a process would get an answer from each only once in minutes. Other
	// processes choose among other workers.
	maxConsidered       = 128
	maxConsideredRemote = 32
)

// subset holds the workers of one service that this process prefers. It is safe for concurrent use.
type subset struct {
	mu sync.Mutex
	// version of the worker list and size for which preferred was computed.
	version   uint64
	size      int
	preferred map[workers.ID]bool
}

// subsetSize returns how many of a zone's workers each process of the zone prefers.
func subsetSize(zoneWorkers, zoneProcesses int) int {
	shared := float64(subsetOverlap*zoneWorkers) / float64(max(1, zoneProcesses))
	return max(minSubsetSize, int(math.Ceil(shared)))
}

// considered returns the workers of a service that this process chooses among: all of a small zone,
// and of a large zone a part that depends on the process and changes little as workers are added or
// removed. The part contains the preferred workers, whose number is given.
func (f *fleet) considered(announced []workers.Worker, preferred int) []workers.Worker {
	count := map[string]int{}
	for _, worker := range announced {
		count[worker.Zone]++
	}
	maxHash, all := map[string]uint64{}, true
	for zone, inZone := range count {
		maxInZone := maxConsideredRemote
		if zone == f.zone {
			maxInZone = max(maxConsidered, 2*preferred)
		}
		maxHash[zone] = math.MaxUint64
		if inZone > maxInZone {
			all, maxHash[zone] = false, math.MaxUint64/uint64(inZone)*uint64(maxInZone)
		}
	}
	if all {
		return announced
	}
	var list []workers.Worker
	for _, worker := range announced {
		if maphash.String(f.seed, string(worker.ID)) <= maxHash[worker.Zone] {
			list = append(list, worker)
		}
	}
	return list
}

// choose returns the preferred ones of a zone's ready workers. Lists of the same version contain
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
