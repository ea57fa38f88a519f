package router

import (
	"sync"

	"github.com/shalefork/shalefork/internal/decision"
	"github.com/shalefork/shalefork/internal/topology"
	"github.com/shalefork/shalefork/internal/workers"
)

// unknownZones tracks zones of workers for which the settings name no region. Each counts as a
// separate region, and is logged once. It is safe for concurrent use.
type unknownZones struct {
	mu     sync.Mutex
	logged map[topology.Zone]bool
}

// logIfUnknown logs a worker's zone when it is first found to be unknown.
func (z *unknownZones) logIfUnknown(zoneMap topology.Map, worker workers.Worker, log *decision.Log) {
	if z.firstSeenUnknown(zoneMap, topology.Zone(worker.Zone)) {
		log.Line(decision.KindZoneUnknown).Str("zone", worker.Zone).Str("worker", string(worker.ID)).Msg("")
	}
}

// firstSeenUnknown reports whether a zone is unknown and is seen for the first time.
func (z *unknownZones) firstSeenUnknown(zoneMap topology.Map, zone topology.Zone) bool {
	if zoneMap.Known(zone) {
		return false
	}
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.logged == nil {
		z.logged = map[topology.Zone]bool{}
	}
	before := z.logged[zone]
	z.logged[zone] = true
	return !before
}
